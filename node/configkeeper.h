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
 * Brings the accepted configuration into force on this node and tells how old its confirmation is.
 *
 * The manifest is followed on the platform; parts that are not held yet are fetched. Peers that know a newer version
 * are asked when the platform doesn't answer. A version that was in force is never replaced by an older one.
 */
class ConfigKeeper
{
public:
    using Listener = std::function<void()>;

    ConfigKeeper(const Clock &clock, ObjectClient &objects, PeerLink &link, EventLog &log, Listener onChange);

    void start();
    void tick();

    /** @return the configuration in force; nullptr before the first. */
    const std::shared_ptr<const ActiveConfig> &current() const
    {
        return m_current;
    }
    ConfigVersion version() const;
    /** @return time since the version was known to be the newest, on the platform or by a peer's word. */
    Millis confirmedAge() const;
    /** @return whether a newer version than the one in force is known to exist. */
    bool isNewerVersionKnown() const;
    /** Takes a peer's word, with the age that its confirmation had when the peer was asked. */
    void onPeerVersion(const std::string &address, ConfigVersion version, Millis confirmedAge, Millis requestedAt);
    void onRequest(const std::string &address, const ConfigRequest &request);
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
    std::string m_targetPeer; ///< Who has its parts, apart from the platform; may be empty.
    ObjectVersion m_seenVersion;
    ConfigVersion m_platformVersion;
    ConfigVersion m_newestKnownVersion; ///< By the platform's or a peer's word.
    bool m_isWatching = false;
    Millis m_nextWatchAt;
    Millis m_platformReadAt {-1'000'000'000}; ///< When the platform's newest word was asked for.
    Millis m_freshAsOf {-1'000'000'000};
    std::map<std::string, Millis> m_partRequestedAt; ///< When the platform was last asked for a part.
    Millis m_peerRequestedAt {-1'000'000'000};
};

}
