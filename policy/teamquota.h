#pragma once

#include "core/units.h"

#include <cstdint>
#include <map>

namespace vanillaspar
{

/**
 * One host's share of a team's token bucket.
 *
 * The shares of all hosts together never hold more than the team's burst and never refill faster than its rate. Tokens
 * can be transferred to another host: they leave this bucket at once and keep occupying its capacity until the transfer
 * window has passed and the other host must have used them. Charges are estimates; settle() refunds the unused rest,
 * but only as much as the bucket had headroom for at every moment since the charge. So no interval gets more than
 * burst + rate * length.
 */
class TeamQuota
{
public:
    /** How long transferred tokens can be used, counted by the receiver from the time of its request. */
    static constexpr Millis transferWindow {250};

    /** @param firstCharge first charge number; random, so that numbers aren't reused after a restart. */
    explicit TeamQuota(uint64_t firstCharge = 1) : m_nextCharge(firstCharge)
    {
    }

    /**
     * Sets this host's share. Tokens above a smaller capacity are lost; a larger one fills at @p rate.
     *
     * @param rate refill in tokens per second.
     * @param capacity most tokens that the bucket holds.
     * @param now current time.
     */
    void configure(double rate, double capacity, Millis now);
    /** Empties the bucket and forgets all charges, for when this host has lost its lease. */
    void reset(Millis now);

    /** @return tokens that can be charged at @p now. */
    double level(Millis now);
    /** @return refill of this share in tokens per second. */
    double rate() const
    {
        return m_rate;
    }

    /**
     * Charges the estimated cost of a request.
     *
     * @param amount tokens, not negative.
     * @param now current time.
     * @return the charge number, for settle(); 0 if the bucket holds fewer tokens or @p amount is negative.
     */
    uint64_t charge(double amount, Millis now);
    /**
     * Removes tokens that are transferred to another host.
     *
     * @param amount tokens, not negative.
     * @param now current time.
     * @return the charge number, for settle(); 0 if the bucket holds fewer tokens or @p amount is negative.
     */
    uint64_t transfer(double amount, Millis now);
    /**
     * Ends a charge and refunds unused tokens, as far as the bucket had headroom for them ever since.
     *
     * @param charge number from charge() or transfer(); an unknown or settled one is ignored.
     * @param unused tokens that were not used.
     * @param now current time.
     */
    void settle(uint64_t charge, double unused, Millis now);

private:
    struct Charge
    {
        double amount = 0;
        double leastHeadroom = 0; ///< Least free capacity since the charge, less the refunds since.
        Millis reservedUntil {-1}; ///< End of the time in which a transfer occupies capacity.
        Millis expiresAt; ///< When the charge is dropped if it isn't settled.
    };

    void refill(Millis now);
    double capacityNow(Millis now) const;
    uint64_t addCharge(double amount, Millis now, Millis reservedUntil);
    void updateLeastHeadroom(Millis now);

    double m_rate = 0;
    double m_capacity = 0;
    double m_level = 0;
    Millis m_refilledAt;
    uint64_t m_nextCharge;
    std::map<uint64_t, Charge> m_charges;
};

}
