#include "serving/membership/recordcopies.h"

#include "cluster/message.h"
#include "cluster/peerlink.h"
#include "core/clock.h"
#include "serving/membership/recordmirror.h"
#include "serving/membership/relaycodec.h"
#include "serving/membership/relaylimits.h"

#include <algorithm>

namespace vanillaspar::serving
{

RecordCopies::RecordCopies(const Clock &clock, PeerLink &peers) : m_clock(clock), m_peers(peers)
{
}

void RecordCopies::add(Collection collection, const RecordMirror &mirror)
{
    m_mirrors[collection] = &mirror;
}

const RecordMirror *RecordCopies::find(Collection collection) const
{
    const auto mirror = m_mirrors.find(collection);
    return mirror == m_mirrors.end() ? nullptr : mirror->second;
}

void RecordCopies::onRequest(const std::string &from, const RecordRequest &request)
{
    const Millis now = m_clock.now();
    const Millis wait = std::clamp(Millis(request.waitMs), Millis(0), relayHoldTime);
    Held held {request, now, now + wait};
    const auto key = std::make_pair(from, static_cast<Collection>(request.collection));
    m_held.erase(key);
    if (!answer(held, wait <= Millis(0))) {
        m_held.emplace(key, std::move(held));
    }
}

void RecordCopies::tick()
{
    const Millis now = m_clock.now();
    for (auto held = m_held.begin(); held != m_held.end();) {
        held = answer(held->second, now >= held->second.dueAt) ? m_held.erase(held) : std::next(held);
    }
}

bool RecordCopies::answer(const Held &held, bool isDue)
{
    const Millis now = m_clock.now();
    const RecordRequest &request = held.request;
    const RecordMirror *mirror = find(static_cast<Collection>(request.collection));
    const bool isKnown = mirror != nullptr;
    if (isKnown && !mirror->isLoaded() && !isDue) {
        return false;
    }
    RecordAnswer answer;
    answer.request = request.request;
    answer.heldMs = (now - held.receivedAt).value;
    const bool isUsable = isKnown && mirror->isLoaded() && mirror->freshAsOf().value >= 0
        && now - mirror->freshAsOf() <= oldestRelayedCopy;
    const StorePosition since {request.sinceEra, request.since};
    if (!isUsable || (request.isList && mirror->position() < since)) {
        send(held, answer, {});
        return true;
    }
    answer.era = mirror->position().era;
    answer.revision = mirror->position().revision;
    answer.age = (now - mirror->freshAsOf()).value;
    if (request.isList) {
        const EncodedRecords page = RelayCodec::encodePage(mirror->records(), request.after);
        answer.outcome = page.isTooLarge ? RecordOutcome::Unavailable : RecordOutcome::Done;
        answer.hasMore = page.isCut;
        send(held, answer, page.data);
        return true;
    }
    if (!isDue && since >= mirror->historyFrom() && mirror->changedPosition() <= since) {
        return false;
    }
    const auto changes = mirror->changesAfter(since);
    if (!changes) {
        answer.outcome = RecordOutcome::HistoryGone;
        send(held, answer, {});
        return true;
    }
    const EncodedRecords encoded = RelayCodec::encodeChanges(*changes);
    answer.outcome = encoded.isTooLarge ? RecordOutcome::Unavailable : RecordOutcome::Done;
    if (encoded.isCut) {
        // The receiver is complete up to the last change that it gets only.
        answer.era = encoded.lastPosition.era;
        answer.revision = encoded.lastPosition.revision;
        answer.age = -1;
    }
    send(held, answer, encoded.data);
    return true;
}

void RecordCopies::send(const Held &held, RecordAnswer answer, const std::string &data)
{
    const size_t pieces = std::max<size_t>(1, (data.size() + relayPieceLength - 1) / relayPieceLength);
    answer.pieces = static_cast<uint16_t>(pieces);
    for (size_t piece = 0; piece < pieces; ++piece) {
        answer.piece = static_cast<uint16_t>(piece);
        answer.data = data.substr(piece * relayPieceLength, relayPieceLength);
        m_peers.send(held.request.replyAddress, answer);
    }
}

}
