#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaspar
{
struct AdapterUse;
}

namespace vanillaspar::serving
{

struct ActiveRequest;

/** The admitted requests of a host, by exchange and by their current attempt. */
class RequestTable
{
public:
    RequestTable();
    ~RequestTable();

    ActiveRequest &add(std::unique_ptr<ActiveRequest> active);
    /** Gives a request a new attempt. */
    void startAttempt(ActiveRequest &active);
    /** The request's attempt has ended. */
    void endAttempt(ActiveRequest &active);
    void erase(const ActiveRequest &active);

    /** @return nullptr if there is none. */
    ActiveRequest *find(uint64_t exchange) const;
    /** @return the request that the attempt is the current one of; nullptr if there is none. */
    ActiveRequest *findByAttempt(uint64_t attempt) const;
    const std::map<uint64_t, std::unique_ptr<ActiveRequest>> &all() const
    {
        return m_active;
    }
    /** @return the requests of which no response was begun, by exchange. */
    std::vector<uint64_t> unanswered() const;
    /** @return the numbers of requests at engines, by replica and weights. */
    std::map<ReplicaId, std::map<std::string, AdapterUse>> adapterUses() const;

private:
    std::map<uint64_t, std::unique_ptr<ActiveRequest>> m_active; ///< By exchange.
    std::unordered_map<uint64_t, uint64_t> m_exchangeByAttempt;
    uint64_t m_nextAttempt = 1;
};

}
