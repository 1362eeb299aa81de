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

constexpr size_t parallelFetches = 8;
constexpr Millis fetchAgainAfter(1000); // a slow answer is still taken when it comes
constexpr Millis slowReadTimeout(8000);
constexpr Millis peerAskInterval(300);
constexpr size_t partsInOffer = 8;
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
    return m_clock.now() - m_confirmedAt;
}

void ConfigKeeper::tick()
{
    if (!m_isWatching && m_clock.now() >= m_watchAt) {
        watch();
    }
    fetchParts();
}

void ConfigKeeper::watch()
{
    m_isWatching = true;
    const Millis askedAt = m_clock.now();
    m_objects.watch(manifestPath, m_seen, [this, askedAt](const ObjectReply &reply) {
        onWatched(reply, askedAt);
    });
}

void ConfigKeeper::onWatched(const ObjectReply &reply, Millis askedAt)
{
    m_isWatching = false;
    if (reply.status == ObjectReply::Status::Unreachable) {
        m_watchAt = m_clock.now() + retryDelay;
        return;
    }
    const bool isNewer = reply.status == ObjectReply::Status::Ok && reply.version > m_seen;
    if (isNewer) {
        m_seen = reply.version;
        consider(reply.value, {});
    }
    // An older version from a lagging read is neither a change nor a confirmation.
    if (isNewer || reply.status == ObjectReply::Status::Unchanged) {
        m_platformSeenAt = std::max(m_platformSeenAt, askedAt);
        confirmByPlatform();
    }
    if (reply.status == ObjectReply::Status::Missing || (reply.status == ObjectReply::Status::Ok && !isNewer)) {
        m_watchAt = m_clock.now() + retryDelay;
    } else {
        watch();
    }
}

void ConfigKeeper::confirmByPlatform()
{
    if (m_platformVersion.value > 0 && m_platformVersion == version()) {
        m_confirmedAt = std::max(m_confirmedAt, m_platformSeenAt);
    }
}

void ConfigKeeper::consider(const std::string &manifest, const std::string &fromPeer)
{
    try {
        const Manifest next = manifestFromText(manifest);
        if (fromPeer.empty()) {
            m_platformVersion = std::max(m_platformVersion, next.version);
        }
        m_newestKnown = std::max(m_newestKnown, next.version);
        if (next.version <= version() || next.version < m_wanted.version) {
            return;
        }
        m_wanted = next;
        m_wantedText = manifest;
        m_wantedPeer = fromPeer;
        m_askedAt.clear();
    } catch (const DocumentError &error) {
        m_log.record(EventCode::ConfigRejected, "manifest", error.what());
        return;
    }
    tryApply();
    fetchParts();
}

bool ConfigKeeper::isNewerKnown() const
{
    return m_newestKnown > version();
}

std::vector<std::string> ConfigKeeper::missingParts() const
{
    std::vector<std::string> missing;
    if (m_wanted.version <= version()) {
        return missing;
    }
    std::copy_if(m_wanted.parts.begin(), m_wanted.parts.end(), std::back_inserter(missing),
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
        const auto asked = m_askedAt.find(digest);
        const bool isDue = asked == m_askedAt.end() || asked->second + fetchAgainAfter <= now;
        if (isDue && running < parallelFetches) {
            fetchPart(digest);
        }
        running += asked != m_askedAt.end() || isDue ? 1 : 0;
    }
    const bool isPeerDue = m_peerAskedAt + peerAskInterval <= now;
    if (!missing.empty() && !m_wantedPeer.empty() && isPeerDue) {
        m_peerAskedAt = now;
        missing.resize(std::min(missing.size(), partsInOffer));
        m_link.send(m_wantedPeer, ConfigRequest {missing});
    }
}

void ConfigKeeper::fetchPart(const std::string &digest)
{
    m_askedAt[digest] = m_clock.now();
    m_objects.get(
        partPath(digest),
        [this, digest](const ObjectReply &reply) {
            if (reply.status == ObjectReply::Status::Ok) {
                onPart(digest, reply.value);
                fetchParts();
            }
        },
        slowReadTimeout);
}

void ConfigKeeper::onPart(const std::string &digest, const std::string &content)
{
    if (sha256Hex(content) != digest) {
        m_log.record(EventCode::ConfigRejected, digest, "content doesn't match the digest");
        return;
    }
    const bool isWanted = std::find(m_wanted.parts.begin(), m_wanted.parts.end(), digest) != m_wanted.parts.end();
    if (isWanted) {
        m_parts[digest] = content;
        tryApply();
    }
}

void ConfigKeeper::tryApply()
{
    if (m_wanted.version <= version() || !missingParts().empty()) {
        return;
    }
    try {
        m_current = std::make_shared<const ActiveConfig>(decodeDocument(m_wanted, m_parts), m_wanted.version);
    } catch (const DocumentError &error) {
        m_log.record(EventCode::ConfigRejected, std::to_string(m_wanted.version.value), error.what());
        m_wanted = Manifest {};
        return;
    }
    m_manifest = m_wantedText;
    confirmByPlatform();
    std::erase_if(m_parts, [this](const auto &part) {
        return std::find(m_wanted.parts.begin(), m_wanted.parts.end(), part.first) == m_wanted.parts.end();
    });
    m_log.record(EventCode::ConfigInForce, std::to_string(version().value), std::to_string(m_parts.size()) + " parts");
    m_onChange();
}

void ConfigKeeper::onPeerVersion(const std::string &address, ConfigVersion peerVersion, Millis confirmedAge,
                                 Millis askedAt)
{
    if (peerVersion == version()) {
        m_confirmedAt = std::max(m_confirmedAt, askedAt - confirmedAge);
        return;
    }
    m_newestKnown = std::max(m_newestKnown, peerVersion);
    if (peerVersion < version() || address.empty()) {
        return;
    }
    if (peerVersion > m_wanted.version) {
        m_link.send(address, ConfigRequest {});
    } else if (peerVersion == m_wanted.version) {
        m_wantedPeer = address; // the platform may be slow or out of reach
        fetchParts();
    }
}

void ConfigKeeper::onAsk(const std::string &address, const ConfigRequest &ask)
{
    if (m_current == nullptr || address.empty()) {
        return;
    }
    ConfigResponse offer;
    if (ask.digests.empty()) {
        offer.manifest = m_manifest;
    }
    for (size_t i = 0; i < std::min(ask.digests.size(), partsInOffer); ++i) {
        const auto part = m_parts.find(ask.digests[i]);
        if (part != m_parts.end()) {
            offer.parts.insert(*part);
        }
    }
    m_link.send(address, offer);
}

void ConfigKeeper::onOffer(const std::string &address, const ConfigResponse &offer)
{
    if (!offer.manifest.empty()) {
        consider(offer.manifest, address);
    }
    for (const auto &[digest, content] : offer.parts) {
        onPart(digest, content);
    }
    if (!offer.parts.empty()) {
        m_peerAskedAt = m_clock.now() - peerAskInterval;
        fetchParts();
    }
}

}
