#include "serving/guards/promptguard.h"

#include "cluster/messages/prompts.h"
#include "core/clock.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "core/random.h"
#include "core/refusal.h"
#include "policy/requestfingerprint.h"
#include "serving/queueing/activerequest.h"
#include "serving/replicas/backendtable.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis decisionInterval(50);
constexpr int64_t suspectWeight = 2;
constexpr Millis restrictedRetry(1000); // about the time that a probe takes
constexpr Millis repeatTime(2000); // for which news is repeated, as datagrams may be lost
constexpr Millis blocksInterval(1000);
constexpr size_t maxReported = 32; // parts of each kind in a report
constexpr size_t maxReportedCrashes = 12; // of each part, the latest
constexpr int clearanceHops = 2; // from a leaf host to its hub, another hub and that one's leaf hosts

uint32_t endOf(const ReplicaId &replica, int64_t incarnation)
{
    return shortHash(replica.text() + "/" + std::to_string(incarnation));
}

/** @return what the end of a replica may be blamed on: the parts that other requests may share, and the request itself.
 */
std::vector<PromptPartId> suspectsOf(const ClientRequest &request)
{
    std::vector<PromptPartId> suspects = request.promptParts;
    if (!suspects.empty()) {
        suspects.back() = request.fingerprint; // the last part belongs to the request alone
    }
    return suspects;
}

std::string describe(const PromptPartId &part)
{
    return isRequestFingerprint(part) ? "this request" : "part " + part.text() + " of the prompt";
}

/** @return one of the requests that ended with a replica, by turns, as other hosts count the different ones. */
uint32_t requestToReport(const PartCrash &crash, size_t report)
{
    return crash.requests.empty() ? crash.request : *std::next(crash.requests.begin(), report % crash.requests.size());
}

uint32_t ageOf(Millis at, Millis now)
{
    return static_cast<uint32_t>(std::clamp<int64_t>((now - at).value, 0, UINT32_MAX));
}

}

PromptGuard::PromptGuard(const Clock &clock, BackendTable &backends, EventLog &log, Random &random)
    : m_clock(clock), m_backends(backends), m_log(log), m_random(random), m_ends(clock, backends)
{
}

Millis PromptGuard::countedUntil() const
{
    return CrashEvidence::countedUntil(m_crashRate.controlledUntil(), m_clock.now());
}

std::optional<Refusal> PromptGuard::check(const ClientRequest &request) const
{
    if (const std::optional<PromptPartId> part = findBlocked(request)) {
        return Refusal {RefusalCode::PromptBlocked, RunState::NotRun, Millis(0),
                        describe(*part) + " has crashed replicas"};
    }
    if (m_restrictions.isEmpty()) {
        return std::nullopt;
    }
    for (const PromptPartId &part : suspectsOf(request)) {
        if (m_restrictions.contains(part) && !mayProbe(part)) {
            return Refusal {RefusalCode::PromptBlocked, RunState::NotRun, restrictedRetry,
                            describe(part) + " may have crashed replicas, which is being examined"};
        }
    }
    return std::nullopt;
}

bool PromptGuard::mayProbe(const PromptPartId &part) const
{
    const bool isExamined = m_starting.count(part) > 0 || m_ends.isPending(part)
        || m_evidence.lastCrashAt(part) > CrashEvidence::settledUntil(m_clock.now());
    return !isExamined && (!m_isProber || m_isProber(part));
}

std::optional<PromptPartId> PromptGuard::findBlocked(const ClientRequest &request) const
{
    std::optional<PromptPartId> found;
    if (!m_blocked.parts().empty()) {
        for (const PromptPartId &part : suspectsOf(request)) {
            found = !found && m_blocked.find(part) != nullptr ? part : found;
        }
    }
    return found;
}

bool PromptGuard::isSuspect(const ClientRequest &request) const
{
    const std::vector<PromptPartId> suspects = suspectsOf(request);
    return std::any_of(suspects.begin(), suspects.end(), [&](const PromptPartId &part) {
        return isSuspectPart(part);
    });
}

bool PromptGuard::isSuspectPart(const PromptPartId &part) const
{
    return m_evidence.weight(part, CrashEvidence::settledUntil(m_clock.now())) >= suspectWeight;
}

bool PromptGuard::mustWait(const ClientRequest &request) const
{
    const std::vector<PromptPartId> suspects = suspectsOf(request);
    return std::any_of(suspects.begin(), suspects.end(), [&](const PromptPartId &part) {
        return m_starting.count(part) > 0 && isSuspectPart(part);
    });
}

void PromptGuard::onSent(ActiveRequest &active)
{
    active.isStarting = true;
    for (const PromptPartId &part : suspectsOf(active.request)) {
        ++m_starting[part];
    }
}

