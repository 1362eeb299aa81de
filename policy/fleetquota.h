#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillaspar
{

/**
 * One team's token bucket that all hosts draw from together.
 *
 * Each host keeps the whole bucket and takes off what the others report to have admitted. A host that falls silent is
 * counted with an even part of rate and burst, as it counts itself when it hears from nobody: so the parts on both
 * sides of a cut add up to the whole. A bucket starts empty, since what was admitted before a restart isn't known.
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
     * Takes what a host has admitted since it started; what it gave back is taken off.
     *
     * @param incarnation tells its lives apart.
     * @param isSpokenFor whether this host passes the report on to others as part of its own.
     */
    void onReport(const HostId &host, const std::string &incarnation, int64_t admitted, Millis now,
                  bool isSpokenFor = false);
    /** Learns where a host's count stands while another host speaks for it. */
    void followCount(const HostId &host, const std::string &incarnation, int64_t admitted);
    /** The next report of the host only says where its count stands. */
    void forgetCount(const HostId &host);
    /** Empties the bucket: what others have admitted lately is not known. */
    void empty(Millis now);

    /**
     * Admits a request if the bucket holds any token.
     *
     * What it costs beyond that stays as a debt. If it had to be there before, small requests would take every token
     * and a large one would never find enough; this way all sizes have the same chance.
     */
    bool take(double cost, Millis now);
    /** Gives back the cost of a request that was admitted and has not run. */
    void giveBack(double cost, Millis now);

    /**
     * @return tokens admitted since this host's start less those given back, for its reports; those of the hosts that
     * it speaks for are among them.
     */
    int64_t admitted() const
    {
        return m_admitted + m_spokenFor;
    }
    /** @return what all hosts but @p host have admitted, as far as was heard since this host's start. */
    int64_t admittedByAllBut(const HostId &host) const;
    /** @return tokens in the bucket; negative while others have admitted more than was known here. */
    double level(Millis now);
    /** @return how long until the bucket holds a token again. */
    Millis waitForRoom(Millis now);
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
    double ownPart() const;
    /** @return whether this host may take more before it hears what the others took. */
    bool isWithinShare(Millis now);

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    Millis m_refilledAt;
    int64_t m_admitted = 0;
    int64_t m_spokenFor = 0; ///< Tokens that were admitted by hosts this one speaks for.
    int64_t m_heard = 0; ///< Tokens that all reports have taken off here.
    int m_debtTurn = 0; ///< Counts requests that found too few tokens.
    int64_t m_hosts = 1;
    int64_t m_silent = 0;
    Millis m_lag {0};
    double m_allowance = 0; ///< Tokens that this host may still take in the present lag.
    Millis m_allowanceEndsAt {0};
    int64_t m_admittedBefore = 0; ///< By this host, when the present lag began.
    int64_t m_heardBefore = 0;
    double m_share = 0; ///< This host's part of what all admit, averaged.
    std::map<HostId, Peer> m_peers;
};

}
