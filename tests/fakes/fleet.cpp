#include "tests/fakes/fleet.h"

#include "cluster/messagecodec.h"
#include "config/activeconfig.h"
#include "config/documentcodec.h"
#include "core/hash.h"
#include "objects/objectcall.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

constexpr Millis watchTime(2000);
constexpr Millis slowness(3000);
constexpr Millis breakDelay(200);
constexpr Millis serviceTime(30);
constexpr Millis pushDelay(10);

}

FakeHost::FakeHost(Fleet &owner, size_t number) : fleet(owner), index(number)
{
}

void FakeHost::submit(const ObjectCall &call)
{
    ++platformCalls;
    const Millis now = fleet.clock.now();
    fleet.add(
        now + fleet.options.platformLatency, StepKind::PlatformCall, index,
        [this, call] {
            fleet.carryOut(index, call, false);
        },
        [this, call] {
            fleet.carryOut(index, call, true);
        });
}

void FakeHost::send(const std::string &address, const Message &message)
{
    ++messagesSent;
    if (fleet.options.countsBytes) {
        static const MessageCodec codec("a secret for counting bytes");
        bytesSent += codec.encode(HostId("host-000"), message).size();
    }
    fleet.add(fleet.clock.now() + fleet.options.peerLatency, StepKind::PeerMessage, index, [this, address, message] {
        fleet.deliverPeer(index, address, message);
    });
}

void FakeHost::submit(const BackendCall &submitted)
{
    const Millis now = fleet.clock.now();
    BackendCall call = submitted;
    if (fleet.alterCall) {
        fleet.alterCall(call);
    }
    if (std::holds_alternative<GenerateCall>(call.work) || std::holds_alternative<ServiceCall>(call.work)) {
        fleet.calls[{index, life, call.id}] = now;
    }
    fleet.add(
        now + fleet.options.backendLatency, StepKind::BackendCall, index,
        [this, call, life = life] {
            fleet.startCall(index, life, call, false);
        },
        [this, call, life = life] {
            fleet.startCall(index, life, call, true);
        },
        [this, call, life = life] {
            fleet.event(index, life, call, breakDelay, Broken {});
        },
        call);
}

void FakeHost::cancel(uint64_t call)
{
    fleet.cancelled.insert({index, call});
}

void FakeHost::sendPiece(uint64_t caller, const std::string &text)
{
    fleet.account.callers[caller].text += text;
}

void FakeHost::finish(uint64_t caller, Tokens /*used*/)
{
    CallerRecord &record = fleet.account.callers[caller];
    if (fleet.isAnswerSwallowed) {
        return;
    }
    if (record.hasEnded()) {
        fleet.account.violations.push_back("request " + std::to_string(caller) + " ended twice");
    }
    record.isComplete = true;
    record.endedAt = fleet.clock.now();
}

void FakeHost::refuse(uint64_t caller, const Refusal &refusal)
{
    CallerRecord &record = fleet.account.callers[caller];
    if (record.hasEnded()) {
        fleet.account.violations.push_back("request " + std::to_string(caller) + " ended twice");
    }
    record.refusal = refusal;
    record.endedAt = fleet.clock.now();
}

void FakeHost::sendAnswer(uint64_t caller, int /*status*/, const std::string &body)
{
    CallerRecord &record = fleet.account.callers[caller];
    if (record.hasEnded()) {
        fleet.account.violations.push_back("request " + std::to_string(caller) + " ended twice");
    }
    record.answer = body;
    record.endedAt = fleet.clock.now();
}

void FakeHost::record(EventCode code, const std::string &subject, const std::string &detail)
{
    ++events[code];
    if (std::getenv("FLEET_LOG") != nullptr) {
        std::fprintf(stderr, "%6lld host-%zu [%d] %s: %s\n", static_cast<long long>(fleet.clock.now().value), index,
                     static_cast<int>(code), subject.c_str(), detail.c_str());
    }
}

void FakeHost::record(const RequestOutcome &outcome)
{
    if (outcome.admittedAt.value >= 0) {
        fleet.account.grants.push_back({outcome.team, outcome.admittedAt, outcome.used.value});
    }
    if (fleet.options.onOutcome) {
        fleet.options.onOutcome(outcome);
    }
}

Fleet::Fleet(FleetOptions chosen, Document initial)
    : options(std::move(chosen)), document(std::move(initial)), random(options.seed)
{
    for (const Replica &replica : document.replicas) {
        FakeReplica &fake = replicas[replica.id];
        fake.replica = replica;
        fake.engine = EngineModel(replica.slots, replica.checksFencingNumber, replica.id.text());
    }
    accept(document, 0);
    for (size_t i = 0; i < options.hosts; ++i) {
        hosts.push_back(std::make_unique<FakeHost>(*this, i));
    }
}

