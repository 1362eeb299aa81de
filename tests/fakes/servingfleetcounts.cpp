#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleet.h"
#include "tests/fakes/servingfleetparts.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr int64_t minGroup = 20; // requests from which a share is judged

}

int64_t ServingFleet::loadCrashCount(Millis from) const
{
    return std::count_if(m_loadCrashes.begin(), m_loadCrashes.end(), [from](Millis at) {
        return at >= from;
    });
}

int64_t ServingFleet::begunCount(const std::string &key, Millis from) const
{
    return std::count_if(m_outcomes.begin(), m_outcomes.end(), [&](const auto &entry) {
        const Outcome &outcome = entry.second;
        return !outcome.isCrashing && outcome.team == key && outcome.sentAt >= from && outcome.hasBegun;
    });
}

int64_t ServingFleet::lateArrivals(Millis contact, size_t crashes) const
{
    if (m_crashes.size() < crashes) {
        return 0;
    }
    const Millis from = m_crashes[crashes - 1] + contact;
    return std::count_if(m_crashingArrivals.begin(), m_crashingArrivals.end(), [&](const auto &arrival) {
        return arrival.first > from && arrival.first - arrival.second > contact;
    });
}

double ServingFleet::begunShare(Millis from, Millis to) const
{
    double all = 0;
    double begun = 0;
    for (const auto &[exchange, outcome] : m_outcomes) {
        if (!outcome.isCrashing && !outcome.isDisturbed && outcome.sentAt >= from && outcome.sentAt < to) {
            ++all;
            begun += outcome.hasBegun ? 1 : 0;
        }
    }
    return all > 0 ? begun / all : 1;
}

double ServingFleet::lowestBegunShare(Millis from, Millis to) const
{
    std::map<std::string, std::pair<int64_t, int64_t>> groups;
    for (const auto &[exchange, outcome] : m_outcomes) {
        if (outcome.isCrashing || outcome.isDisturbed || outcome.sentAt < from || outcome.sentAt >= to) {
            continue;
        }
        for (const std::string &name : {outcome.team, outcome.firstPart}) {
            ++groups[name].first;
            groups[name].second += outcome.hasBegun ? 1 : 0;
        }
    }
    double lowest = 1;
    for (const auto &[name, counts] : groups) {
        if (counts.first >= minGroup) {
            lowest = std::min(lowest, static_cast<double>(counts.second) / static_cast<double>(counts.first));
        }
    }
    return lowest;
}

std::vector<Refusal> ServingFleet::crashingRefusals(Millis from) const
{
    std::vector<Refusal> refusals;
    for (const auto &[exchange, outcome] : m_outcomes) {
        if (outcome.isCrashing && outcome.sentAt >= from && outcome.refusal) {
            refusals.push_back(*outcome.refusal);
        }
    }
    return refusals;
}

int64_t ServingFleet::soundRefusals(RefusalCode code, Millis from) const
{
    return std::count_if(m_outcomes.begin(), m_outcomes.end(), [&](const auto &entry) {
        const Outcome &outcome = entry.second;
        return !outcome.isCrashing && outcome.sentAt >= from && outcome.refusal && outcome.refusal->code == code;
    });
}

void ServingFleet::applyLimits(ServingSettings &settings) const
{
    settings.coldOvershoot = m_setup.coldPerSecond > 0 ? fleetColdOvershoot : 0;
    settings.coldSlack = fleetColdSlack;
    settings.evacuationLimit = m_setup.evacuationLimit;
}

DomainId ServingFleet::domainOf(size_t engine) const
{
    const bool isSpread = m_setup.coldPerSecond > 0 || m_setup.evacuationLimit.value > 0;
    return DomainId(std::string(1, static_cast<char>('a' + (isSpread ? engine % 3 : 0))));
}

void ServingFleet::setCold(size_t number, Millis duration, bool isWritten)
{
    Engine &engine = *m_engines[number];
    engine.backend.coldLeft = duration;
    if (isWritten) {
        m_decoder.backends.push_back(engine.backend);
        m_store.put(Collection::Backends, engine.id.text(), m_decoder.backends.size() - 1);
    }
}

int64_t ServingFleet::mostArrivals(size_t engine, Millis from, Millis to) const
{
    std::deque<Millis> window;
    size_t most = 0;
    for (const auto &[at, number] : m_arrivals) {
        if (number != engine || at < from || at >= to) {
            continue;
        }
        window.push_back(at);
        while (at - window.front() >= Millis(1000)) {
            window.pop_front();
        }
        most = std::max(most, window.size());
    }
    return static_cast<int64_t>(most);
}

int64_t ServingFleet::arrivalsIn(const DomainId &domain, Millis from, Millis to) const
{
    return std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const auto &arrival) {
        return arrival.first >= from && arrival.first < to && domainOf(arrival.second) == domain;
    });
}

}
