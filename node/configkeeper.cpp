#include "node/configkeeper.h"

#include "cluster/peerlink.h"
#include "config/activeconfig.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "core/hash.h"
#include "objects/objectclient.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr size_t maxParallelFetches = 8;
constexpr Millis refetchDelay(1000); // a late reply to the earlier fetch is still used
constexpr Millis partReadTimeout(8000);
constexpr Millis peerRequestInterval(300);
constexpr size_t maxPartsPerResponse = 8;
constexpr Millis retryDelay(300);

}

const std::string ConfigKeeper::manifestPath = "config/manifest";

std::string ConfigKeeper::partPath(const std::string &digest)
{
    return "config/part/" + digest;
}

ConfigKeeper::ConfigKeeper(const Clock &clock, ObjectClient &objects, PeerLink &link, EventLog &log, Listener onChange)
    : m_clock(clock), m_objects(objects), m_link(link), m_log(log), m_onChange(std::move(onChange))
{
}

void ConfigKeeper::start()
{
    watch();
}

ConfigVersion ConfigKeeper::version() const
{
    return m_current == nullptr ? ConfigVersion(0) : m_current->version();
}

Millis ConfigKeeper::confirmedAge() const
{
    return m_clock.now() - m_freshAsOf;
}

void ConfigKeeper::tick()
{
    if (!m_isWatching && m_clock.now() >= m_nextWatchAt) {
        watch();
    }
    fetchParts();
}

void ConfigKeeper::watch()
{
    m_isWatching = true;
    const Millis requestedAt = m_clock.now();
    m_objects.watch(manifestPath, m_seenVersion, [this, requestedAt](const ObjectReply &reply) {
        onWatchReply(reply, requestedAt);
    });
}

void ConfigKeeper::onWatchReply(const ObjectReply &reply, Millis requestedAt)
{
    m_isWatching = false;
    if (reply.status == ObjectReply::Status::Unreachable) {
        m_nextWatchAt = m_clock.now() + retryDelay;
        return;
    }
    const bool isNewer = reply.status == ObjectReply::Status::Ok && reply.version > m_seenVersion;
    if (isNewer) {
        m_seenVersion = reply.version;
        onManifest(reply.value, {});
    }
    // A stale read that returns an older version is no change and says nothing about freshness.
    if (isNewer || reply.status == ObjectReply::Status::Unchanged) {
        m_platformReadAt = std::max(m_platformReadAt, requestedAt);
        updateFreshness();
    }
    if (reply.status == ObjectReply::Status::Missing || (reply.status == ObjectReply::Status::Ok && !isNewer)) {
        m_nextWatchAt = m_clock.now() + retryDelay;
    } else {
        watch();
    }
}

void ConfigKeeper::updateFreshness()
{
    if (m_platformVersion.value > 0 && m_platformVersion == version()) {
        m_freshAsOf = std::max(m_freshAsOf, m_platformReadAt);
    }
}

void ConfigKeeper::onManifest(const std::string &manifest, const std::string &fromPeer)
{
    try {
        const Manifest next = manifestFromText(manifest);
        if (fromPeer.empty()) {
            m_platformVersion = std::max(m_platformVersion, next.version);
        }
        m_newestKnownVersion = std::max(m_newestKnownVersion, next.version);
        if (next.version <= version() || next.version < m_targetManifest.version) {
            return;
        }
        m_targetManifest = next;
        m_targetText = manifest;
        m_targetPeer = fromPeer;
        m_partRequestedAt.clear();
    } catch (const DocumentError &error) {
        m_log.record(EventCode::ConfigRejected, "manifest", error.what());
        return;
    }
    tryApply();
    fetchParts();
}

bool ConfigKeeper::isNewerVersionKnown() const
{
    return m_newestKnownVersion > version();
}

std::vector<std::string> ConfigKeeper::missingParts() const
{
    std::vector<std::string> missing;
    if (m_targetManifest.version <= version()) {
        return missing;
    }
    std::copy_if(m_targetManifest.parts.begin(), m_targetManifest.parts.end(), std::back_inserter(missing),
                 [this](const std::string &digest) {
                     return m_parts.count(digest) == 0;
                 });
    return missing;
}

