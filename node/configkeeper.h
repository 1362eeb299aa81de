#pragma once

#include "cluster/messages/fetch.h"
#include "config/documentcodec.h"
#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace vanillaspar
{

class ActiveConfig;
class Clock;
class EventLog;
class ObjectClient;
class PeerLink;
struct ObjectReply;

/**
 * Applies the accepted configuration on this node and tracks its freshness.
 *
 * The manifest is watched on the platform, and parts that are missing here are fetched. Peers that report a newer
 * version serve the manifest and its parts too, in case the platform doesn't answer. A version that was in force is
 * never replaced by an older one.
 */
class ConfigKeeper
{
public:
    using Listener = std::function<void()>;

    ConfigKeeper(const Clock &clock, ObjectClient &objects, PeerLink &link, EventLog &log, Listener onChange);

    /** Starts to watch the manifest. */
    void start();
    /** Restarts a failed watch and retries fetches that are due. */
    void tick();

    /** @return the configuration in force; nullptr before the first. */
    const std::shared_ptr<const ActiveConfig> &current() const
    {
        return m_current;
    }
    ConfigVersion version() const;
    /** @return time since the version was last known to be the newest, from the platform or from a peer's report. */
    Millis confirmedAge() const;
    /** @return whether a newer version than the one in force is known to exist. */
    bool isNewerVersionKnown() const;
    /**
     * Processes the version that a peer reports.
     *
     * @param address where the peer can be sent requests; may be empty.
     * @param confirmedAge the peer's confirmedAge() when it reported.
     * @param requestedAt when the report was requested, by this node's clock.
     */
    void onPeerVersion(const std::string &address, ConfigVersion version, Millis confirmedAge, Millis requestedAt);
    /** Sends the manifest, or the requested parts that this node has. */
    void onRequest(const std::string &address, const ConfigRequest &request);
    /** Takes a manifest or parts from a peer, or with an empty @p address from an operator. */
    void onResponse(const std::string &address, const ConfigResponse &response);

    /** Path of the manifest object. */
    static const std::string manifestPath;
    /** @return the path of a part's object. */
    static std::string partPath(const std::string &digest);

private:
    void watch();
    void onWatchReply(const ObjectReply &reply, Millis requestedAt);
    void updateFreshness();
    void onManifest(const std::string &manifest, const std::string &fromPeer);
    void fetchParts();
    void fetchPart(const std::string &digest);
    void onPart(const std::string &digest, const std::string &content);
    void tryApply();
    std::vector<std::string> missingParts() const;

    const Clock &m_clock;
    ObjectClient &m_objects;
    PeerLink &m_link;
    EventLog &m_log;
    Listener m_onChange;
    std::shared_ptr<const ActiveConfig> m_current;
    std::map<std::string, std::string> m_parts;
    std::string m_manifest;
    Manifest m_targetManifest;
    std::string m_targetText;
    std::string m_targetPeer; ///< Address of a peer that has its parts; may be empty.
    ObjectVersion m_seenVersion;
    ConfigVersion m_platformVersion;
    ConfigVersion m_newestKnownVersion; ///< As reported by the platform or a peer.
    bool m_isWatching = false;
    Millis m_nextWatchAt;
    Millis m_platformReadAt {-1'000'000'000}; ///< Start of the latest read that returned the platform's newest version.
    Millis m_freshAsOf {-1'000'000'000};
    std::map<std::string, Millis> m_partRequestedAt; ///< When each part was last requested from the platform.
    Millis m_peerRequestedAt {-1'000'000'000};
};

}
