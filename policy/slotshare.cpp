#include "policy/slotshare.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr Millis roundTime(100);
// Slots of rounds before that a host may still take. They make up for shares of less than one slot; more would be sent
// to slots that others have taken meanwhile.
constexpr double maxKept = 1.0;

}

void SlotShare::beginRound(int64_t freeSlots, int64_t ownDemand, int64_t allDemand, Millis reportAge)
{
    const double demand = static_cast<double>(std::max<int64_t>(allDemand, 1));
    const double share = std::clamp(static_cast<double>(std::max<int64_t>(ownDemand, 1)) / demand, 0.0, 1.0);
    // What the others take shows after the age of their reports; until then the same free slots are shared again.
    const double rounds = static_cast<double>((reportAge + roundTime).value) / static_cast<double>(roundTime.value);
    const double part = share < 1 ? share / rounds : 1;
    m_slots = std::min(m_slots, maxKept) + static_cast<double>(std::max<int64_t>(freeSlots, 0)) * part;
}

void SlotShare::onEnded()
{
    m_slots += 1;
}

void SlotShare::onSent()
{
    m_slots = std::max(m_slots - 1, 0.0);
}

}