void ConfigKeeper::fetchParts()
{
    std::vector<std::string> missing = missingParts();
    const Millis now = m_clock.now();
    size_t running = 0;
    for (const std::string &digest : missing) {
        const auto requested = m_partRequestedAt.find(digest);
        const bool isDue = requested == m_partRequestedAt.end() || requested->second + refetchDelay <= now;
        if (isDue && running < maxParallelFetches) {
            fetchPart(digest);
        }
        running += requested != m_partRequestedAt.end() || isDue ? 1 : 0;
    }
    const bool isPeerDue = m_peerRequestedAt + peerRequestInterval <= now;
    if (!missing.empty() && !m_targetPeer.empty() && isPeerDue) {
        m_peerRequestedAt = now;
        missing.resize(std::min(missing.size(), maxPartsPerResponse));
        m_link.send(m_targetPeer, ConfigRequest {missing});
    }
}

void ConfigKeeper::fetchPart(const std::string &digest)
{
    m_partRequestedAt[digest] = m_clock.now();
    m_objects.get(
        partPath(digest),
        [this, digest](const ObjectReply &reply) {
            if (reply.status == ObjectReply::Status::Ok) {
                onPart(digest, reply.value);
                fetchParts();
            }
        },
        partReadTimeout);
}

void ConfigKeeper::onPart(const std::string &digest, const std::string &content)
{
    if (sha256Hex(content) != digest) {
        m_log.record(EventCode::ConfigRejected, digest, "content doesn't match the digest");
        return;
    }
    const bool isNeeded = std::find(m_targetManifest.parts.begin(), m_targetManifest.parts.end(), digest)
        != m_targetManifest.parts.end();
    if (isNeeded) {
        m_parts[digest] = content;
        tryApply();
    }
}

void ConfigKeeper::tryApply()
{
    if (m_targetManifest.version <= version() || !missingParts().empty()) {
        return;
    }
    try {
        m_current
            = std::make_shared<const ActiveConfig>(decodeDocument(m_targetManifest, m_parts), m_targetManifest.version);
    } catch (const DocumentError &error) {
        m_log.record(EventCode::ConfigRejected, std::to_string(m_targetManifest.version.value), error.what());
        m_targetManifest = Manifest {};
        return;
    }
    m_manifest = m_targetText;
    updateFreshness();
    std::erase_if(m_parts, [this](const auto &part) {
        return std::find(m_targetManifest.parts.begin(), m_targetManifest.parts.end(), part.first)
            == m_targetManifest.parts.end();
    });
    m_log.record(EventCode::ConfigInForce, std::to_string(version().value), std::to_string(m_parts.size()) + " parts");
    m_onChange();
}

void ConfigKeeper::onPeerVersion(const std::string &address, ConfigVersion peerVersion, Millis confirmedAge,
                                 Millis requestedAt)
{
    if (peerVersion == version()) {
        m_freshAsOf = std::max(m_freshAsOf, requestedAt - confirmedAge);
        return;
    }
    m_newestKnownVersion = std::max(m_newestKnownVersion, peerVersion);
    if (peerVersion < version() || address.empty()) {
        return;
    }
    if (peerVersion > m_targetManifest.version) {
        m_link.send(address, ConfigRequest {});
    } else if (peerVersion == m_targetManifest.version) {
        m_targetPeer = address; // in case the platform is slow or unreachable
        fetchParts();
    }
}

void ConfigKeeper::onRequest(const std::string &address, const ConfigRequest &request)
{
    if (m_current == nullptr || address.empty()) {
        return;
    }
    ConfigResponse response;
    if (request.digests.empty()) {
        response.manifest = m_manifest;
    }
    for (size_t i = 0; i < std::min(request.digests.size(), maxPartsPerResponse); ++i) {
        const auto part = m_parts.find(request.digests[i]);
        if (part != m_parts.end()) {
            response.parts.insert(*part);
        }
    }
    m_link.send(address, response);
}

void ConfigKeeper::onResponse(const std::string &address, const ConfigResponse &response)
{
    if (!response.manifest.empty()) {
        onManifest(response.manifest, address);
    }
    for (const auto &[digest, content] : response.parts) {
        onPart(digest, content);
    }
    if (!response.parts.empty()) {
        m_peerRequestedAt = m_clock.now() - peerRequestInterval;
        fetchParts();
    }
}

}
