#pragma once

#include "cluster/messagecodec.h"
#include "core/random.h"
#include "tests/fakes/fleetstore.h"
#include "tests/fakes/servingfakes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** How a fleet in virtual time is set up. */
struct FleetSetup
{
    size_t hosts = 6; ///< Spread over three failure domains; the first two of each are larger.
    size_t replicas = 18;
    double soundRate = 250; ///< Sound requests a second.
    double crashingRate = 0; ///< Requests a second with the part that crashes replicas.
    bool isSameRequest = false; ///< Whether the crashing part is the last one and all parts are the same each time.
    double popularShare = 0; ///< Share of the sound requests that repeat one request word for word.
    std::string target = "/s/"; ///< Path of the route that is asked for; "/r/" may be resumed.
    double crashingLoadRate
        = 0; ///< Requests a second for an adapter that ends every engine which is ordered to load it.
    double otherAdapterRate = 0; ///< Requests a second for adapters that no engine holds, so that owners order loads.
    bool keepsCopies = false; ///< Whether the store keeps copies to restore.
    double coldPerSecond = 0; ///< Cold rate of the engine pool; above 0 the hosts limit cold engines.
    Millis evacuationLimit {0}; ///< Above 0 the hosts follow evacuations.
    bool isRelaying = false; ///< Whether hosts read the store's records from hubs.
    size_t hostsWithoutRelay = 0; ///< The first so many hosts are of a build without it.
    bool hasHead = true; ///< Whether a replica sends the start of an answer before it crashes on it.
    Millis crashDelay {0}; ///< From the start of an answer with the crashing part to the crash; 0 for 40 to 100 ms.
    size_t crashingPlace = 2; ///< Of the crashing part among the first three parts of a prompt.
    int64_t events = 14; ///< Of an answer.
    bool isUnframed = false; ///< Whether answers have neither a length nor chunks and end with their connection.
};

/**
 * Hosts that share a store, engines and callers, in virtual time.
 *
 * An engine crashes a moment after it begins to answer a request with the crashing part, ends all its other answers
 * with it, and comes back some seconds later under another id at the same address. Counts what engines and callers see.
 */
class ServingFleet
{
public:
    ServingFleet(const FleetSetup &setup, uint64_t seed);
    ~ServingFleet();

    void play(Millis duration);
    void setCrashingRate(double rate)
    {
        m_setup.crashingRate = rate;
    }
    void setSoundRate(double rate)
    {
        m_setup.soundRate = rate;
    }
    /** Kills a host's process and starts it again without state. */
    void restart(size_t host);
    /** Kills the processes of all hosts at once and starts them again. */
    void restartAll();
    /** Kills a host's process; restart() starts it again. */
    void kill(size_t host);
    /** Cuts a host off from all others and the store, or ends that. */
    void setCut(size_t host, bool isCut);
    /** Suspends a host's process, or ends that. */
    void setFrozen(size_t host, bool isFrozen);
    /** Cuts all hosts off from the store, or ends that. */
    void setStoreDown(bool isDown);
    /**
     * Restores the store from a copy. Replicas whose entry is lost write it again within two seconds.
     *
     * @return how old the copy is.
     */
    Millis restoreStore(Millis age);
    /** Writes a configuration. @param withdrawnKey a key that it doesn't have; empty for none. */
    void putConfiguration(int64_t version, const std::string &withdrawnKey);
    /** An engine turns cold for @p duration. @param isWritten whether its entry in the store says so. */
    void setCold(size_t engine, Millis duration, bool isWritten = true);
    /** Ends an engine for a reason of its own. */
    void killEngine(size_t engine);
    /** Ends an engine and starts it again at once under the id that it has. */
    void restartEngine(size_t engine);
    /** Loses the connections of one host to all engines. */
    void resetConnections(size_t host);

    static HostId hostId(size_t host)
    {
        return HostId("h" + std::to_string(100 + host));
    }
    static const PromptPartId &crashingPart();
    FleetStore &store()
    {
        return m_store;
    }
    Millis now() const
    {
        return m_clock.now();
    }
    size_t hostCount() const
    {
        return m_hosts.size();
    }
    size_t engineCount() const
    {
        return m_engines.size();
    }

