#pragma once

#include "core/ids.h"
#include "core/refusal.h"
#include "core/units.h"
#include "policy/fleetquota.h"
#include "serving/routetable.h"
#include "serving/servingconfig.h"

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

/** What admission decided for a request. */
struct Admitted
{
    ConfigVersion config; ///< The configuration that allows it.
    const Route *route = nullptr;
    const Pool *pool = nullptr;
    const Team *team = nullptr; ///< Whose key came with it, if any.
    int priority = 0;
    double cost = 0; ///< Taken from the team's quota.
};

/** Decides whether a request may be served at all: route, key, age of the configuration, the team's quota. */
class Admission
{
public:
    explicit Admission(Random &random) : m_random(random)
    {
    }

    /** Puts a configuration in force. */
    void setConfig(std::shared_ptr<const ServingConfig> config, Millis now);
    /** Sets until when keys may be trusted: then the configuration could lack a withdrawal. */
    void setKeysTrustedUntil(Millis until)
    {
        m_keysTrustedUntil = until;
    }

    std::variant<Admitted, Refusal> admit(const ClientRequest &request, Millis now);
    /** @return whether the key still is the team's, and the configuration recent enough to say so. */
    std::optional<Refusal> checkKey(const ClientRequest &request, bool isPublic, Millis now) const;
    void refund(const TeamId &team, double cost, Millis now);

    /** Says who shares the teams' quotas; see FleetQuota::setHosts() and setLevelFromHub(). */
    void setQuotaHosts(int64_t hosts, int64_t silent, Millis lag, bool isFollowing, Millis now);
    std::map<TeamId, FleetQuota> &quotas()
    {
        return m_quotas;
    }
    const std::map<TeamId, FleetQuota> &quotas() const
    {
        return m_quotas;
    }
    /** @return what the engines of a pool can do; nullptr if it is no pool of engines or no longer configured. */
    const EngineSpec *engineOf(const PoolId &pool) const;
    const ServingConfig *config() const
    {
        return m_config.get();
    }

private:
    const Pool *choosePool(const Route &route);

    Random &m_random;
    std::shared_ptr<const ServingConfig> m_config;
    std::unique_ptr<RouteTable> m_routes;
    std::map<TeamId, FleetQuota> m_quotas;
    int64_t m_quotaHosts = 0; ///< Who shares the quotas, as told last; 0 if nobody has told yet.
    int64_t m_silentHosts = 0;
    Millis m_quotaLag {0};
    bool m_isFollowingQuota = false;
    Millis m_keysTrustedUntil {-1};
};

}
