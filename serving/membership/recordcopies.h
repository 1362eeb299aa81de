#pragma once

#include "cluster/messages/records.h"
#include "core/units.h"
#include "serving/interfaces/statestore.h"

#include <map>
#include <string>
#include <utility>

namespace vanillaspar
{
class Clock;
class PeerLink;
}

namespace vanillaspar::serving
{

class RecordMirror;

/**
 * Answers other hosts' requests for records from this host's copies of the store's collections.
 *
 * An answer states for how long the copy has not been proven. A request for changes is held until there is one. A copy
 * that isn't loaded by then, or whose proof is too old, answers that the store must be asked.
 */
class RecordCopies
{
public:
    RecordCopies(const Clock &clock, PeerLink &peers);

    /** Answers requests for a collection from @p mirror, which has to outlive this object. */
    void add(Collection collection, const RecordMirror &mirror);
    /** Answers a request of the host @p from, or holds it; it replaces one that is held for the same collection. */
    void onRequest(const std::string &from, const RecordRequest &request);
    /** Answers held requests that are due; to be called every few milliseconds. */
    void tick();
    /** @return the copy of a collection, or nullptr. */
    const RecordMirror *find(Collection collection) const;

private:
    /** A request that waits for a change. */
    struct Held
    {
        RecordRequest request;
        Millis receivedAt;
        Millis dueAt; ///< When it must be answered.
    };

    /** @return whether the request was answered. @param isDue whether it must not be held any longer. */
    bool answer(const Held &held, bool isDue);
    /** Sends an answer in as many pieces as it needs. */
    void send(const Held &held, RecordAnswer answer, const std::string &data);

    const Clock &m_clock;
    PeerLink &m_peers;
    std::map<Collection, const RecordMirror *> m_mirrors;
    std::map<std::pair<std::string, Collection>, Held> m_held; ///< By the asking host and the collection.
};

}
