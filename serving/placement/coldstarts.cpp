#include "serving/placement/coldstarts.h"

#include "cluster/messages/limits.h"
#include "serving/admission/admission.h"
#include "serving/interfaces/servingconfig.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/replicas/backendtable.h"
#include "serving/replicas/coldreplicas.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis repeatInterval(100); // the request or its answer may be lost
constexpr Millis answerTime(30); // two ways between hosts and the wait for the next tick
constexpr Millis answerTimeout(150); // after which the owner counts as unreachable
// More permits at once could expire unused, while other hosts wait for them.
constexpr size_t maxWanted = 4;
constexpr Millis permitsKept(60000); // state of replicas that aren't used any more

}

ColdStarts::ColdStarts(const ServingSettings &settings, const Admission &admission, const ColdReplicas &cold,
                       IsShareHolder isShareHolder, Millis startedAt)
    : m_settings(settings)
    , m_admission(admission)
    , m_cold(cold)
    , m_isShareHolder(std::move(isShareHolder))
    , m_startedAt(startedAt)
{
}

std::optional<ColdBudget> ColdStarts::budgetOf(const PoolId &pool) const
{
    const auto &config = m_admission.config();
    if (m_settings.coldOvershoot <= 0 || config == nullptr) {
        return std::nullopt;
    }
    const auto entry = config->pools.find(pool);
    if (entry == config->pools.end() || entry->second.coldPerSecond <= 0) {
        return std::nullopt;
    }
    return ColdBudget::of(entry->second.coldPerSecond, m_settings.coldOvershoot, m_settings.coldSlack);
}

std::optional<ColdBudget> ColdStarts::limitOf(const BackendState &state, Millis now) const
{
    const bool isLimited = m_settings.coldOvershoot > 0 && (!m_isFresh || m_cold.isCold(state.shortId, now));
    return isLimited ? budgetOf(state.info.pool) : std::nullopt;
}

bool ColdStarts::hasPermit(const ReplicaId &replica, Millis now) const
{
    const auto permits = m_permits.find(replica);
    return permits != m_permits.end() && permits->second.left > 0 && now < permits->second.expireAt;
}

bool ColdStarts::hasShare(const BackendState &state, const ColdBudget &budget, Millis now) const
{
    const auto permits = m_permits.find(state.info.id);
    // The process before may have used the share just before it ended.
    const Millis usedAt = permits == m_permits.end() ? m_startedAt : std::max(permits->second.shareUsedAt, m_startedAt);
    return now - usedAt >= ColdBudget::shareInterval
        && !m_cold.hasTurnedWithin(state.shortId, ColdBudget::shareInterval, now)
        && m_isShareHolder(state.info.id, budget.shareHolders);
}

bool ColdStarts::isBlocked(const BackendState &state, Millis now) const
{
    const std::optional<ColdBudget> budget = limitOf(state, now);
    return budget && !hasPermit(state.info.id, now) && !hasShare(state, *budget, now);
}

void ColdStarts::onWanted(const BackendState &state, uint64_t exchange)
{
    Permits &permits = m_permits[state.info.id];
    if (permits.wantedBy.size() < maxWanted) {
        permits.wantedBy.insert(exchange);
    }
}

void ColdStarts::onSending(const BackendState &state, Millis now)
{
    if (!limitOf(state, now)) {
        return;
    }
    ++m_starts;
    Permits &permits = m_permits[state.info.id];
    if (hasPermit(state.info.id, now)) {
        --permits.left;
    } else {
        permits.shareUsedAt = now;
    }
}

Millis ColdStarts::nextStart(const BackendState &state, Millis now) const
{
    const auto entry = m_permits.find(state.info.id);
    if (entry == m_permits.end()) {
        return now + answerTime;
    }
    const Permits &permits = entry->second;
    if (now < permits.retryAt) {
        return permits.retryAt;
    }
    const bool isUnanswered = !permits.isAnswered && now - permits.unansweredSince > answerTimeout;
    return now + (isUnanswered ? ColdBudget::shareInterval : answerTime);
}

std::vector<ColdPermitRequest> ColdStarts::takeRequests(Millis now)
{
    std::vector<ColdPermitRequest> requests;
    for (auto &[replica, permits] : m_permits) {
        const bool isDue = now >= permits.retryAt && !hasPermit(replica, now)
            && (permits.isAnswered || now - permits.askedAt >= repeatInterval);
        if (permits.wantedBy.empty() || !isDue) {
            continue;
        }
        permits.number = ++m_lastNumber;
        permits.askedAt = now;
        permits.unansweredSince = permits.isAnswered ? now : permits.unansweredSince;
        permits.isAnswered = false;
        requests.push_back({replica, permits.number, static_cast<uint16_t>(permits.wantedBy.size())});
        permits.wantedBy.clear();
    }
    std::erase_if(m_permits, [now](const auto &entry) {
        const Permits &permits = entry.second;
        return permits.wantedBy.empty() && now - std::max(permits.askedAt, permits.shareUsedAt) > permitsKept;
    });
    return requests;
}

void ColdStarts::onPermit(const ColdPermit &permit, Millis now)
{
    const auto entry = m_permits.find(permit.replica);
    if (entry == m_permits.end() || entry->second.number != permit.number || entry->second.isAnswered) {
        return;
    }
    Permits &permits = entry->second;
    permits.isAnswered = true;
    permits.left = permit.granted;
    permits.expireAt = permits.askedAt + ColdBudget::permitLife;
    permits.retryAt = permit.granted > 0 ? now : now + Millis(permit.retryInMs);
}

}
