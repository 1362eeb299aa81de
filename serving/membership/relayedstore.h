#pragma once

#include "cluster/messages/records.h"
#include "core/ids.h"
#include "core/units.h"
#include "serving/interfaces/statestore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{
class Clock;
class EventLog;
class PeerLink;
}

namespace vanillaspar::serving
{

class FleetMembers;
class RecordCopies;
struct ServingSettings;

/** The components that RelayedStore works with. */
struct RelayContext
{
    const ServingSettings &settings;
    const Clock &clock;
    StateStore &store;
    PeerLink &peers;
    EventLog &log;
    const FleetMembers &members;
    const RecordCopies &copies;
};

/**
 * The store, read from another host's copies where there is such a host.
 *
 * A leaf host asks its hub, and a hub asks the leader; the leader, and a host without a usable source, ask the store.
 * A call that the source can't answer, or doesn't answer in time, goes to the store. Writes always go to the store.
 */
class RelayedStore : public StateStore
{
public:
    /** @param firstRequest a random number, so that answers to an earlier process of this host are told apart. */
    RelayedStore(const RelayContext &context, uint64_t firstRequest);

    uint64_t list(Collection collection, const std::string &after, ReadHandler handler) override;
    uint64_t watch(Collection collection, StorePosition since, Millis wait, ReadHandler handler) override;
    void write(Collection collection, const std::string &name, const nlohmann::json &content, StorePosition expected,
               WriteHandler handler) override;
    void remove(Collection collection, const std::string &name, StorePosition expected, WriteHandler handler) override;
    void probe(Collection collection, const std::string &name, WriteHandler handler) override;
    void cancel(uint64_t call) override;

    /** Handles a piece of an answer. @param from the host that sent it. */
    void onAnswer(const HostId &from, const RecordAnswer &answer);
    /** Passes calls on to the store whose time has passed; to be called every few milliseconds. */
    void tick();
    /** @return the host whose copies are read now; empty if it is the store. */
    HostId source() const;
    /** @return when the store last answered this host itself; negative if it never has. */
    Millis contactAt() const
    {
        return m_contactAt;
    }
    /** @return the number of calls that went to the store since the start. */
    int64_t storeReads() const
    {
        return m_storeReads;
    }
    /** @return the number of calls that other hosts' copies answered since the start. */
    int64_t relayedReads() const
    {
        return m_relayedReads;
    }

private:
    /** A list or watch that isn't answered. */
    struct Call
    {
        Collection collection = Collection::Configuration;
        bool isList = false;
        std::string after;
        StorePosition since;
        Millis wait;
        ReadHandler handler;
        HostId source; ///< That was asked; empty for none.
        bool isInStore = false;
        uint64_t storeCall = 0;
        Millis sentAt;
        Millis dueAt; ///< When the source must have answered.
        RecordAnswer answer; ///< The first piece of the answer.
        std::vector<std::string> pieces; ///< Of the answer, empty if missing.
        size_t received = 0; ///< Number of pieces.
    };

    uint64_t start(Call call);
    /** Sends the call to the source that there is now, or to the store; keeps it if it is too early to tell. */
    void send(uint64_t number, Call &call);
    void ask(uint64_t number, Call &call, const HostId &source);
    void askStore(uint64_t number, Call &call);
    /** Adds a piece of the answer. @return whether the answer is complete. */
    static bool collect(Call &call, const RecordAnswer &answer);
    /** A complete answer has arrived. */
    void finish(uint64_t number);
    /** @return whether the host can be asked. */
    bool isUsable(const HostId &host) const;
    /** @return whether it is too early to tell which host to ask. */
    bool isUndecided(Collection collection) const;
    /** @return the hub that this host will have, as long as no host is heard. */
    HostId expectedHub() const;
    /** Asks the store whether it answers this host, if no call has told so lately. */
    void probeStore();
    /** Logs a change of the source. */
    void logSource();

    RelayContext m_context;
    Millis m_startedAt;
    uint64_t m_nextCall;
    std::map<uint64_t, Call> m_calls;
    std::map<HostId, Millis> m_avoidedUntil; ///< Hosts that didn't answer.
    std::map<Collection, StorePosition> m_knownPositions; ///< The newest position that a caller knows.
    Millis m_contactAt {-1};
    Millis m_probedAt {-1}; ///< When the last probe was sent.
    HostId m_loggedSource;
    int64_t m_storeReads = 0;
    int64_t m_relayedReads = 0;
};

}
