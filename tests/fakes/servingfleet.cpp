#include "tests/fakes/servingfleet.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "net/httpupstream.h"
#include "tests/fakes/fleetconfig.h"
#include "tests/fakes/servingfleetcallers.h"
#include "tests/fakes/servingfleetparts.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

constexpr Millis step(5);
constexpr Millis wayTime(2); // of a datagram or a request
constexpr Millis warmUp(6000); // until owners are assigned and all hosts are ready
constexpr Millis downTime(3000); // of an engine that has ended
constexpr Millis entryLifetime(3600); // of a silent engine in service discovery
constexpr Millis eventInterval(40);
constexpr size_t firstParts = 3;
constexpr size_t subjects = 200;
constexpr double millisPerSecond = 1000;
constexpr int statusOk = 200;
constexpr const char *crashingAdapter = "m/bad";

}

/** Sends the attempts of a host to the engines. */
class ServingFleet::Attempts : public AttemptSender
{
public:
    Attempts(ServingFleet &fleet, size_t host) : m_fleet(fleet), m_host(host)
    {
    }
    void send(uint64_t attempt, const Backend &backend, const ClientRequest &request,
              const AttemptOptions &options) override
    {
        m_fleet.arrive(m_host, attempt, backend, request, options);
    }
    void cancel(uint64_t attempt) override
    {
        for (const auto &engine : m_fleet.m_engines) {
            std::erase_if(engine->runs, [&](const Run &run) {
                return run.host == m_host && run.attempt == attempt;
            });
        }
    }

private:
    ServingFleet &m_fleet;
    size_t m_host;
};

/** Sends the datagrams of a host. */
class ServingFleet::Peers : public PeerLink
{
public:
    Peers(ServingFleet &fleet, size_t host) : m_fleet(fleet), m_host(host)
    {
    }
    void send(const std::string &address, const Message &message) override;

private:
    ServingFleet &m_fleet;
    size_t m_host;
};

/** Engines that carry out every order at once; all of them hold the adapter that is usually asked for. */
class ServingFleet::Orders : public OrderPort
{
public:
    explicit Orders(ServingFleet &fleet) : m_fleet(fleet)
    {
    }
    void sendOrder(const Backend &backend, const EngineOrder &order, std::function<void(OrderResult)> handler) override
    {
        m_fleet.m_orders[backend.id].push_back({m_fleet.m_clock.now(), order.issuer, order.fencingNumber});
        if (order.isLoad && order.weights == crashingAdapter) {
            handlers.push_back([this, replica = backend.id, handler] {
                m_fleet.crashOnLoad(replica);
                handler(OrderResult::Unknown);
            });
            return;
        }
        handlers.push_back([handler] {
            handler(OrderResult::Completed);
        });
    }
    void fetchReport(const Backend &backend, std::function<void(std::optional<EngineResidency>)> handler) override
    {
        handlers.push_back([this, handler, id = backend.id, residency = backend.residency] {
            const bool isRunning
                = std::any_of(m_fleet.m_engines.begin(), m_fleet.m_engines.end(), [&id](const auto &each) {
                      return each->isRunning && each->id == id;
                  });
            handler(isRunning ? std::optional(residency) : std::nullopt);
        });
    }

    std::vector<std::function<void()>> handlers; ///< Of calls that are to be answered.

private:
    ServingFleet &m_fleet;
};

/** One host and its process. */
struct ServingFleet::Host
{
    ServingSettings settings;
    int64_t incarnation = 0;
    bool isCut = false;
    bool isFrozen = false;
    Millis disturbedAt {INT64_MIN / 2}; ///< When it was last cut, suspended or restarted.
    std::unique_ptr<FleetStore::Client> store;
    std::unique_ptr<Callers> callers;
    std::unique_ptr<Attempts> attempts;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<Orders> orders;
    std::unique_ptr<ServingNode> node;
};

void ServingFleet::Peers::send(const std::string &address, const Message &message)
{
    const Host &host = *m_fleet.m_hosts[m_host];
    std::string frame = m_fleet.m_codec.encode(host.settings.host, message);
    m_fleet.m_largestDatagram = std::max(m_fleet.m_largestDatagram, frame.size());
    if (!host.isCut) {
        m_fleet.m_datagrams.push_back({m_fleet.m_clock.now() + wayTime, m_host, address, std::move(frame)});
    }
}