Fleet::~Fleet() = default;

void Fleet::add(Millis at, StepKind kind, size_t host, std::function<void()> deliver,
                std::function<void()> withoutReply, std::function<void()> lose, std::optional<BackendCall> call)
{
    m_pending.push(
        {at, m_order++, kind, host, std::move(call), std::move(deliver), std::move(withoutReply), std::move(lose)});
}

void Fleet::at(Millis time, std::function<void()> action)
{
    add(time, StepKind::Other, 0, std::move(action));
}

void Fleet::startHost(size_t index)
{
    FakeHost &host = *hosts[index];
    ++host.life;
    host.isLost = false;
    NodeSettings settings = options.settings;
    settings.host = HostId("host-" + std::to_string(index));
    settings.domain = DomainId("domain-" + std::to_string(static_cast<int>(index) % options.domains));
    settings.peerAddress = "10.0.0." + std::to_string(index) + ":1";
    settings.callerAddress = "10.0.0." + std::to_string(index) + ":2";
    settings.seed = random.next();
    for (size_t i = 0; i < std::min<size_t>(options.hosts, 6); ++i) {
        settings.seeds.push_back("10.0.0." + std::to_string(i) + ":1");
    }
    host.node = std::make_unique<Node>(settings, Ports {clock, host, host, host, host, host, host}, options.policies);
    tickHost(index, host.life);
}

void Fleet::start()
{
    for (size_t i = 0; i < hosts.size(); ++i) {
        startHost(i);
    }
}

void Fleet::tickHost(size_t index, uint64_t life)
{
    FakeHost &host = *hosts[index];
    if (host.node == nullptr || host.life != life) {
        return;
    }
    if (host.pausedUntil <= clock.now()) {
        host.node->tick();
    }
    if (host.pausedUntil <= clock.now() && host.node->isDrained()) {
        crash(index, true); // the process ends; its callers must all have been answered
        return;
    }
    add(clock.now() + options.tick, StepKind::Other, index, [this, index, life] {
        tickHost(index, life);
    });
}

void Fleet::runUntil(Millis until)
{
    while (!m_pending.empty() && m_pending.top().at <= until) {
        PendingStep step = m_pending.top();
        m_pending.pop();
        clock.setNow(std::max(clock.now(), step.at));
        // Steps towards a paused process wait until it goes on.
        const bool isInput = step.kind == StepKind::PlatformReply || step.kind == StepKind::BackendEvent
            || step.kind == StepKind::CallerRequest;
        if (isInput && hosts[step.host]->pausedUntil > clock.now()) {
            add(hosts[step.host]->pausedUntil, step.kind, step.host, step.deliver, step.deliverWithoutReply, step.lose);
            continue;
        }
        if (step.kind != StepKind::Other && onStep && onStep(step)) {
            continue;
        }
        step.deliver();
    }
    clock.setNow(std::max(clock.now(), until));
}

void Fleet::runFor(Millis duration)
{
    runUntil(clock.now() + duration);
}

uint64_t Fleet::request(size_t host, const std::string &secret, const std::string &target, const std::string &payload,
                        Tokens maxTokens, bool isService, const std::string &idempotencyKey, Millis deadline)
{
    const uint64_t caller = nextCaller++;
    CallerRecord &record = account.callers[caller];
    record.caller = caller;
    record.host = HostId("host-" + std::to_string(host));
    record.secret = secret;
    record.target = target;
    record.payload = payload;
    record.maxTokens = maxTokens;
    record.isService = isService;
    record.idempotencyKey = idempotencyKey;
    record.sentAt = clock.now();
    CallerRequest request;
    request.caller = caller;
    request.keyHash = secret.empty() ? std::string() : sha256Hex(secret);
    request.target = target;
    request.isService = isService;
    request.payload = payload;
    request.maxTokens = maxTokens;
    request.idempotencyKey = idempotencyKey;
    request.timeout = deadline;
    add(clock.now() + Millis(2), StepKind::CallerRequest, host, [this, host, request] {
        if (account.callers[request.caller].hasEnded()) {
            return; // its connection ended while it waited for a paused process
        }
        if (isAlive(host) && !hosts[host]->isLost) {
            hosts[host]->node->onCallerRequest(request);
        } else {
            account.callers[request.caller].isCut = true; // never reached a host, so nothing was accepted
        }
    });
    return caller;
}

