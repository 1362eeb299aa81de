#include "policy/fairqueue.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr double batchPenalty = 4096; // tokens added to the virtual start of a batch request

}

void FairQueue::push(uint64_t item, const TeamId &team, const AdapterRef &adapter, Tokens cost, bool isInteractive,
                     Millis now)
{
    double &finish = m_teamFinish[team];
    double start = std::max(m_virtualTime, finish);
    finish = start + static_cast<double>(cost.value);
    if (!isInteractive) {
        start += batchPenalty;
    }
    if (m_order == Order::FirstCome) {
        start = 0;
    }
    const auto after = std::find_if(m_entries.rbegin(), m_entries.rend(), [start](const Entry &entry) {
        return entry.start <= start;
    });
    m_entries.insert(after.base(), {item, team, adapter, start, now});
    ++m_entryCounts[adapter];
}

std::list<FairQueue::Entry>::iterator FairQueue::find(uint64_t item)
{
    return std::find_if(m_entries.begin(), m_entries.end(), [item](const Entry &entry) {
        return entry.item == item;
    });
}

void FairQueue::erase(std::list<Entry>::iterator entry)
{
    const auto waiting = m_entryCounts.find(entry->adapter);
    if (--waiting->second == 0) {
        m_entryCounts.erase(waiting);
    }
    m_entries.erase(entry);
    if (m_entries.empty()) {
        m_teamFinish.clear();
        m_virtualTime = 0;
    }
}

void FairQueue::dispatch(uint64_t item)
{
    const auto entry = find(item);
    if (entry == m_entries.end()) {
        return;
    }
    m_virtualTime = std::max(m_virtualTime, entry->start);
    erase(entry);
}

void FairQueue::remove(uint64_t item)
{
    const auto entry = find(item);
    if (entry != m_entries.end()) {
        erase(entry);
    }
}

bool FairQueue::hasEntryFor(const AdapterRef &adapter) const
{
    return m_entryCounts.count(adapter) > 0;
}

}