ServingFleet::ServingFleet(const FleetSetup &setup, uint64_t seed) : m_setup(setup), m_random(seed), m_store(m_clock)
{
    m_clock.setNow(Millis(1000000));
    m_decoder.configs.push_back(std::make_shared<ServingConfig>(fleetConfig(m_setup.coldPerSecond)));
    m_store.put(Collection::Configuration, "main", 0);
    for (size_t i = 0; i < m_setup.replicas; ++i) {
        m_engines.push_back(std::make_unique<Engine>());
        m_engines.back()->address = "10.9.0." + std::to_string(i + 1) + ":80";
        startEngine(i);
    }
    for (size_t i = 0; i < m_setup.hosts; ++i) {
        m_hosts.push_back(std::make_unique<Host>());
        ServingSettings &settings = m_hosts[i]->settings;
        settings.host = hostId(i);
        settings.domain = DomainId(std::string(1, static_cast<char>('a' + i % 3)));
        settings.peerAddress = "10.0.0." + std::to_string(i + 1) + ":7600";
        settings.callerAddress = "10.0.0." + std::to_string(i + 1) + ":8000";
        settings.capacity = i < 6 ? 1 : 0.2;
        applyLimits(settings);
        settings.features.recordRelay = m_setup.isRelaying && i >= m_setup.hostsWithoutRelay;
        start(i);
    }
    const double soundRate = std::exchange(m_setup.soundRate, 0);
    const double crashingRate = std::exchange(m_setup.crashingRate, 0);
    const double crashingLoadRate = std::exchange(m_setup.crashingLoadRate, 0);
    play(warmUp);
    m_setup.soundRate = soundRate;
    m_setup.crashingRate = crashingRate;
    m_setup.crashingLoadRate = crashingLoadRate;
    for (const auto &host : m_hosts) {
        host->disturbedAt = Millis(INT64_MIN / 2);
    }
}

ServingFleet::~ServingFleet() = default;

const PromptPartId &ServingFleet::crashingPart()
{
    static const PromptPartId part("badbadbad");
    return part;
}

void ServingFleet::start(size_t number)
{
    Host &host = *m_hosts[number];
    host.node.reset();
    ++host.incarnation;
    host.disturbedAt = m_clock.now();
    host.store = std::make_unique<FleetStore::Client>(m_store);
    host.store->setCut(host.isCut || m_isStoreDown);
    host.callers = std::make_unique<Callers>(*this);
    host.attempts = std::make_unique<Attempts>(*this, number);
    host.peers = std::make_unique<Peers>(*this, number);
    host.orders = std::make_unique<Orders>(*this);
    host.node = std::make_unique<ServingNode>(host.settings,
                                              ServingPorts {m_clock, *host.store, m_decoder, *host.peers, *host.callers,
                                                            *host.attempts, *host.orders, m_log, m_metrics,
                                                            [](const IngressLimits &) {}},
                                              m_random.next());
}

void ServingFleet::restart(size_t host)
{
    for (const auto &engine : m_engines) {
        std::erase_if(engine->runs, [&](const Run &run) {
            return run.host == host;
        });
    }
    m_hosts[host]->isFrozen = false;
    start(host);
}

void ServingFleet::restartAll()
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        restart(i);
    }
}

void ServingFleet::setCut(size_t number, bool isCut)
{
    Host &host = *m_hosts[number];
    host.isCut = isCut;
    host.disturbedAt = m_clock.now();
    host.store->setCut(isCut || m_isStoreDown);
}

void ServingFleet::setFrozen(size_t number, bool isFrozen)
{
    m_hosts[number]->isFrozen = isFrozen;
    m_hosts[number]->disturbedAt = m_clock.now();
}

void ServingFleet::setStoreDown(bool isDown)
{
    m_isStoreDown = isDown;
    for (const auto &host : m_hosts) {
        host->store->setCut(isDown || host->isCut);
    }
}

void ServingFleet::startEngine(size_t number)
{
    Engine &engine = *m_engines[number];
    engine.isRunning = true;
    engine.id = ReplicaId("i-" + std::to_string(m_nextEngine++));
    engine.backend = makeBackend(engine.id.text(), "engines", {{"m/a1", 1}});
    engine.backend.address = engine.address;
    engine.backend.slots = fleetEngineSlots;
    engine.backend.domain = domainOf(number);
    engine.backend.residency.incarnation = m_clock.now().value;
    m_decoder.backends.push_back(engine.backend);
    m_store.put(Collection::Backends, engine.id.text(), m_decoder.backends.size() - 1);
}

void ServingFleet::endEngine(size_t number, bool isCrash)
{
    Engine &engine = *m_engines[number];
    if (!engine.isRunning) {
        return;
    }
    engine.isRunning = false;
    engine.crashAt = Millis(-1);
    engine.startsAt = m_clock.now() + downTime + Millis(static_cast<int64_t>(m_random.below(1000)));
    engine.entryEndsAt = m_clock.now() + entryLifetime - Millis(600); // before it starts anew
    if (isCrash) {
        m_crashes.push_back(m_clock.now());
    }
    for (const Run &run : std::exchange(engine.runs, {})) {
        Host &host = *m_hosts[run.host];
        if (host.incarnation == run.incarnation) {
            host.node->dispatcher().onAttemptEnd(run.attempt, UpstreamEnd::Broken);
        }
    }
}

