#include "serving/membership/relayedstore.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/eventlog.h"
#include "serving/interfaces/servingsettings.h"
#include "serving/membership/fleetmembers.h"
#include "serving/membership/recordcopies.h"
#include "serving/membership/recordmirror.h"
#include "serving/membership/relaycodec.h"
#include "serving/membership/relaylimits.h"

#include <algorithm>
#include <tuple>

namespace vanillaspar::serving
{

namespace
{

// A host that the store refuses must stop taking callers within seconds, although relayed copies stay fresh.
constexpr Millis probeInterval(1000);
// A source that didn't answer is asked again after this time.
constexpr Millis avoidTime(1000);
// By then hosts that start together have written their records, heard each other and know their hubs.
constexpr Millis startTime(600);

}

RelayedStore::RelayedStore(const RelayContext &context, uint64_t firstRequest)
    : m_context(context), m_startedAt(context.clock.now()), m_nextCall(std::max<uint64_t>(firstRequest, 1))
{
}

uint64_t RelayedStore::list(Collection collection, const std::string &after, ReadHandler handler)
{
    Call call;
    call.collection = collection;
    call.isList = true;
    call.after = after;
    call.handler = std::move(handler);
    return start(std::move(call));
}

uint64_t RelayedStore::watch(Collection collection, StorePosition since, Millis wait, ReadHandler handler)
{
    StorePosition &known = m_knownPositions[collection];
    known = std::max(known, since);
    Call call;
    call.collection = collection;
    call.since = since;
    call.wait = wait;
    call.handler = std::move(handler);
    return start(std::move(call));
}

void RelayedStore::write(Collection collection, const std::string &name, const nlohmann::json &content,
                         StorePosition expected, WriteHandler handler)
{
    m_context.store.write(collection, name, content, expected, std::move(handler));
}

void RelayedStore::remove(Collection collection, const std::string &name, StorePosition expected, WriteHandler handler)
{
    m_context.store.remove(collection, name, expected, std::move(handler));
}

void RelayedStore::probe(Collection collection, const std::string &name, WriteHandler handler)
{
    m_context.store.probe(collection, name, std::move(handler));
}

void RelayedStore::probeStore()
{
    const Millis now = m_context.clock.now();
    if (now - std::max(m_contactAt, m_probedAt) < probeInterval) {
        return;
    }
    m_probedAt = now;
    probe(Collection::Coordination, FleetMembers::recordName(m_context.settings.host), [this](StoreResult result) {
        if (result == StoreResult::Done) {
            m_contactAt = m_context.clock.now();
        }
    });
}

void RelayedStore::cancel(uint64_t number)
{
    const auto call = m_calls.find(number);
    if (call != m_calls.end()) {
        if (call->second.isInStore) {
            m_context.store.cancel(call->second.storeCall);
        }
        m_calls.erase(call);
    }
}

uint64_t RelayedStore::start(Call call)
{
    const uint64_t number = m_nextCall++;
    send(number, m_calls.emplace(number, std::move(call)).first->second);
    return number;
}

void RelayedStore::send(uint64_t number, Call &call)
{
    const HostId host = source();
    if (!host.isEmpty()) {
        ask(number, call, host);
    } else if (!isUndecided(call.collection)) {
        askStore(number, call);
    }
}

void RelayedStore::ask(uint64_t number, Call &call, const HostId &source)
{
    const Millis now = m_context.clock.now();
    // A host that has just started may not have loaded its copy yet.
    const Millis wait = call.isList ? relayHoldTime : std::min(call.wait, relayHoldTime);
    call.source = source;
    call.sentAt = now;
    call.dueAt = now + wait + relayAnswerTimeout;
    RecordRequest request;
    request.request = number;
    request.replyAddress = m_context.settings.peerAddress;
    request.collection = static_cast<uint8_t>(call.collection);
    request.isList = call.isList;
    request.after = call.after;
    const StorePosition since = call.isList ? m_knownPositions[call.collection] : call.since;
    request.sinceEra = since.era;
    request.since = since.revision;
    request.waitMs = static_cast<int32_t>(wait.value);
    m_context.peers.send(m_context.members.peers().at(source).peerAddress, request);
}

void RelayedStore::askStore(uint64_t number, Call &call)
{
    ++m_storeReads;
    call.isInStore = true;
    call.source = HostId();
    const auto handler = [this, number](StoreRead read) {
        const auto entry = m_calls.find(number);
        if (entry == m_calls.end()) {
            return;
        }
        const Call answered = std::move(entry->second);
        m_calls.erase(entry);
        if (read.result == StoreResult::Done || read.result == StoreResult::HistoryGone) {
            m_contactAt = m_context.clock.now();
        }
        StorePosition &known = m_knownPositions[answered.collection];
        known = std::max(known, read.position);
        answered.handler(std::move(read));
    };
    call.storeCall = call.isList ? m_context.store.list(call.collection, call.after, handler)
                                 : m_context.store.watch(call.collection, call.since, call.wait, handler);
}

void RelayedStore::onAnswer(const HostId &from, const RecordAnswer &answer)
{
    const auto entry = m_calls.find(answer.request);
    if (entry == m_calls.end() || entry->second.isInStore || entry->second.source != from) {
        return; // late, repeated, or the answer to a call that was cancelled
    }
    Call &call = entry->second;
    if (answer.pieces == 0 || answer.pieces > maxRelayPieces || answer.piece >= answer.pieces) {
        return;
    }
    if (answer.outcome == RecordOutcome::Unavailable) {
        askStore(answer.request, call);
        return;
    }
    if (collect(call, answer)) {
        finish(answer.request);
    }
}

bool RelayedStore::collect(Call &call, const RecordAnswer &answer)
{
    // A request that arrived twice is answered twice; pieces of different answers must not be joined.
    const auto headOf = [](const RecordAnswer &piece) {
        return std::make_tuple(piece.outcome, piece.era, piece.revision, piece.age, piece.heldMs, piece.hasMore,
                               piece.pieces);
    };
    if (call.pieces.empty() || headOf(call.answer) != headOf(answer)) {
        call.answer = answer;
        call.pieces.assign(answer.pieces, {});
        call.received = 0;
    }
    std::string &piece = call.pieces[answer.piece];
    call.received += piece.empty() ? 1 : 0;
    piece = answer.data;
    return call.received >= call.pieces.size();
}

void RelayedStore::finish(uint64_t number)
{
    Call &call = m_calls.at(number);
    const RecordAnswer &answer = call.answer;
    StoreRead read;
    read.result = answer.outcome == RecordOutcome::Done ? StoreResult::Done : StoreResult::HistoryGone;
    read.position = {answer.era, answer.revision};
    read.hasMore = answer.hasMore;
    // The source stated the age after it had received this call and waited. So the result is never too late.
    read.copyFreshAsOf = answer.age < 0 || answer.heldMs < 0
        ? Millis(-1)
        : std::min(call.sentAt + Millis(answer.heldMs), m_context.clock.now()) - Millis(answer.age);
    try {
        std::string data;
        for (const std::string &piece : call.pieces) {
            data += piece;
        }
        read.records = RelayCodec::decode(data);
    } catch (const Error &error) {
        m_context.log.record(EventCode::RelayUnanswered, call.source.text(), error.what());
        askStore(number, call);
        return;
    }
    const Call answered = std::move(call);
    m_calls.erase(number);
    StorePosition &known = m_knownPositions[answered.collection];
    known = std::max(known, read.position);
    ++m_relayedReads;
    answered.handler(std::move(read));
}

void RelayedStore::tick()
{
    const Millis now = m_context.clock.now();
    logSource();
    probeStore();
    for (auto &[number, call] : m_calls) {
        if (call.isInStore) {
            continue;
        }
        if (call.source.isEmpty()) {
            send(number, call);
        } else if (now >= call.dueAt) {
            if (now >= m_avoidedUntil[call.source]) {
                m_context.log.record(EventCode::RelayUnanswered, call.source.text(), "no answer; the store is asked");
            }
            m_avoidedUntil[call.source] = now + avoidTime;
            askStore(number, call);
        }
    }
}

bool RelayedStore::isUsable(const HostId &host) const
{
    const auto member = m_context.members.peers().find(host);
    const auto avoided = m_avoidedUntil.find(host);
    return member != m_context.members.peers().end() && member->second.isRelay
        && (avoided == m_avoidedUntil.end() || m_context.clock.now() >= avoided->second);
}

HostId RelayedStore::source() const
{
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    const HostId &self = m_context.settings.host;
    const HostId hub = members.isHub(self) ? members.leader(now) : members.hubOf(self);
    if (hub.isEmpty() || hub == self) {
        const HostId expected = expectedHub();
        return isUsable(expected) ? expected : HostId();
    }
    // A hub stays one until the next round although its record was removed.
    if (!isUsable(hub) || !members.isHeardDirectly(hub, now)) {
        return {};
    }
    // A hub that starts at the same time reads the store before it can say that it reaches it.
    return members.peers().at(hub).status.reachesStore || now - m_startedAt < startTime * 2 ? hub : HostId();
}

HostId RelayedStore::expectedHub() const
{
    const Millis now = m_context.clock.now();
    const FleetMembers &members = m_context.members;
    const bool isAnyHeard = std::any_of(members.peers().begin(), members.peers().end(), [&](const auto &peer) {
        return members.isHeardDirectly(peer.first, now);
    });
    // A host that has been alone for longer is cut off, or the others are down.
    if (isAnyHeard || now - m_startedAt > startTime * 2 || isUndecided(Collection::Configuration)) {
        return {};
    }
    const std::vector<HostId> hubs = members.largestOfDomain();
    const bool isSelf = std::find(hubs.begin(), hubs.end(), m_context.settings.host) != hubs.end();
    return isSelf ? HostId() : hubs.front();
}

bool RelayedStore::isUndecided(Collection collection) const
{
    // The hosts' records have to be read from the store, as no other host is known before.
    if (collection == Collection::Coordination || m_context.clock.now() - m_startedAt >= startTime) {
        return false;
    }
    const RecordMirror *hosts = m_context.copies.find(Collection::Coordination);
    if (hosts == nullptr || !hosts->isLoaded()) {
        return true;
    }
    // If this host's record outlasted its last process, so did those of the others. Else they may start just now, too.
    const auto own = hosts->records().find(FleetMembers::recordName(m_context.settings.host));
    return own == hosts->records().end() || own->second.position > hosts->historyFrom();
}

void RelayedStore::logSource()
{
    const HostId host = source();
    if (host != m_loggedSource) {
        m_loggedSource = host;
        m_context.log.record(EventCode::RelaySource, m_context.settings.host.text(),
                             host.isEmpty() ? "reads the store" : "reads the copies of " + host.text());
    }
}

}
