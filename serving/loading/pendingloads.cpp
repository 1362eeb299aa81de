#include "serving/loading/pendingloads.h"

#include "cluster/messages/fleet.h"

#include <algorithm>
#include <tuple>

namespace vanillaspar::serving
{

namespace
{

// Hosts repeat their adapter requests every 100 ms. A pending load that isn't requested any more is dropped.
constexpr Millis pendingLoadLifetime(500);

}

bool LoadUrgency::operator<(const LoadUrgency &other) const
{
    const bool isInTime = waiting > 0;
    const bool isOtherInTime = other.waiting > 0;
    return std::tie(isNeeded, isInTime, isFirstCopy, waiting, other.since)
        < std::tie(other.isNeeded, isOtherInTime, other.isFirstCopy, other.waiting, since);
}

void PendingLoads::onAdapterRequest(const AdapterRequest &request, Millis now)
{
    Load &load = m_loads[request.weights];
    if (now - load.requestedAt > pendingLoadLifetime) {
        load = {};
        load.since = now;
    }
    load.version = std::max(load.version, request.version);
    load.waiting = request.waiting;
    load.requestedAt = now;
    load.wasMissing = load.wasMissing || request.wasMissing;
}

void PendingLoads::dropObsolete(const std::function<bool(const std::string &, int64_t, bool)> &isNeeded, Millis now)
{
    for (auto entry = m_loads.begin(); entry != m_loads.end();) {
        const Load &load = entry->second;
        const bool isKept
            = now - load.requestedAt <= pendingLoadLifetime && isNeeded(entry->first, load.version, load.wasMissing);
        entry = isKept ? std::next(entry) : m_loads.erase(entry);
    }
}

void PendingLoads::updateFirstCopies(const std::function<bool(const std::string &, int64_t)> &isHeldElsewhere)
{
    for (auto &[weights, load] : m_loads) {
        load.isFirstCopy = !isHeldElsewhere(weights, load.version);
    }
}

const std::string *PendingLoads::mostUrgent(const std::function<bool(const std::string &)> &mayLoad) const
{
    const std::string *chosen = nullptr;
    LoadUrgency highest;
    for (const auto &[weights, load] : m_loads) {
        const LoadUrgency urgency = urgencyOf(weights);
        if (highest < urgency && mayLoad(weights)) {
            chosen = &weights;
            highest = urgency;
        }
    }
    return chosen;
}

LoadUrgency PendingLoads::urgencyOf(const std::string &weights) const
{
    const auto entry = m_loads.find(weights);
    if (entry == m_loads.end()) {
        return {};
    }
    const Load &load = entry->second;
    return {true, load.isFirstCopy, load.waiting, load.since};
}

bool PendingLoads::contains(const std::string &weights) const
{
    return m_loads.count(weights) > 0;
}

void PendingLoads::erase(const std::string &weights)
{
    m_loads.erase(weights);
}

}
