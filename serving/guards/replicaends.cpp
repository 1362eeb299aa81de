#include "serving/guards/replicaends.h"

#include "core/clock.h"
#include "serving/interfaces/orderport.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>
#include <set>

namespace vanillaspar::serving
{

namespace
{

// A replica that answers others after this time needs no report.
constexpr Millis confirmTime(200);
constexpr Millis answersInTransit(50); // which may arrive after the replica's end
constexpr Millis queryInterval(500); // for each engine
constexpr Millis queryTimeout(1000);
constexpr Millis queryRetention(10000);
constexpr size_t maxAttempts = 4096; // the oldest are dropped undecided

}

ReplicaEnds::ReplicaEnds(const Clock &clock, BackendTable &backends) : m_clock(clock), m_backends(backends)
{
}

void ReplicaEnds::add(BrokenAttempt attempt)
{
    if (m_attempts.size() >= maxAttempts) {
        m_attempts.erase(m_attempts.begin());
    }
    m_attempts.push_back(std::move(attempt));
}

bool ReplicaEnds::isPending(const PromptPartId &part) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [&part](const BrokenAttempt &attempt) {
        return !attempt.isWhole && std::find(attempt.parts.begin(), attempt.parts.end(), part) != attempt.parts.end();
    });
}

ReplicaEnds::State ReplicaEnds::stateOf(const BrokenAttempt &attempt) const
{
    const BackendState *state = m_backends.find(attempt.replica);
    if (state == nullptr || state->info.residency.incarnation != attempt.incarnation) {
        return State::Ended;
    }
    if (state->aliveAt > attempt.at + answersInTransit) {
        return State::Alive;
    }
    if (m_reports == nullptr || !attempt.isEngine) {
        return State::Ended;
    }
    const auto query = m_queries.find(attempt.replica);
    if (query == m_queries.end() || !query->second.isAnswered || query->second.askedAt <= attempt.at) {
        return State::Unknown;
    }
    return query->second.incarnation == attempt.incarnation ? State::Alive : State::Ended;
}

ReplicaEnds::Decided ReplicaEnds::update()
{
    const Millis now = m_clock.now();
    for (auto &[replica, query] : m_queries) {
        query.isAnswered = query.isAnswered || now - query.askedAt > queryTimeout;
    }
    Decided decided;
    std::set<ReplicaId> silent;
    std::vector<BrokenAttempt> undecided;
    for (BrokenAttempt &attempt : m_attempts) {
        const State state = now - attempt.at < confirmTime ? State::Unknown : stateOf(attempt);
        if (state == State::Unknown && now - attempt.at >= confirmTime) {
            silent.insert(attempt.replica);
        }
        (state == State::Unknown     ? undecided
             : state == State::Alive ? decided.alive
                                     : decided.ended)
            .push_back(std::move(attempt));
    }
    m_attempts = std::move(undecided);
    std::erase_if(m_queries, [now](const auto &entry) {
        return entry.second.isAnswered && now - entry.second.askedAt > queryRetention;
    });
    for (const ReplicaId &replica : silent) {
        ask(replica);
    }
    return decided;
}

void ReplicaEnds::ask(const ReplicaId &replica)
{
    const Millis now = m_clock.now();
    const auto known = m_queries.find(replica);
    if (known != m_queries.end() && (!known->second.isAnswered || now - known->second.askedAt < queryInterval)) {
        return;
    }
    m_queries[replica] = {now, false, std::nullopt};
    m_reports->fetchReport(
        m_backends.find(replica)->info,
        [this, replica, life = std::weak_ptr<bool>(m_life)](const std::optional<EngineResidency> &report) {
            if (life.expired()) {
                return;
            }
            Query &query = m_queries[replica];
            query.isAnswered = true;
            query.incarnation = report ? std::optional(report->incarnation) : std::nullopt;
        });
}

}