void PromptGuard::onEnded(ActiveRequest &active)
{
    if (!active.isStarting) {
        return;
    }
    active.isStarting = false;
    for (const PromptPartId &part : suspectsOf(active.request)) {
        const auto entry = m_starting.find(part);
        if (entry != m_starting.end() && --entry->second <= 0) {
            m_starting.erase(entry);
        }
    }
}

void PromptGuard::onProgressed(ActiveRequest &active)
{
    if (!active.isStarting) {
        return;
    }
    onEnded(active);
    addProgress(suspectsOf(active.request), active.attemptAnsweredAt);
}

void PromptGuard::addProgress(const std::vector<PromptPartId> &parts, Millis begunAt)
{
    if (!parts.empty()) {
        m_crashRate.onProgressed(begunAt, m_clock.now());
    }
    for (const PromptPartId &part : parts) {
        m_history.onProgressed(part, begunAt);
        clearPart(part, begunAt, clearanceHops);
    }
}

void PromptGuard::onCompleted(ActiveRequest &active)
{
    if (active.endsWithConnection) {
        addBroken(active, true); // the replica may have ended between two events
    } else {
        onProgressed(active);
    }
}

void PromptGuard::clearPart(const PromptPartId &part, Millis begunAt, int hops)
{
    const Millis now = m_clock.now();
    if (!m_evidence.onProgressed(part, begunAt, now)) {
        return;
    }
    Clearance &clearance = m_clearances[part];
    if (begunAt > clearance.begunAt) {
        clearance = {begunAt, now, hops};
    }
}

void PromptGuard::addBroken(const ActiveRequest &active, bool isWhole)
{
    const BackendState *state = m_backends.find(active.replica);
    if (active.isStarting && state != nullptr && !active.request.promptParts.empty()) {
        m_ends.add({active.replica, state->info.residency.incarnation, m_clock.now(), active.attemptAnsweredAt,
                    active.isEngine, isWhole, suspectsOf(active.request)});
    }
}

void PromptGuard::addCrash(const BrokenAttempt &broken)
{
    const Millis now = m_clock.now();
    const BackendState *state = m_backends.find(broken.replica);
    if (state == nullptr) {
        return;
    }
    m_crashRate.onEnded(now);
    PartCrash crash;
    crash.end = endOf(broken.replica, broken.incarnation);
    crash.address = shortHash(state->info.address);
    crash.request = shortHash(broken.parts.back().text());
    crash.at = broken.at;
    const bool isExplained = std::any_of(broken.parts.begin(), broken.parts.end(), [this](const PromptPartId &part) {
        return m_blocked.find(part) != nullptr;
    });
    if (isExplained) {
        m_evidence.explainEnd(crash.end, now);
    }
    for (const PromptPartId &part : broken.parts) {
        if (isRequestFingerprint(part)) {
            crash.request = crash.end; // each end under the same request counts
        }
        if (!m_history.hasProgressedSince(part, crash.at)) {
            m_evidence.onCrash(part, crash, now);
        }
    }
}

void PromptGuard::tick()
{
    const Millis now = m_clock.now();
    const ReplicaEnds::Decided decided = m_ends.update();
    for (const BrokenAttempt &attempt : decided.alive) {
        if (attempt.isWhole) {
            addProgress(attempt.parts, attempt.begunAt);
        }
    }
    for (const BrokenAttempt &attempt : decided.ended) {
        addCrash(attempt);
    }
    if (now - m_decidedAt < decisionInterval) {
        return;
    }
    m_decidedAt = now;
    m_evidence.prune(now);
    std::erase_if(m_clearances, [now](const auto &entry) {
        return now - entry.second.learnedAt > repeatTime;
    });
    for (const PromptPartId &part : m_blocked.expired(m_clock.wallNow())) {
        lift(part);
    }
    blockCrashingParts();
}

void PromptGuard::blockCrashingParts()
{
    const Millis now = m_clock.now();
    const double probability = m_crashRate.probability(now);
    const Millis since = CrashRate::observedSince(now);
    while (const std::optional<PromptPartId> part = m_evidence.findCrashing(countedUntil(), probability, since)) {
        blockFound(*part, "a request ends with its replica with probability " + std::to_string(probability));
    }
    while (const std::optional<PromptPartId> part = m_evidence.findNeverProgressed(m_history, now)) {
        blockFound(*part, "it was there at most ends of replicas, and no answer on it has ever progressed");
    }
    updateRestrictions();
}

void PromptGuard::updateRestrictions()
{
    const PartRestrictions::Changes changes = m_restrictions.update(m_evidence, m_clock.now());
    for (const PromptPartId &part : changes.restricted) {
        m_log.record(EventCode::PromptPartRestricted, part.text(),
                     "replicas ended under requests with it" + endsOf(part)
                         + " ms ago, and no other part explains that");
    }
    for (const PromptPartId &part : changes.released) {
        if (m_blocked.find(part) == nullptr) {
            m_log.record(EventCode::PromptPartLifted, part.text(),
                         "an answer progressed, or a blocked part is to blame");
        }
    }
    for (const PromptPartId &part : changes.crashing) {
        blockFound(part, "requests with it, sent one at a time, ended too");
    }
}

