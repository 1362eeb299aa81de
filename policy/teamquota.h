#pragma once

#include "core/units.h"

#include <cstdint>
#include <map>

namespace vanillaspar
{

/**
 * One host's part of a team's token bucket.
 *
 * The parts of all hosts together never hold more than the team's burst and never refill faster than its rate.
 * Tokens may be handed to another host: they leave this bucket first and count against its capacity until they must
 * have been used. Charges are estimates; settle() gives the rest back only as far as the bucket had headroom for it at
 * every moment since the charge, so that no interval gets more than burst + rate * length.
 */
class TeamQuota
{
public:
    /** How long handed-over tokens stay usable, counted by the receiver from its ask. */
    static constexpr Millis transferWindow {250};

    /** @param firstCharge start of the charge numbers; random, so that no restart uses a number again. */
    explicit TeamQuota(uint64_t firstCharge = 1) : m_nextCharge(firstCharge)
    {
    }

    /**
     * Sets this host's part. Tokens above a smaller capacity are lost; a larger one starts to fill.
     *
     * @param rate tokens a second.
     * @param capacity tokens at most.
     */
    void configure(double rate, double capacity, Millis now);
    /** Empties the bucket and forgets every charge, after a loss of authority. */
    void reset(Millis now);

    /** @return tokens that could be taken now. */
    double level(Millis now);
    /** @return tokens a second that this part refills by. */
    double rate() const
    {
        return m_rate;
    }

    /**
     * Takes tokens for a request.
     *
     * @param amount tokens; at most level().
     * @return the charge's number, for settle(); 0 if the bucket holds too few.
     */
    uint64_t charge(double amount, Millis now);
    /**
     * Takes tokens to hand them to another host.
     *
     * @return the charge's number; 0 if the bucket holds too few.
     */
    uint64_t transfer(double amount, Millis now);
    /** Ends a charge and gives back @p unused tokens as far as the bucket's history allows. */
    void settle(uint64_t charge, double unused, Millis now);

private:
    struct Charge
    {
        double amount = 0;
        double leastHeadroom = 0; // that the bucket had since the charge, with all refunds since counted in
        Millis reservedUntil {-1}; // until then a transfer counts against the capacity
        Millis expiresAt;
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
