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
 * Token bucket of one team that all hosts draw from together.
 *
 * Each host keeps a copy of the whole bucket and subtracts what the other hosts report to have admitted. For a host
 * that is silent an even share of rate and burst is set aside; an isolated host in turn limits itself to its own even
 * share. So during a network partition the shares on both sides add up to the whole bucket. A bucket starts empty,
 * since it isn't known what was admitted before a restart, and admits nothing until setHosts() was called: a host that
 * took itself for the only one would spend the whole rate.
 */
class FleetQuota
{
public:
    /**
     * Sets the limit. A level above the new burst is lowered to it.
     *
     * @param rate refill in tokens per second; 0 sets no limit.
     * @param burst capacity in tokens.
     * @param now current time.
     */
    void configure(double rate, double burst, Millis now);
    /**
     * Sets the number of hosts that share the bucket.
     *
     * @param hosts all hosts, this one included; less than 1 counts as 1.
     * @param silent how many of them don't report at present.
     * @param lag age that reports can have when they arrive; 0 if every host reports directly with each heartbeat.
     * @param now current time.
     */
    void setHosts(int64_t hosts, int64_t silent, Millis lag, Millis now);
    /**
     * Sets whether a hub reports the level, which is then passed to adoptLevel().
     *
     * Between two reports of a hub the bucket refills by an even share only: what the other hosts consume meanwhile
     * isn't reported, so a host would count tokens that are already spent.
     *
     * @param isLevelFromHub whether a hub reports the level.
     * @param now current time.
     */
    void setLevelFromHub(bool isLevelFromHub, Millis now);
    /**
     * Subtracts what another host has admitted since its last report; refunds are added.
     *
     * @param host the host that admitted the tokens.
     * @param incarnation the host's incarnation, as its count starts again at 0 after a restart.
     * @param admitted tokens that the host admitted in this incarnation, less refunds.
     * @param now current time.
     * @param isAggregated whether this host is the hub of @p host and includes its count in admitted().
     * @param recent tokens in @p admitted that @p host admitted a moment ago. Of a first report they are subtracted
     * only shortly after this host's start, as the hub that failed may not have relayed them.
     */
    void onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                  bool isAggregated = false, int64_t recent = 0);
    /**
     * Replaces the level by that of a hub, which receives reports of more hosts than this one. Without it, small
     * differences between the hosts' copies would add up.
     *
     * @param level tokens in the hub's bucket.
     * @param counted admitted() of this host as far as it is subtracted in @p level. If the hub doesn't state it, the
     *     level can only fall.
     * @param now current time.
     */
    void adoptLevel(double level, std::optional<int64_t> counted, Millis now);
    /**
     * Replaces the level by that of another host, unless isLevelKnown().
     *
     * @param level tokens in the other host's bucket.
     * @param now current time.
     */
    void adoptInitialLevel(double level, Millis now);
    /**
     * Moves the level a little towards the median of all copies that other hosts reported lately.
     *
     * All copies of an exhausted bucket change by the same amounts. So a copy that once started too low or too high
     * would stay so for as long as the team asks for more than its rate.
     *
     * @param host the host that reported its copy.
     * @param level tokens in that copy.
     * @param now current time.
     */
    void onPeerLevel(const HostId &host, double level, Millis now);
    /** @return the last count that @p host reported; nothing before its first report in this incarnation. */
    std::optional<int64_t> lastReportedCount(const HostId &host) const;
    /**
     * @return whether the level is that of the whole fleet's bucket. It isn't for a short time after the start, unless
     *     another host's level was adopted.
     */
    bool isLevelKnown(Millis now) const;
    /**
     * Stores the count of a host without changing the level, as a hub's level includes it already.
     *
     * @param host the host that admitted the tokens.
     * @param incarnation the host's incarnation.
     * @param admitted tokens that the host admitted in this incarnation, less refunds.
     */
    void setReportedCount(const HostId &host, const std::string &incarnation, int64_t admitted);
    /** Forgets the count of @p host, so that its next report only sets the count to compare later ones with. */
    void forgetReportedCount(const HostId &host);
    /** Empties the bucket, for when it isn't known what other hosts have admitted recently. A debt stays. */
    void emptyBucket(Millis now);

    /**
     * Admits a request if the bucket holds any token and this host's allowance suffices.
     *
     * The rest of the cost becomes a debt that later refills pay. If the whole cost had to be in the bucket, small
     * requests would consume every token and a large request would never be admitted.
     *
     * @param cost tokens that the request is expected to use.
     * @param now current time.
     * @return whether the request is admitted. Always true without a limit, false before setHosts().
     */
    bool tryConsume(double cost, Millis now);
    /** Returns the @p cost in tokens of a request that was admitted and not executed. */
    void refund(double cost, Millis now);

    /**
     * @return tokens admitted since this host's start, less refunds, to be sent in its reports. A hub's count includes
     *     its leaf hosts.
     */
    int64_t admitted() const
    {
        return m_admitted + m_aggregated;
    }
    /** @return tokens that this host itself admitted in at least the last 300 ms; some may be up to 900 ms old. */
    int64_t recentlyAdmitted(Millis now) const;
    /** @return tokens that all hosts but @p host have admitted, as reported since this host's start. */
    int64_t admittedExcept(const HostId &host) const;
    /** @return tokens in the bucket; negative while there is a debt. */
    double level(Millis now);
    /**
     * Computes when the caller of a refused request should retry, and reserves refill for it, so that callers who are
     * refused together don't all return at the same time.
     *
     * @param cost tokens of the refused request.
     * @param now current time.
     * @return time until the bucket holds a token that isn't reserved for an earlier caller; at most 10 s.
     */
    Millis reserveRetryDelay(double cost, Millis now);
    bool isLimited() const
    {
        return m_rate > 0;
    }