void Fleet::crash(size_t index, bool isRefusing)
{
    FakeHost &host = *hosts[index];
    if (host.node == nullptr) {
        return;
    }
    const bool wasDrained = host.node->isDrained();
    host.node.reset();
    ++host.life;
    host.isLost = !isRefusing;
    host.pausedUntil = Millis(-1);
    for (auto &[caller, record] : account.callers) {
        const bool isHere = record.host == HostId("host-" + std::to_string(index));
        if (isHere && !record.hasEnded() && record.sentAt + Millis(2) <= clock.now()) {
            record.isCut = true;
            record.endedAt = clock.now();
            if (wasDrained) {
                account.violations.push_back("the graceful shutdown cut request " + std::to_string(caller));
            }
        }
    }
}

void Fleet::terminate(size_t index)
{
    FakeHost &host = *hosts[index];
    if (host.node == nullptr) {
        return;
    }
    if (host.pausedUntil > clock.now()) {
        at(host.pausedUntil, [this, index] {
            terminate(index);
        });
        return;
    }
    if (isDrainSkipped) {
        crash(index, true);
        account.violations.push_back("a graceful shutdown ended at once, with " + std::to_string(nextCaller - 1)
                                     + " requests sent");
        return;
    }
    host.node->beginDrain();
}

void Fleet::pause(size_t index, Millis duration)
{
    hosts[index]->pausedUntil = std::max(hosts[index]->pausedUntil, clock.now() + duration);
}

bool Fleet::accept(const Document &next, int64_t basedOn)
{
    if (basedOn != documentVersion) {
        return false;
    }
    const EncodedDocument encoded = encodeDocument(next, ConfigVersion(documentVersion + 1));
    oldPlatform = platform;
    for (const auto &[digest, content] : encoded.parts) {
        if (platform.find(ConfigKeeper::partPath(digest)) == nullptr) {
            platform.set(ConfigKeeper::partPath(digest), content);
        }
    }
    platform.set(ConfigKeeper::manifestPath, manifestToText(encoded.manifest));
    ++documentVersion;
    document = next;
    account.accepted.emplace_back(documentVersion, clock.now());
    wakeWatches(ConfigKeeper::manifestPath);
    pushToHosts({manifestToText(encoded.manifest), encoded.parts});
    return true;
}

void Fleet::pushToHosts(const ConfigResponse &offer)
{
    // The operator's tool tells every host that it can reach.
    for (size_t i = 0; i < hosts.size(); ++i) {
        add(clock.now() + pushDelay, StepKind::Other, i, [this, i, offer] {
            const bool isReached = isAlive(i) && !isConfigFrozen && hosts[i]->pausedUntil <= clock.now()
                && hosts[i]->peersDeafUntil <= clock.now();
            if (isReached) {
                hosts[i]->node->onOperatorConfig(offer);
            }
        });
    }
}

void Fleet::withdrawKey(const std::string &secret)
{
    if (platformDownUntil > clock.now()) {
        at(platformDownUntil, [this, secret] {
            withdrawKey(secret);
        });
        return;
    }
    Document next = document;
    std::erase_if(next.keys, [&](const ApiKey &key) {
        return key.hash == sha256Hex(secret);
    });
    accept(next, documentVersion);
    account.withdrawnAt.emplace(secret, clock.now());
}

void Fleet::setLeaving(const std::vector<ReplicaId> &leaving)
{
    for (const ReplicaId &replica : leaving) {
        account.leavingAt.emplace(replica, clock.now());
    }
    nlohmann::json json {{"leaving", nlohmann::json::array()}};
    for (const auto &[replica, at] : account.leavingAt) {
        json["leaving"].push_back(replica.text());
    }
    platform.set("objects/hosts", json.dump());
    wakeWatches("objects/hosts");
}

void Fleet::restartReplica(const ReplicaId &replica)
{
    FakeReplica &fake = replicas.at(replica);
    ++fake.life;
    fake.inFlight = 0;
    fake.engine.restart();
}

void Fleet::reply(size_t index, uint64_t life, const ObjectCall &call, ObjectReply reply, bool isLost)
{
    if (isLost
        || (isConfigFrozen && call.path == ConfigKeeper::manifestPath && reply.status == ObjectReply::Status::Ok)) {
        return;
    }
    if (alterReply) {
        alterReply(call, reply);
    }
    const Millis delay = options.platformLatency + (platformSlowUntil > clock.now() ? slowness : Millis(0));
    add(clock.now() + delay, StepKind::PlatformReply, index, [this, index, life, reply] {
        FakeHost &host = *hosts[index];
        if (host.node != nullptr && host.life == life && host.platformCutUntil <= clock.now()) {
            host.node->onObjectReply(reply);
        }
    });
}