void ServingFleet::resetConnections(size_t number)
{
    for (const auto &engine : m_engines) {
        std::vector<Run> lost;
        std::erase_if(engine->runs, [&](const Run &run) {
            const bool isOwn = run.host == number;
            if (isOwn) {
                lost.push_back(run);
            }
            return isOwn;
        });
        for (const Run &run : lost) {
            m_hosts[number]->node->dispatcher().onAttemptEnd(run.attempt, UpstreamEnd::Broken);
        }
    }
}

void ServingFleet::arrive(size_t number, uint64_t attempt, const Backend &backend, const ClientRequest &request,
                          const AttemptOptions & /*options*/)
{
    const Host &host = *m_hosts[number];
    const bool isCrashing = std::find(request.promptParts.begin(), request.promptParts.end(), crashingPart())
        != request.promptParts.end();
    const auto engine = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto &candidate) {
        return candidate->isRunning && candidate->id == backend.id;
    });
    if (engine == m_engines.end()) {
        // Refused connections are reported a moment later, as by a socket.
        Host &sender = *m_hosts[number];
        sender.orders->handlers.push_back([&sender, attempt] {
            sender.node->dispatcher().onAttemptEnd(attempt, UpstreamEnd::NotSent);
        });
        return;
    }
    if (isCrashing) {
        m_crashingArrivals.emplace_back(m_clock.now(), host.disturbedAt);
    }
    m_arrivals.emplace_back(m_clock.now(), static_cast<size_t>(engine - m_engines.begin()));
    const Millis beginsAt = m_clock.now() + wayTime + Millis(20 + static_cast<int64_t>(m_random.below(60)));
    (*engine)->runs.push_back({number, host.incarnation, attempt, request.exchange, isCrashing, beginsAt, -1});
}

void ServingFleet::runEngine(Engine &engine)
{
    const Millis now = m_clock.now();
    std::vector<Run> due;
    for (Run &run : engine.runs) {
        if (now >= run.nextAt) {
            due.push_back(run);
            run.nextAt = now + eventInterval;
            ++run.events;
        }
    }
    for (const Run &run : due) {
        Host &host = *m_hosts[run.host];
        if (host.isFrozen) {
            continue; // its answers wait in the socket; what becomes of them isn't judged
        }
        Dispatcher &dispatcher = host.node->dispatcher();
        const bool begins = run.events < 0;
        if (begins && run.isCrashing) {
            const Millis drawn(40 + static_cast<int64_t>(m_random.below(60)));
            engine.crashAt = now + (m_setup.crashDelay.value > 0 ? m_setup.crashDelay : drawn);
        }
        if (begins && (!run.isCrashing || m_setup.hasHead)) {
            HttpHead head;
            head.status = statusOk;
            head.endsWithConnection = m_setup.isUnframed;
            head.headers = {{"Content-Type", "text/event-stream"}};
            dispatcher.onAttemptHead(run.attempt, {head, true, false, false, false});
        }
        if (run.isCrashing) {
            continue;
        }
        dispatcher.onAttemptBody(run.attempt, "id: " + std::to_string(run.events + 2) + "\ndata: x\n\n");
        if (run.events + 2 >= m_setup.events) {
            std::erase_if(engine.runs, [&](const Run &each) {
                return each.host == run.host && each.attempt == run.attempt;
            });
            dispatcher.onAttemptEnd(run.attempt, UpstreamEnd::Complete);
        }
    }
}

void ServingFleet::sendRequest(bool isCrashing)
{
    const size_t number = m_random.below(m_hosts.size());
    Host &host = *m_hosts[number];
    const uint64_t exchange = m_nextExchange++;
    const size_t team = m_random.below(fleetTeams);
    const size_t first = isCrashing ? 0 : m_random.below(firstParts);
    // A few subjects are asked for often, most rarely.
    double skewed = m_random.unit();
    skewed *= m_random.unit();
    skewed *= m_random.unit();
    const auto subject = static_cast<size_t>(skewed * subjects);
    ClientRequest request = makeRequest(exchange, m_setup.target + "x", "m/a1", m_clock.now());
    request.key = "key" + std::to_string(isCrashing ? 0 : team);
    request.promptParts = {PromptPartId("f" + std::to_string(first)), PromptPartId("e" + request.key.substr(3)),
                           PromptPartId("b" + std::to_string(subject)), PromptPartId("a" + std::to_string(exchange))};
    if (isCrashing) {
        request.promptParts[m_setup.crashingPlace] = crashingPart();
    }
    if (isCrashing && m_setup.isSameRequest) {
        request.promptParts = {PromptPartId("f0"), PromptPartId("e0"), PromptPartId("b1"), crashingPart()};
    } else if (!isCrashing && m_random.unit() < m_setup.popularShare) {
        request.promptParts.back() = PromptPartId("popular");
        request.promptParts[0] = PromptPartId("f1");
        request.promptParts[1] = PromptPartId("e1");
        request.promptParts[2] = PromptPartId("b0");
    }
    Outcome &outcome = m_outcomes[exchange];
    outcome.sentAt = m_clock.now();
    outcome.isCrashing = isCrashing;
    outcome.team = request.key;
    outcome.firstPart = request.promptParts.front().text();
    outcome.isDisturbed = host.isCut || host.isFrozen || m_clock.now() - host.disturbedAt < Millis(3000);
    if (!host.isFrozen) {
        host.node->onRequest(std::move(request));
    }
}

