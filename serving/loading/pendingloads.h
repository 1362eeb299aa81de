#pragma once

#include "core/units.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace vanillaspar
{
struct AdapterRequest;
}

namespace vanillaspar::serving
{

/** How urgently a replica needs its next adapter; a greater one goes first. */
struct LoadUrgency
{
    bool isNeeded = false; ///< Whether any adapter is needed.
    bool isFirstCopy = false; ///< Whether no other replica has the adapter, so that requests for it can't be served.
    int64_t waiting = 0; ///< Requests of one host that wait for it and can still be answered in time.
    Millis since; ///< Since when it is needed.

    bool operator<(const LoadUrgency &other) const;
};

/**
 * The adapters that hosts have requested for one replica and that aren't resident yet.
 *
 * Load it answers: more adapters are needed at once than the weight store can transfer. Those that requests need to be
 * answered in time go first, and first copies before further ones.
 */
class PendingLoads
{
public:
    /** Records that a host needs an adapter. */
    void onAdapterRequest(const AdapterRequest &request, Millis now);
    /**
     * Drops the loads that aren't requested any more.
     *
     * @param isNeeded tells, from an adapter, its oldest acceptable version and whether the replica has stated not to
     *     have it, whether the replica still needs it.
     * @param now current time.
     */
    void dropObsolete(const std::function<bool(const std::string &, int64_t, bool)> &isNeeded, Millis now);
    /** Updates which loads are first copies. @param isHeldElsewhere of an adapter and its oldest acceptable version. */
    void updateFirstCopies(const std::function<bool(const std::string &, int64_t)> &isHeldElsewhere);
    /**
     * Chooses the most urgent load.
     *
     * @param mayLoad tells whether an adapter may be loaded now.
     * @return the adapter, or nullptr.
     */
    const std::string *mostUrgent(const std::function<bool(const std::string &)> &mayLoad) const;
    /** @return the urgency of a load. */
    LoadUrgency urgencyOf(const std::string &weights) const;
    bool contains(const std::string &weights) const;
    void erase(const std::string &weights);

private:
    struct Load
    {
        int64_t version = 0;
        int64_t waiting = 0; ///< By the last request.
        Millis since;
        Millis requestedAt;
        bool wasMissing = false; ///< Whether the replica answered a request that the adapter isn't resident.
        bool isFirstCopy = false;
    };

    std::map<std::string, Load> m_loads;
};

}
