#include "cluster/clusterstore.h"

#include "core/clock.h"
#include "core/error.h"
#include "objects/objectclient.h"

namespace vanillaspar
{

namespace
{

const std::string clusterPath = "system/cluster";
constexpr Millis retryDelay(300);

}

ClusterStore::ClusterStore(ObjectClient &objects, const Clock &clock, Listener listener)
    : m_objects(objects), m_clock(clock), m_listener(std::move(listener))
{
}

void ClusterStore::start()
{
    // A watch would only answer once the object exists, so the object is read first to learn whether it does.
    m_isWatching = true;
    m_objects.get(clusterPath, [this](const ObjectReply &reply) {
        onWatched(reply);
    });
}

void ClusterStore::tick()
{
    if (!m_isWatching && m_clock.now() >= m_watchAt) {
        watch();
    }
    if (m_isBusy || m_clock.now() < m_retryAt) {
        return;
    }
    if (m_isRefreshNeeded) {
        refresh();
    } else if (!m_pending.empty() && m_isKnown) {
        writeNext();
    }
}

void ClusterStore::watch()
{
    m_isWatching = true;
    m_objects.watch(clusterPath, m_state.version, [this](const ObjectReply &reply) {
        onWatched(reply);
    });
}

void ClusterStore::onWatched(const ObjectReply &reply)
{
    m_isWatching = false;
    if (reply.status == ObjectReply::Status::Unreachable) {
        m_watchAt = m_clock.now() + retryDelay;
        return;
    }
    if (reply.status == ObjectReply::Status::Ok) {
        accept(reply.version, reply.value);
    } else {
        m_isKnown = true;
    }
    watch();
}

void ClusterStore::accept(ObjectVersion version, const std::string &value)
{
    m_isKnown = true;
    if (version <= m_state.version) {
        return;
    }
    m_state = ClusterState::fromText(value, version);
    m_listener();
}

void ClusterStore::mergeFromPeer(ObjectVersion version, const std::string &value)
{
    if (version > m_state.version) {
        accept(version, value);
    }
}

void ClusterStore::update(Change change, Done done)
{
    m_pending.push_back({std::move(change), std::move(done)});
    if (!m_isBusy && m_isKnown && !m_isRefreshNeeded) {
        writeNext();
    }
}

void ClusterStore::dropPendingChanges()
{
    m_pending.clear();
    ++m_generation;
    m_isBusy = false;
    m_isRefreshNeeded = true;
}

void ClusterStore::refresh()
{
    m_isBusy = true;
    m_objects.get(clusterPath, [this, generation = m_generation](const ObjectReply &reply) {
        if (generation != m_generation) {
            return;
        }
        m_isBusy = false;
        if (reply.status == ObjectReply::Status::Unreachable) {
            m_retryAt = m_clock.now() + retryDelay;
            return;
        }
        m_isRefreshNeeded = false;
        if (reply.status == ObjectReply::Status::Ok) {
            accept(reply.version, reply.value);
        }
        writeNext();
    });
}

void ClusterStore::writeNext()
{
    while (!m_pending.empty() && !m_isBusy) {
        ClusterState next = m_state;
        if (!m_pending.front().change(next)) {
            finishFirst();
            continue;
        }
        m_isBusy = true;
        m_objects.put(clusterPath, m_state.version, next.toText(),
                      [this, next, generation = m_generation](const ObjectReply &reply) {
                          if (generation == m_generation) {
                              onWritten(reply, next);
                          }
                      });
    }
}

void ClusterStore::onWritten(const ObjectReply &reply, const ClusterState &written)
{
    m_isBusy = false;
    if (reply.status != ObjectReply::Status::Ok) {
        // Without a reply the write may still have taken effect. The object is read again and the change applied to it.
        m_isRefreshNeeded = true;
        if (reply.status == ObjectReply::Status::Unreachable) {
            m_retryAt = m_clock.now() + retryDelay;
        } else {
            refresh();
        }
        return;
    }
    if (reply.version > m_state.version) {
        m_state = written;
        m_state.version = reply.version;
        m_listener();
    }
    finishFirst();
    writeNext();
}

void ClusterStore::finishFirst()
{
    const Done done = std::move(m_pending.front().done);
    m_pending.pop_front();
    if (done) {
        done();
    }
}

}