void ServingFleet::sendRequestForCrashingAdapter()
{
    Host &host = *m_hosts[m_random.below(m_hosts.size())];
    const uint64_t exchange = m_nextExchange++;
    ClientRequest request = makeRequest(exchange, m_setup.target + "x", crashingAdapter, m_clock.now());
    request.key = "key0";
    request.promptParts = {PromptPartId("f0"), PromptPartId("a" + std::to_string(exchange))};
    m_outcomes[exchange].isCrashing = true;
    if (!host.isFrozen) {
        host.node->onRequest(std::move(request));
    }
}

void ServingFleet::sendRequestForOtherAdapter()
{
    constexpr uint64_t adapters = 60;
    Host &host = *m_hosts[m_random.below(m_hosts.size())];
    const uint64_t exchange = m_nextExchange++;
    ClientRequest request
        = makeRequest(exchange, m_setup.target + "x", "m/b" + std::to_string(m_random.below(adapters)), m_clock.now());
    request.key = "key1";
    m_outcomes[exchange].isCrashing = true; // isn't judged
    if (!host.isFrozen) {
        host.node->onRequest(std::move(request));
    }
}

void ServingFleet::sendRequests()
{
    const double seconds = static_cast<double>(step.value) / millisPerSecond;
    for (m_dueSound += m_setup.soundRate * seconds; m_dueSound >= 1; m_dueSound -= 1) {
        sendRequest(false);
    }
    for (m_dueCrashing += m_setup.crashingRate * seconds; m_dueCrashing >= 1; m_dueCrashing -= 1) {
        sendRequest(true);
    }
    for (m_dueOtherAdapters += m_setup.otherAdapterRate * seconds; m_dueOtherAdapters >= 1; m_dueOtherAdapters -= 1) {
        sendRequestForOtherAdapter();
    }
    for (m_dueCrashingLoads += m_setup.crashingLoadRate * seconds; m_dueCrashingLoads >= 1; m_dueCrashingLoads -= 1) {
        sendRequestForCrashingAdapter();
    }
}

void ServingFleet::deliver()
{
    while (!m_datagrams.empty() && m_clock.now() >= m_datagrams.front().dueAt) {
        const Datagram datagram = std::move(m_datagrams.front());
        m_datagrams.pop_front();
        for (const auto &host : m_hosts) {
            if (host->settings.peerAddress == datagram.address && !host->isCut && !host->isFrozen) {
                const Envelope envelope = m_codec.decode(datagram.frame);
                host->node->onPeerMessage(envelope.from, envelope.message);
            }
        }
    }
}

void ServingFleet::play(Millis duration)
{
    const Millis end = m_clock.now() + duration;
    while (m_clock.now() < end) {
        m_clock.setNow(m_clock.now() + step);
        for (size_t i = 0; i < m_engines.size(); ++i) {
            Engine &engine = *m_engines[i];
            if (engine.entryEndsAt.value >= 0 && m_clock.now() >= engine.entryEndsAt) {
                m_store.put(Collection::Backends, engine.id.text(), nullptr);
                engine.entryEndsAt = Millis(-1);
            }
            if (!engine.isRunning && m_clock.now() >= engine.startsAt) {
                startEngine(i);
            }
            runEngine(engine);
            if (engine.crashAt.value >= 0 && m_clock.now() >= engine.crashAt) {
                endEngine(i, true);
            }
        }
        if (m_setup.keepsCopies) {
            m_store.keepCopies();
        }
        rewriteLostEntries();
        deliver();
        for (const auto &host : m_hosts) {
            if (host->isFrozen) {
                continue;
            }
            host->store->tick();
            for (const auto &handler : std::exchange(host->orders->handlers, {})) {
                handler();
            }
            if (m_clock.now().value % 10 == 0) {
                host->node->tick();
            }
        }
        sendRequests();
    }
}

}
