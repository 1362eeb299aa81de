#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "policy/crashevidence.h"
#include "policy/crashrate.h"
#include "policy/partrestrictions.h"
#include "policy/partshistory.h"
#include "serving/guards/blockedparts.h"
#include "serving/guards/replicaends.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class Random;
struct PromptReport;
struct Refusal;
}

namespace vanillaspar::serving
{

class BackendTable;
class OrderPort;
struct ActiveRequest;
struct ClientRequest;

/**
 * Keeps requests whose prompt has a part that crashes replicas away from the replicas.
 *
 * Observes which requests had not progressed when their replica ended, shares that with the other hosts, and blocks a
 * part once coincidence is ruled out. Until then, requests with a suspect part are sent one at a time, first on each
 * host, later by one host alone (PartRestrictions).
 */
class PromptGuard
{
public:
    /** @param random draws the numbers of blocks. */
    PromptGuard(const Clock &clock, BackendTable &backends, EventLog &log, Random &random);

    /** Sets what asks silent engines for a report before their end counts. */
    void setReports(OrderPort *reports)
    {
        m_ends.setReports(reports);
    }
    /** Sets what tells whether this host is the one that sends the requests with a restricted part. */
    void setProber(std::function<bool(const PromptPartId &)> isProber)
    {
        m_isProber = std::move(isProber);
    }
    /** @return the first blocked part of a request's prompt; nothing if it has none. */
    std::optional<PromptPartId> findBlocked(const ClientRequest &request) const;
    /** @return why a request must not be sent, or nothing. */
    std::optional<Refusal> check(const ClientRequest &request) const;
    /** @return whether replicas have ended again and again under requests with a part of this one's prompt. */
    bool isSuspect(const ClientRequest &request) const;
    /** @return whether the request is suspect and another one with the same suspect part has yet to progress. */
    bool mustWait(const ClientRequest &request) const;

    /** An attempt was sent. */
    void onSent(ActiveRequest &active);
    /** The answer to an attempt has progressed, so that its start hasn't crashed the replica. */
    void onProgressed(ActiveRequest &active);
    /** An answer has ended as whole; to be called before onEnded(). */
    void onCompleted(ActiveRequest &active);
    /** The connection of an attempt ended within the answer; to be called before onEnded(). */
    void onBroken(const ActiveRequest &active)
    {
        addBroken(active, false);
    }
    /** An attempt has ended in any way. */
    void onEnded(ActiveRequest &active);
    /** Confirms the ends of replicas and blocks parts; to be called every few milliseconds. */
    void tick();

    /** @return what to tell other hosts now; empty if nothing is due. */
    PromptReport takeReport();
    /** Adds what another host has told. */
    void onReport(const PromptReport &report);
    /** Blocks a part that another host has blocked. */
    void block(const PromptPartId &part, const BlockedPart &blocked);
    /** Lifts a block. */
    void lift(const PromptPartId &part);
    const BlockedParts &blocked() const
    {
        return m_blocked;
    }
    /** @return number of parts whose requests are sent one at a time over all hosts. */
    size_t restrictedCount() const
    {
        return m_restrictions.size();
    }
    /** @return number of parts with evidence against them. */
    size_t suspectCount() const
    {
        return m_evidence.parts().size();
    }

private:
    /** A clearance that other hosts are to be told of. */
    struct Clearance
    {
        Millis begunAt;
        Millis learnedAt;
        int hops = 0;
    };

    Millis countedUntil() const;
    bool isSuspectPart(const PromptPartId &part) const;
    /** @return whether a request with a restricted part may be sent now, to see what becomes of it. */
    bool mayProbe(const PromptPartId &part) const;
    void updateRestrictions();
    /** Waits until it is known whether the replica has ended. @param isWhole whether the answer may be complete. */
    void addBroken(const ActiveRequest &active, bool isWhole);
    /** Takes a request's end with its replica as evidence. */
    void addCrash(const BrokenAttempt &broken);
    /** Takes an answer that has progressed as a control, and as proof for its parts. */
    void addProgress(const std::vector<PromptPartId> &parts, Millis begunAt);
    void clearPart(const PromptPartId &part, Millis begunAt, int hops);
    void blockCrashingParts();
    /** Blocks a part that this host has found. @param why the conclusion, for the log. */
    void blockFound(const PromptPartId &part, const std::string &why);
    /** @return how long ago the ends were that count against a part, for the log, each with a blank before it. */
    std::string endsOf(const PromptPartId &part) const;
    /** @return the parts whose evidence changed lately, those with the most first. */
    std::vector<PromptPartId> recentSuspects() const;

    const Clock &m_clock;
    BackendTable &m_backends;
    EventLog &m_log;
    Random &m_random;
    CrashEvidence m_evidence;
    CrashRate m_crashRate;
    PartsHistory m_history;
    PartRestrictions m_restrictions;
    std::function<bool(const PromptPartId &)> m_isProber; ///< Without it this host is the only one.
    BlockedParts m_blocked;
    ReplicaEnds m_ends;
    std::map<PromptPartId, int64_t> m_starting; ///< Attempts that have yet to progress.
    std::map<PromptPartId, Clearance> m_clearances;
    size_t m_reports = 0; ///< Taken so far.
    Millis m_decidedAt {0};
    Millis m_blocksReportedAt {INT64_MIN / 2};
};

}