void Fleet::carryOut(size_t index, const ObjectCall &call, bool isReplyLost)
{
    FakeHost &host = *hosts[index];
    if (platformDownUntil > clock.now() || host.platformCutUntil > clock.now()) {
        return;
    }
    if (call.kind == ObjectCall::Kind::Put) {
        ++platformWrites;
        const ObjectReply result = platform.carryOut(call);
        reply(index, host.life, call, result, isReplyLost);
        if (result.status == ObjectReply::Status::Ok) {
            wakeWatches(call.path);
        }
        return;
    }
    ++platformReads;
    ObjectTable &table = host.staleUntil > clock.now() ? oldPlatform : platform;
    const ObjectReply result = table.carryOut(call);
    const bool waits = call.kind == ObjectCall::Kind::Watch
        && (result.status == ObjectReply::Status::Unchanged || result.status == ObjectReply::Status::Missing);
    if (!waits) {
        reply(index, host.life, call, result, isReplyLost);
        return;
    }
    m_watches.push_back({index, host.life, call});
    at(clock.now() + watchTime, [this, index, call, life = host.life, isReplyLost] {
        const auto watch = std::find_if(m_watches.begin(), m_watches.end(), [&](const Watch &candidate) {
            return candidate.host == index && candidate.life == life && candidate.call.id == call.id;
        });
        if (watch == m_watches.end()) {
            return;
        }
        m_watches.erase(watch);
        if (platformDownUntil <= clock.now()) {
            reply(index, life, call, platform.carryOut(call), isReplyLost);
        }
    });
}

void Fleet::wakeWatches(const std::string &path)
{
    if (platformDownUntil > clock.now()) {
        return;
    }
    std::vector<Watch> woken;
    std::erase_if(m_watches, [&](const Watch &watch) {
        const bool isWoken = watch.call.path == path && hosts[watch.host]->staleUntil <= clock.now();
        if (isWoken) {
            woken.push_back(watch);
        }
        return isWoken;
    });
    for (const Watch &watch : woken) {
        reply(watch.host, watch.life, watch.call, platform.carryOut(watch.call), false);
    }
}

size_t Fleet::hostAt(const std::string &address) const
{
    return static_cast<size_t>(std::stoul(address.substr(7, address.find(':') - 7)));
}

void Fleet::deliverPeer(size_t from, const std::string &address, const Message &message)
{
    const size_t to = hostAt(address);
    FakeHost &target = *hosts[to];
    if (hosts[from]->peersCutUntil > clock.now() || target.peersDeafUntil > clock.now()) {
        return;
    }
    if (target.node == nullptr) {
        const Millis startedAt = clock.now() - options.peerLatency;
        if (!target.isLost && hosts[from]->node != nullptr && hosts[from]->pausedUntil <= clock.now()) {
            hosts[from]->node->onPeerRefused(address, startedAt);
        }
        return;
    }
    if (target.pausedUntil > clock.now()) {
        add(target.pausedUntil, StepKind::Other, to, [this, from, address, message] {
            deliverPeer(from, address, message);
        });
        return;
    }
    target.node->onPeerMessage(HostId("host-" + std::to_string(from)), message);
}

void Fleet::event(size_t index, uint64_t life, const BackendCall &call, Millis after, decltype(BackendEvent::what) what)
{
    BackendEvent event {call.id, call.replica, std::move(what)};
    if (alterEvent) {
        alterEvent(event);
    }
    add(
        clock.now() + after, StepKind::BackendEvent, index,
        [this, index, life, event] {
            FakeHost &host = *hosts[index];
            if (host.node != nullptr && host.life == life && cancelled.count({index, event.call}) == 0) {
                host.node->onBackendEvent(event);
            }
        },
        {},
        [this, index, life, event] {
            // A lost piece of a stream is a broken connection.
            FakeHost &host = *hosts[index];
            if (host.node != nullptr && host.life == life && cancelled.count({index, event.call}) == 0) {
                cancelled.insert({index, event.call});
                host.node->onBackendEvent({event.call, event.replica, Broken {}});
            }
        });
}

Millis Fleet::sentAt(size_t index, uint64_t life, uint64_t call)
{
    const auto sent = calls.find({index, life, call});
    const Millis at = sent == calls.end() ? clock.now() : sent->second;
    calls.erase({index, life, call});
    return at;
}

