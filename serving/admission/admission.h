#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "policy/fleetquota.h"
#include "serving/admission/routetable.h"
#include "serving/interfaces/servingconfig.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace vanillaspar
{
class Random;
}

namespace vanillaspar::serving
{

struct ClientRequest;

/** The parts of the configuration that apply to an admitted request. */
struct Admitted
{
    ConfigVersion config; ///< Version of the configuration.
    const Route *route = nullptr;
    const Pool *pool = nullptr;
    const Team *team = nullptr; ///< Team of the API key; nullptr without a known key.
    int priority = 0; ///< 0 is the most urgent.
    double cost = 0; ///< Charged to the team's quota.
};

/** Admits or refuses requests by route, API key, freshness of the configuration and the team's quota. */
class Admission
{
public:
    explicit Admission(Random &random) : m_random(random)
    {
    }

    /** Replaces the configuration and updates the quotas of its teams. */
    void setConfig(std::shared_ptr<const ServingConfig> config, Millis now);
    /**
     * Sets until when API keys are accepted. After that the configuration may be too old to contain the revocation of a
     * key.
     */
    void setKeysTrustedUntil(Millis until)
    {
        m_keysTrustedUntil = until;
    }

    /**
     * Finds the route and the team of a request.
     *
     * @return what applies to the request, or why it is refused.
     */
    std::variant<Admitted, Refusal> resolve(const ClientRequest &request, Millis now);
    /**
     * Charges the cost of a request that was resolved to its team's quota.
     *
     * @return why the request is refused, or nothing.
     */
    std::optional<Refusal> charge(const Admitted &admitted, Millis now);
    /** Resolves a request and charges its cost. @return the decision, or why the request is refused. */
    std::variant<Admitted, Refusal> admit(const ClientRequest &request, Millis now);
    /**
     * Checks that a request's API key is valid and that the configuration is fresh enough to tell.
     *
     * @return why the request is refused, or nothing.
     */
    std::optional<Refusal> checkKey(const ClientRequest &request, bool isPublic, Millis now) const;
    /** Refunds the cost of a request that was not executed. */
    void refund(const TeamId &team, double cost, Millis now);

    /**
     * Sets which hosts share the teams' quotas; see FleetQuota::setHosts() and FleetQuota::setLevelFromHub().
     *
     * @param hosts number of hosts, this one included.
     * @param silent number of those that don't report their use.
     * @param lag age of the reports.
     * @param isLevelFromHub whether a hub sends the levels of the token buckets.
     */
    void setQuotaHosts(int64_t hosts, int64_t silent, Millis lag, bool isLevelFromHub, Millis now);
    std::map<TeamId, FleetQuota> &quotas()
    {
        return m_quotas;
    }
    const std::map<TeamId, FleetQuota> &quotas() const
    {
        return m_quotas;
    }
    /** @return the capacity of a pool's engines; nullptr if the pool has none or is no longer configured. */
    const EngineSpec *engineOf(const PoolId &pool) const;
    const ServingConfig *config() const
    {
        return m_config.get();
    }

private:
    /** @return a pool of the route, drawn by weight; nullptr if it isn't configured. */
    const Pool *choosePool(const Route &route);

    Random &m_random;
    std::shared_ptr<const ServingConfig> m_config;
    std::unique_ptr<RouteTable> m_routes;
    std::map<TeamId, FleetQuota> m_quotas;
    int64_t m_quotaHosts = 0; ///< Hosts that share the quotas; 0 until setQuotaHosts() is called.
    int64_t m_silentHosts = 0;
    Millis m_quotaLag {0};
    bool m_hasQuotaLevelFromHub = false;
    Millis m_keysTrustedUntil {-1};
};

}
