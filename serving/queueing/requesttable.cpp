#include "serving/queueing/requesttable.h"

#include "cluster/messages/fleet.h"
#include "serving/queueing/activerequest.h"

namespace vanillaspar::serving
{

RequestTable::RequestTable() = default;

RequestTable::~RequestTable() = default;

ActiveRequest &RequestTable::add(std::unique_ptr<ActiveRequest> active)
{
    std::unique_ptr<ActiveRequest> &added = m_active[active->request.exchange];
    added = std::move(active);
    return *added;
}

void RequestTable::startAttempt(ActiveRequest &active)
{
    active.attempt = m_nextAttempt++;
    m_exchangeByAttempt[active.attempt] = active.request.exchange;
}

void RequestTable::endAttempt(ActiveRequest &active)
{
    m_exchangeByAttempt.erase(active.attempt);
    active.attempt = 0;
}

void RequestTable::erase(const ActiveRequest &active)
{
    m_active.erase(active.request.exchange);
}

ActiveRequest *RequestTable::find(uint64_t exchange) const
{
    const auto entry = m_active.find(exchange);
    return entry == m_active.end() ? nullptr : entry->second.get();
}

ActiveRequest *RequestTable::findByAttempt(uint64_t attempt) const
{
    const auto exchange = m_exchangeByAttempt.find(attempt);
    return exchange == m_exchangeByAttempt.end() ? nullptr : find(exchange->second);
}

std::vector<uint64_t> RequestTable::unanswered() const
{
    std::vector<uint64_t> exchanges;
    for (const auto &[exchange, active] : m_active) {
        if (!active->isResponding()) {
            exchanges.push_back(exchange);
        }
    }
    return exchanges;
}

std::map<ReplicaId, std::map<std::string, AdapterUse>> RequestTable::adapterUses() const
{
    std::map<ReplicaId, std::map<std::string, AdapterUse>> uses;
    for (const auto &[exchange, active] : m_active) {
        if (active->attempt != 0 && active->isEngine) {
            AdapterUse &use = uses[active->replica][active->request.weights];
            use.weights = active->request.weights;
            ++use.running;
        }
    }
    return uses;
}

}