std::string PromptGuard::endsOf(const PromptPartId &part) const
{
    std::string ends;
    for (const PartCrash &crash : m_evidence.parts().at(part).crashes) {
        ends += " " + std::to_string((m_clock.now() - crash.at).value);
    }
    return ends;
}

void PromptGuard::blockFound(const PromptPartId &part, const std::string &why)
{
    BlockedPart blocked;
    blocked.block = m_random.next();
    blocked.blockedAt = m_clock.wallNow();
    blocked.crashes = m_evidence.weight(part, m_clock.now());
    m_log.record(EventCode::PromptPartSuspected, part.text(),
                 "replicas ended under requests with it" + endsOf(part) + " ms ago; " + why);
    block(part, blocked);
}

void PromptGuard::block(const PromptPartId &part, const BlockedPart &blocked)
{
    const Millis now = m_clock.now();
    m_evidence.explain(part, now);
    if (m_blocked.add(part, blocked, now)) {
        m_log.record(EventCode::PromptPartBlocked, part.text(),
                     "block=" + std::to_string(blocked.block) + " crashes=" + std::to_string(blocked.crashes)
                         + " since=" + std::to_string(blocked.blockedAt.value));
    }
}

void PromptGuard::lift(const PromptPartId &part)
{
    m_evidence.forget(part);
    if (m_blocked.lift(part, m_clock.now())) {
        m_log.record(EventCode::PromptPartLifted, part.text(), "requests with it are served again");
    }
}

std::vector<PromptPartId> PromptGuard::recentSuspects() const
{
    const Millis now = m_clock.now();
    std::vector<std::pair<std::pair<size_t, Millis>, PromptPartId>> ranked;
    for (const auto &[part, evidence] : m_evidence.parts()) {
        const bool isNews = now - evidence.changedAt <= repeatTime;
        if (!evidence.crashes.empty() && (isNews || m_restrictions.contains(part))) {
            ranked.push_back({{evidence.crashes.size(), evidence.changedAt}, part});
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), maxReported));
    std::vector<PromptPartId> suspects;
    for (const auto &[rank, part] : ranked) {
        suspects.push_back(part);
    }
    return suspects;
}

PromptReport PromptGuard::takeReport()
{
    const Millis now = m_clock.now();
    PromptReport report;
    ++m_reports;
    for (const PromptPartId &part : recentSuspects()) {
        SuspectPartReport &suspect = report.suspects.emplace_back();
        suspect.part = part;
        const std::vector<PartCrash> &crashes = m_evidence.parts().at(part).crashes;
        const size_t first = crashes.size() - std::min(crashes.size(), maxReportedCrashes);
        for (size_t i = first; i < crashes.size(); ++i) {
            const PartCrash &crash = crashes[i];
            suspect.crashes.push_back(
                {crash.end, crash.address, requestToReport(crash, m_reports), ageOf(crash.at, now)});
        }
    }
    for (const auto &[part, clearance] : m_clearances) {
        if (clearance.hops > 0 && report.cleared.size() < maxReported) {
            report.cleared.push_back({part, ageOf(clearance.begunAt, now), static_cast<uint8_t>(clearance.hops)});
        }
    }
    // Blocks are repeated for as long as they last, for hosts that start, go on or are no longer cut off.
    if (!report.isEmpty() || now - m_blocksReportedAt >= blocksInterval) {
        m_blocksReportedAt = now;
        for (const auto &[part, blocked] : m_blocked.parts()) {
            report.blocked.push_back(
                {part, blocked.block, blocked.blockedAt.value, static_cast<uint32_t>(blocked.crashes)});
        }
    }
    return report;
}

void PromptGuard::onReport(const PromptReport &report)
{
    const Millis now = m_clock.now();
    for (const BlockedPartReport &blocked : report.blocked) {
        block(blocked.part, {blocked.block, Millis(blocked.blockedAt), blocked.crashes});
    }
    for (const SuspectPartReport &suspect : report.suspects) {
        for (const PartCrashReport &crash : suspect.crashes) {
            const Millis at = now - Millis(crash.age);
            if (m_blocked.find(suspect.part) == nullptr && !m_history.hasProgressedSince(suspect.part, at)) {
                m_evidence.onCrash(suspect.part, {crash.end, crash.address, crash.request, at}, now);
            }
        }
    }
    for (const ClearedPartReport &cleared : report.cleared) {
        clearPart(cleared.part, now - Millis(cleared.age), cleared.hops - 1);
    }
}

}
