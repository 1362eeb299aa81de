#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillaspar
{

class PartsHistory;

/** A request that had not progressed when its replica ended, seen as evidence against a part of its prompt. */
struct PartCrash
{
    uint32_t end = 0; ///< Identifies the end of one incarnation of a replica.
    uint32_t address = 0; ///< Identifies the replica's address.
    uint32_t request = 0; ///< Identifies the request by the last part of its prompt, the same in a repetition.
    Millis at;
    std::set<uint32_t> requests {}; ///< All requests with the part that are known to have ended there, up to a limit.
};

/** A part that explains ends of replicas better than any other part does. */
struct CrashSuspect
{
    PromptPartId part;
    std::vector<PartCrash> proofs; ///< Ends at which no part stood that was there at more ends, in order of time.
    int64_t weight = 0; ///< Of the proofs.
};

/** What is known of a part of a prompt under which replicas ended. */
struct PartEvidence
{
    /** One for each end, in order of time; the most independent ones if there are many. */
    std::vector<PartCrash> crashes;
    std::set<uint32_t> ends; ///< All ends since it was cleared, up to a limit.
    /** The latest time at which an answer began that progressed; older crashes don't count. */
    Millis clearedAt {INT64_MIN / 2};
    Millis changedAt; ///< When this host last learned something new.
};

/**
 * Tells a part of a prompt that crashes replicas from parts that only happened to be there.
 *
 * A crashing part ends every replica that begins to answer it, so no answer on it progresses. Each answer that
 * progresses clears all parts of its prompt of the crashes before it. A crash counts against a part once sound parts
 * had the time to be cleared of it. What counts is weighed by crashes that are independent: of different requests, at
 * two addresses or more, and not at the same moment.
 *
 * Bounded, whatever callers send: the parts with the least and the oldest evidence are dropped.
 */
class CrashEvidence
{
public:
    /** Adds a crash to the evidence against a part. @return whether it is new and counts. */
    bool onCrash(const PromptPartId &part, const PartCrash &crash, Millis now);
    /**
     * An answer on the part that began at @p begunAt has progressed.
     *
     * @return whether that matters: whether the part had evidence against it lately.
     */
    bool onProgressed(const PromptPartId &part, Millis begunAt, Millis now);
    /** Drops a part that was found to crash replicas and, now and later, crashes of other parts that it explains. */
    void explain(const PromptPartId &part, Millis now);
    /** The end of a replica was explained by a part that is known to crash replicas; it counts against no other. */
    void explainEnd(uint32_t end, Millis now);
    /** Drops all evidence against a part. */
    void forget(const PromptPartId &part);
    /** Drops what is too old; to be called now and then. */
    void prune(Millis now);

    /** @return the number of independent crashes up to @p countedUntil that count against a part. */
    int64_t weight(const PromptPartId &part, Millis countedUntil) const;
    /**
     * @param countedUntil until when crashes count; see countedUntil().
     * @param crashProbability of a request whose parts are all sound.
     * @param countedFrom since when the probability was observed; earlier crashes say nothing beside it.
     * @return the part with the most evidence, if coincidence can be ruled out for it.
     */
    std::optional<PromptPartId> findCrashing(Millis countedUntil, double crashProbability,
                                             Millis countedFrom = Millis(INT64_MIN / 2)) const;
    /**
     * Finds a crashing part also while replicas end so fast that hardly any answer progresses.
     *
     * For a whole request it takes one more end, and no history: unlike a part, a sound request is sent only a few
     * times.
     *
     * @param history answers that have progressed at any time.
     * @return the part with the most evidence among those on which no answer has ever progressed, if it was there at
     * most ends of replicas.
     */
    std::optional<PromptPartId> findNeverProgressed(const PartsHistory &history, Millis now) const;
    /**
     * Explains the ends of replicas by as few parts as possible, the most likely one first.
     *
     * A part that is rarely asked for and was there at many ends explains them better than one that was there as often
     * because most requests have it.
     *
     * @param countedUntil until when ends count; sound parts had the time to be cleared of these.
     * @param known parts that stay suspects while they aren't cleared, and so explain ends before all others.
     * @return the parts that five ends or more are blamed on, at two moments or more.
     */
    std::vector<CrashSuspect> rankSuspects(Millis countedUntil, const std::set<PromptPartId> &known) const;
    /** @return when the last end that counts against a part was; long ago if there is none. */
    Millis lastCrashAt(const PromptPartId &part) const;
    /** @return the time up to which sound parts were cleared of ends, and all hosts told of it. */
    static Millis settledUntil(Millis now);
    /** @param controlledUntil the time after which enough answers have begun that progressed. */
    static Millis countedUntil(Millis controlledUntil, Millis now);
    const std::map<PromptPartId, PartEvidence> &parts() const
    {
        return m_parts;
    }

private:
    /** @return the unexplained ends that make a part a suspect; empty if they don't. */
    static std::vector<PartCrash> suspiciousCrashes(const PartEvidence &evidence, Millis countedUntil,
                                                    const std::set<uint32_t> &explained);
    /** @return a part with the ends that prove that it crashes replicas. */
    CrashSuspect makeSuspect(const PromptPartId &part, Millis countedUntil) const;
    void dropExplained();
    /** @return the share of the ends since a part's first crash at which the part was there. */
    double coverage(const PartEvidence &evidence, Millis countedUntil) const;

    std::map<PromptPartId, PartEvidence> m_parts;
    std::map<uint32_t, Millis> m_ends; ///< Ends of replicas under requests, and when they were.
    std::map<uint32_t, Millis> m_explainedEnds; ///< When they were explained.
};

}