void Fleet::startCall(size_t index, uint64_t life, const BackendCall &call, bool isReplyLost)
{
    FakeReplica &fake = replicas.at(call.replica);
    if (fake.downUntil > clock.now()) {
        event(index, life, call, options.backendLatency, NotSent {});
        return;
    }
    if (const auto *work = std::get_if<GenerateCall>(&call.work)) {
        generate(index, life, call, *work, isReplyLost);
    } else if (const auto *work = std::get_if<OrderCall>(&call.work)) {
        order(index, life, call, *work, isReplyLost);
    } else if (const auto *work = std::get_if<ServiceCall>(&call.work)) {
        callService(index, life, call, *work, isReplyLost);
    } else if (!isReplyLost) {
        event(index, life, call, options.backendLatency, fake.engine.report());
    } else {
        event(index, life, call, breakDelay, Broken {});
    }
}

void Fleet::generate(size_t index, uint64_t life, const BackendCall &call, const GenerateCall &work, bool isReplyLost)
{
    FakeReplica &fake = replicas.at(call.replica);
    account.sentToBackends.push_back(work.prompt + work.request.text());
    if (const std::optional<Rejected> rejected = fake.engine.begin(work)) {
        event(index, life, call, options.backendLatency, *rejected);
        return;
    }
    account.runs.push_back({call.replica, work.adapter, work.prompt, sentAt(index, life, call.id)});
    ++fake.inFlight;
    if (isReplyLost) {
        event(index, life, call, breakDelay, Broken {});
    }
    at(clock.now() + options.pieceTime, [=, this, replicaLife = fake.life] {
        pieces(index, life, call, work, work.resumeFrom, replicaLife, isReplyLost);
    });
}

void Fleet::pieces(size_t index, uint64_t life, const BackendCall &call, const GenerateCall &work, uint64_t next,
                   uint64_t replicaLife, bool isReplyLost)
{
    FakeReplica &fake = replicas.at(call.replica);
    if (fake.life != replicaLife) {
        event(index, life, call, options.backendLatency, Broken {});
        return;
    }
    const uint64_t count = EngineModel::pieceCount(work.adapter, work.prompt, work.maxTokens);
    const bool isGone = hosts[index]->life != life || cancelled.count({index, call.id}) > 0;
    if (next >= count || isGone) {
        fake.engine.end(work.adapter);
        --fake.inFlight;
        if (!isReplyLost) {
            event(index, life, call, options.backendLatency,
                  Generated {count, Tokens(static_cast<int64_t>(count + work.prompt.size() / 4 + 1))});
        }
        return;
    }
    if (!isReplyLost) {
        event(index, life, call, options.backendLatency,
              Piece {work.adapter, next, EngineModel::pieceText(work.adapter, work.prompt, next)});
    }
    at(clock.now() + options.pieceTime, [=, this] {
        pieces(index, life, call, work, next + 1, replicaLife, isReplyLost);
    });
}

void Fleet::order(size_t index, uint64_t life, const BackendCall &call, const OrderCall &work, bool isReplyLost)
{
    FakeReplica &fake = replicas.at(call.replica);
    std::optional<Rejected> early = fake.engine.check(work);
    const bool isLoad = work.order == OrderCall::Order::Load;
    if (!early && isLoad && fake.failLoads > 0) {
        --fake.failLoads;
        early = Rejected {Rejected::Reason::Failed, "load_failed"};
    }
    if (early) {
        event(index, life, call, options.backendLatency, *early);
        return;
    }
    Millis duration(0);
    if (isLoad) {
        ++loadsStarted;
        duration = options.loadTime * std::max(options.freeLoads, fake.inFlight) / options.freeLoads;
    }
    at(clock.now() + duration, [=, this, replicaLife = fake.life] {
        FakeReplica &replica = replicas.at(call.replica);
        if (replica.life != replicaLife || isReplyLost) {
            if (isReplyLost && replica.life == replicaLife) {
                replica.engine.finish(work);
            }
            event(index, life, call, breakDelay, Broken {});
            return;
        }
        if (const std::optional<Rejected> rejected = replica.engine.finish(work)) {
            event(index, life, call, options.backendLatency, *rejected);
        } else {
            event(index, life, call, options.backendLatency, OrderDone {replica.engine.report().incarnation});
        }
    });
}

void Fleet::callService(size_t index, uint64_t life, const BackendCall &call, const ServiceCall &work, bool isReplyLost)
{
    account.sentToBackends.push_back(work.body + work.request.text() + work.route.text());
    account.runs.push_back({call.replica, {}, work.body, sentAt(index, life, call.id)});
    if (isReplyLost) {
        event(index, life, call, breakDelay, Broken {});
    } else {
        event(index, life, call, serviceTime, ServiceAnswer {200, "{\"booked\":\"" + work.request.text() + "\"}"});
    }
}

}
