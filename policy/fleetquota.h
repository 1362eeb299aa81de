#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace vanillaspar
{

/**
 * One team's token bucket that all hosts draw from together.
 *
 * Each host keeps the whole bucket and takes off what the others report to have admitted. A host that falls silent is
 * counted with an even fraction of rate and burst, as it counts itself when it hears from nobody: so the parts on both
 * sides of a cut add up to the whole. A bucket starts empty, since what was admitted before a restart isn't known,
 * and admits nothing until it is told who shares it: a host that took itself for the only one would spend the whole
 * rate.
 */
class FleetQuota
{
public:
    /** Sets the limit. @param rate tokens a second; 0 sets no limit. @param burst tokens at most. */
    void configure(double rate, double burst, Millis now);
    /**
     * Says who shares the bucket.
     *
     * @param hosts all hosts, this one included; at least 1.
     * @param silent those of them that don't report.
     * @param lag how late reports are; 0 if they come straight from the hosts with every beat.
     */
    void setHosts(int64_t hosts, int64_t silent, Millis lag, Millis now);
    /**
     * Says whether the level comes from a hub, with adoptLevel().
     *
     * Between two of the hub's levels the bucket then fills by an even fraction only: what the others take meanwhile
     * isn't heard, so a host would see tokens that are spent.
     */
    void setLevelFromHub(bool isLevelFromHub, Millis now);
    /**
     * Takes what a host has admitted since it started; what it gave back is taken off.
     *
     * @param incarnation tells its lives apart.
     * @param recent what of it a host that has just started counts, when it first hears of the life.
     * @param isAggregated whether this host passes the report on to others as part of its own.
     */
    void onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                  bool isAggregated = false, int64_t recent = 0);
    /**
     * Takes the level from a host that hears of more hosts than this one, so that differences don't add up.
     *
     * @param level tokens in the sender's bucket.
     * @param counted admitted() of this host as far as it is taken off in @p level; nothing if the sender doesn't say.
     */
    void adoptLevel(double level, std::optional<int64_t> counted, Millis now);
    /** Takes another host's level if this one started a moment ago and has none that can be relied on. */
    void adoptInitialLevel(double level, Millis now);
    /** @return the count of @p host that is taken off here; nothing if it was not heard of. */
    std::optional<int64_t> lastReportedCount(const HostId &host) const;
    /** @return whether the level is that of the whole fleet's bucket, and not a new host's guess. */
    bool isLevelKnown(Millis now) const;
    /** Learns where a host's count stands while another host speaks for it. */
    void setReportedCount(const HostId &host, const std::string &incarnation, int64_t admitted);
    /** The next report of the host only says where its count stands. */
    void forgetReportedCount(const HostId &host);
    /** Empties the bucket: what others have admitted lately is not known. */
    void emptyBucket(Millis now);

    /**
     * Admits a request if the bucket holds any token.
     *
     * What it costs beyond that stays as a debt. If it had to be there before, small requests would take every token
     * and a large one would never find enough; this way all sizes have the same chance.
     */
    bool tryConsume(double cost, Millis now);
    /** Gives back the cost of a request that was admitted and has not run. */
    void refund(double cost, Millis now);

    /**
     * @return tokens admitted since this host's start less those given back, for its reports; those of the hosts that
     * it speaks for are among them.
     */
    int64_t admitted() const
    {
        return m_admitted + m_aggregated;
    }
    /** @return tokens that this host itself admitted in the last half second or a little longer. */
    int64_t recentlyAdmitted(Millis now) const;
    /** @return what all hosts but @p host have admitted, as far as was heard since this host's start. */
    int64_t admittedExcept(const HostId &host) const;
    /** @return tokens in the bucket; negative while others have admitted more than was known here. */
    double level(Millis now);
    /**
     * @return how long until the bucket holds a token for a refused request, after those that were told to return
     * earlier; what it costs is noted as promised.
     */
    Millis reserveRetryDelay(double cost, Millis now);
    bool isLimited() const
    {
        return m_rate > 0;
    }

private:
    struct Peer
    {
        std::string incarnation; ///< Empty if the count is to be learned anew.
        int64_t admitted = 0;
        int64_t counted = 0; ///< Tokens that its reports have taken off here.
    };

    void refill(Millis now);
    double reachableFraction() const;
    double refillFraction() const;
    /** @return whether this host may take more before it hears what the others took. */
    /** Begins a new span of recentlyAdmitted() when the present one is over. */
    void advanceRecentSpan(Millis now);
    bool isWithinAllowance(double cost, Millis now);

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    Millis m_refilledAt;
    int64_t m_admitted = 0;
    int64_t m_aggregated = 0; ///< Tokens that were admitted by hosts this one speaks for.
    int64_t m_reportedByOthers = 0; ///< Tokens that all reports have taken off here.
    int m_debtCycle = 0; ///< Counts requests that found too few tokens.
    int64_t m_hosts = 0; ///< 0 until it is known who shares the bucket.
    int64_t m_silent = 0;
    Millis m_lag {0};
    double m_allowance = 0; ///< Tokens that this host may still take in the present lag.
    bool m_hasConsumedInLag = false;
    Millis m_allowanceEndsAt {0};
    int64_t m_recentCurrent = 0; ///< Tokens admitted in the present span.
    int64_t m_recentPrevious = 0; ///< In the span before.
    Millis m_recentSince {0};
    int64_t m_admittedAtLagStart = 0; ///< By this host, when the present lag began.
    int64_t m_reportedAtLagStart = 0;
    double m_loadFraction = 0; ///< This host's fraction of what all admit, averaged.
    Millis m_hostsKnownSince {-1}; ///< When it was first known who shares the bucket.
    bool m_isLevelKnown = false;
    bool m_isLevelFromHub = false;
    Millis m_retriesBookedUntil {0}; ///< When callers that were refused have got what they were told to return for.
    std::map<HostId, Peer> m_peers;
};

}