private:
    struct Peer
    {
        std::string incarnation; ///< Empty while the count is unknown.
        int64_t admitted = 0; ///< Count of its last report.
        int64_t counted = 0; ///< Tokens that its reports have subtracted here.
        double level = 0; ///< Tokens in its copy of the bucket.
        Millis levelAt {-1}; ///< When it reported that level; negative if it never did.
    };

    void refill(Millis now);
    /** @return the part of rate and burst that this host may use: that of all hosts which aren't silent. */
    double reachableFraction() const;
    /** @return the part of the rate that refills the level here between reports. */
    double refillFraction() const;
    /** Starts a new span of recentlyAdmitted() when the current one is over. */
    void advanceRecentSpan(Millis now);
    /** @return whether this host may consume @p cost tokens before the other hosts' reports arrive. */
    bool isWithinAllowance(double cost, Millis now);

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    Millis m_refilledAt;
    int64_t m_admitted = 0;
    int64_t m_aggregated = 0; ///< Tokens admitted by the leaf hosts of this hub.
    int64_t m_reportedByOthers = 0; ///< Tokens that all reports have subtracted here.
    int m_debtCycle = 0; ///< Counts requests that cost more than the level, modulo the cycle length.
    int64_t m_hosts = 0; ///< 0 before setHosts().
    int64_t m_silent = 0;
    Millis m_lag {0};
    double m_allowance = 0; ///< Tokens that this host may still consume in the current lag.
    bool m_hasConsumedInLag = false;
    Millis m_allowanceEndsAt {0};
    int64_t m_recentCurrent = 0; ///< Tokens admitted in the current span.
    int64_t m_recentPrevious = 0; ///< Tokens admitted in the previous span.
    Millis m_recentSince {0};
    int64_t m_admittedAtLagStart = 0; ///< m_admitted when the current lag began.
    int64_t m_reportedAtLagStart = 0; ///< m_reportedByOthers at that time.
    double m_loadFraction = 0; ///< This host's part of all admitted tokens, smoothed.
    Millis m_hostsKnownSince {-1}; ///< When setHosts() was first called, or the bucket emptied; negative before.
    bool m_isLevelKnown = false;
    bool m_isLevelFromHub = false;
    Millis m_retriesBookedUntil {0}; ///< Until then the refill is reserved for refused callers.
    std::map<HostId, Peer> m_peers;
};

}
