#include "serving/loading/ownershipterms.h"

#include "serving/loading/ownertable.h"

#include <algorithm>

namespace vanillaspar::serving
{

std::set<ReplicaId> OwnershipTerms::onTable(const OwnerTable &table, int64_t era, Millis now,
                                            const std::function<bool(const ReplicaId &)> &mayOrder)
{
    const bool isNewEra = era > m_era;
    std::set<ReplicaId> suspended;
    std::map<ReplicaId, Term> terms;
    for (const auto &[replica, entry] : table.entries()) {
        if (entry.host != m_self) {
            continue;
        }
        Term term {entry.assignedAs, entry.fencingNumber, now, false};
        const auto known = m_terms.find(replica);
        if (known != m_terms.end() && known->second.assignedAs == entry.assignedAs) {
            if (!isNewEra) {
                term = known->second;
            } else if (mayOrder(replica)) {
                term = known->second;
                term.isContinued = true;
            }
            term.fencingNumber = std::max(known->second.fencingNumber, entry.fencingNumber);
        }
        terms.emplace(replica, term);
    }
    if (isNewEra) {
        for (const auto &[replica, term] : m_terms) {
            const auto next = terms.find(replica);
            if (mayOrder(replica) && (next == terms.end() || !next->second.isContinued)) {
                suspended.insert(replica);
            }
        }
    }
    m_terms = std::move(terms);
    m_era = era;
    return suspended;
}

bool OwnershipTerms::hasBegun(const OwnerTable &table, const ReplicaId &replica, Millis wait, Millis now) const
{
    const OwnerEntry *entry = table.find(replica);
    const auto term = m_terms.find(replica);
    if (entry == nullptr || term == m_terms.end()) {
        return false;
    }
    if (term->second.isContinued) {
        return true;
    }
    const bool isConfirmed = table.era() >= m_era;
    return isConfirmed && (!entry->isTakeover || now - term->second.since > wait);
}

std::optional<Epoch> OwnershipTerms::fencingNumber(const ReplicaId &replica) const
{
    const auto term = m_terms.find(replica);
    return term == m_terms.end() ? std::nullopt : std::optional<Epoch>(term->second.fencingNumber);
}

std::optional<Millis> OwnershipTerms::ownedSince(const ReplicaId &replica) const
{
    const auto term = m_terms.find(replica);
    return term == m_terms.end() ? std::nullopt : std::optional<Millis>(term->second.since);
}

}