    /** @return number of engines that have ended by an order to load since a time. */
    int64_t loadCrashCount(Millis from) const;
    /** @return number of engines that have crashed on the part. */
    size_t crashCount() const
    {
        return m_crashes.size();
    }
    /**
     * @return the number of requests with the crashing part that reached engines more than @p contact after the
     *     last of the first @p crashes, sent by hosts that had been undisturbed for that long.
     */
    int64_t lateArrivals(Millis contact, size_t crashes = 5) const;
    /** @return the share of the sound requests of a time span whose answer began; 1 if there are none. */
    double begunShare(Millis from, Millis to) const;
    /** @return the lowest such share of a team or a first part that has 20 requests or more. */
    double lowestBegunShare(Millis from, Millis to) const;
    /** @return number of sound requests with a key that were sent since a time and whose answer began. */
    int64_t begunCount(const std::string &key, Millis from) const;
    /** An order that reached an engine. */
    struct OrderSeen
    {
        Millis at;
        HostId issuer;
        Epoch fencingNumber;
    };
    const std::map<ReplicaId, std::vector<OrderSeen>> &orders() const
    {
        return m_orders;
    }
    /**
     * @return a line for each order that a replica must not get: one whose fencing number another host has used, one
     * with a lower number than before, and one sent within the order lease after another host's.
     */
    std::string misplacedOrders() const;
    /** @return the refusals that callers got for the crashing part since a time. */
    std::vector<Refusal> crashingRefusals(Millis from) const;
    /** @return the number of sound requests that were refused with a code since a time. */
    int64_t soundRefusals(RefusalCode code, Millis from) const;
    /** @return the logs of all hosts, earlier incarnations included. */
    const std::vector<std::pair<EventCode, std::string>> &log() const
    {
        return m_log.lines;
    }
    /** @return the most requests that reached an engine within one second of a time span. */
    int64_t mostArrivals(size_t engine, Millis from, Millis to) const;
    /** @return the number of requests that reached the engines of a failure domain within a time span. */
    int64_t arrivalsIn(const DomainId &domain, Millis from, Millis to) const;
    /** @return the owner of an engine, by the table in the store; the number of hosts if it has none. */
    size_t ownerOf(size_t engine) const;
    /** @return the last order that reached an engine under its present id, or nullptr. */
    const OrderSeen *lastOrder(size_t engine) const;
    /** @return the largest datagram that a host has sent, in bytes. */
    size_t largestDatagram() const
    {
        return m_largestDatagram;
    }

private:
    struct Host;
    struct Engine;
    struct Run;
    struct Datagram
    {
        Millis dueAt;
        size_t from = 0;
        std::string address;
        std::string frame;
    };
    /** What became of one request. */
    struct Outcome
    {
        Millis sentAt;
        bool isCrashing = false;
        std::string team;
        std::string firstPart;
        bool hasBegun = false;
        bool isDisturbed = false; ///< Whether its host was cut, suspended or restarted.
        std::optional<Refusal> refusal;
    };

    class Callers;
    class Attempts;
    class Peers;
    class Orders;

    void start(size_t host);
    /** Sets the limits of the fleet's setup in a host's settings. */
    void applyLimits(ServingSettings &settings) const;
    /** @return an engine's failure domain: the first one, or one of three in a fleet with limits. */
    DomainId domainOf(size_t engine) const;
    void startEngine(size_t engine);
    void endEngine(size_t engine, bool isCrash);
    void sendRequests();
    void sendRequest(bool isCrashing);
    void sendRequestForCrashingAdapter();
    /** Sends a request for an adapter that no engine holds. */
    void sendRequestForOtherAdapter();
    void rewriteLostEntries();
    /** An engine was ordered to load an adapter that ends it. */
    void crashOnLoad(const ReplicaId &replica);
    void arrive(size_t host, uint64_t attempt, const Backend &backend, const ClientRequest &request,
                const AttemptOptions &options);
    void runEngine(Engine &engine);
    void deliver();

    FleetSetup m_setup;
    Random m_random;
    VirtualClock m_clock;
    FleetStore m_store;
    FakeDecoder m_decoder;
    FakeLog m_log;
    FakeMetrics m_metrics;
    MessageCodec m_codec {"secret"};
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::deque<Datagram> m_datagrams;
    std::map<uint64_t, Outcome> m_outcomes; ///< By exchange.
    std::vector<Millis> m_crashes;
    std::vector<Millis> m_loadCrashes;
    /** When requests with the crashing part reached an engine, and when their host was last disturbed. */
    std::vector<std::pair<Millis, Millis>> m_crashingArrivals;
    std::vector<std::pair<Millis, size_t>> m_arrivals; ///< At engines that were running, by number.
    uint64_t m_nextExchange = 1;
    uint64_t m_nextEngine = 1;
    double m_dueSound = 0;
    double m_dueCrashing = 0;
    double m_dueCrashingLoads = 0;
    double m_dueOtherAdapters = 0;
    std::map<ReplicaId, std::vector<OrderSeen>> m_orders;
    std::map<size_t, Millis> m_rewriteAt; ///< When engines write their lost entries again.
    size_t m_largestDatagram = 0;
    bool m_isStoreDown = false;
};

}
