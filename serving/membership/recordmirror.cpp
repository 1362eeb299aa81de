#include "serving/membership/recordmirror.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "core/random.h"
#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// Backoff after a failed call, doubled for each further failure. The longest pause lets a host notice that the store
// has recovered well within the two seconds in which replicas write expired entries again.
constexpr Millis firstRetryPause(50);
constexpr Millis longestRetryPause(600);
constexpr int maxDoublings = 4;
// The store answers a watch with this timeout at once; it accepts whole milliseconds above 0 only.
constexpr Millis immediateTimeout(1);
constexpr Millis refreshInterval(60);
// A store that answers a watch later than this was holding it. An answer may be under way, or wait to be read, for
// less.
constexpr Millis longestAnswerTime(500);
// Other hosts that follow this copy ask far more often than so many records are deleted; if not, they list again.
constexpr size_t maxDeletedRecords = 1000;

const char *nameOf(Collection collection)
{
    switch (collection) {
    case Collection::Configuration:
        return "configuration";
    case Collection::Backends:
        return "backends";
    case Collection::AdapterVersions:
        return "adapter-versions";
    case Collection::Evacuations:
        return "evacuations";
    case Collection::Coordination:
        break;
    }
    return "coordination";
}

}

RecordMirror::RecordMirror(StateStore &store, Collection collection, MirrorIntervals intervals, const Clock &clock,
                           Random &random, EventLog &log, Listener listener)
    : m_store(store)
    , m_collection(collection)
    , m_intervals(intervals)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_listener(std::move(listener))
{
}

void RecordMirror::tick()
{
    const Millis now = m_clock.now();
    if (m_openCall != 0 || now < m_retryAt || now - m_changedAt < m_intervals.pollInterval) {
        return;
    }
    if (m_needsList) {
        m_listedRecords.clear();
        list({});
    } else {
        // After a failure the first answer shows that the store has recovered; a long poll would show it late.
        watch(m_failures > 0 ? immediateTimeout : m_intervals.watchTimeout);
    }
}

void RecordMirror::refresh()
{
    const Millis now = m_clock.now();
    const bool isImmediateCallOpen = m_openCall != 0 && !m_isLongPoll;
    if (m_needsList || isImmediateCallOpen || now - m_callSentAt < refreshInterval || now < m_retryAt) {
        return;
    }
    if (m_openCall != 0) {
        m_store.cancel(m_openCall);
        m_openCall = 0;
    }
    watch(immediateTimeout);
}

void RecordMirror::list(const std::string &after)
{
    m_callSentAt = m_clock.now();
    m_isLongPoll = false;
    const Millis sentAt = m_callSentAt;
    m_openCall = m_store.list(m_collection, after, [this, sentAt](StoreRead read) {
        onListed(std::move(read), sentAt);
    });
}

void RecordMirror::watch(Millis wait)
{
    m_callSentAt = m_clock.now();
    m_isLongPoll = wait > immediateTimeout;
    const Millis sentAt = m_callSentAt;
    m_openCall = m_store.watch(m_collection, m_position, wait, [this, sentAt](StoreRead read) {
        onWatched(std::move(read), sentAt);
    });
}

void RecordMirror::onListed(StoreRead read, Millis sentAt)
{
    m_openCall = 0;
    if (read.result != StoreResult::Done) {
        fail(read.result);
        return;
    }
    if (read.position.era < m_position.era) {
        fail(StoreResult::Unknown); // an answer from before the store was restored
        return;
    }
    if (!m_listedRecords.empty() && read.position.era != m_listPosition.era) {
        m_listedRecords.clear(); // the store was restored between two pages
        list({});
        return;
    }
    const Millis freshAsOf = read.copyFreshAsOf.value_or(sentAt);
    if (m_listedRecords.empty()) {
        m_listPosition = read.position;
        m_listedSince = freshAsOf;
        m_isListCopied = false;
    }
    m_isListCopied = m_isListCopied || read.copyFreshAsOf.has_value();
    m_listedSince = std::min(m_listedSince, freshAsOf);
    // Pages may be of different revisions; the watch starts from the oldest so that no change in between is missed.
    m_listPosition = std::min(m_listPosition, read.position);
    std::string last;
    for (StoredRecord &record : read.records) {
        last = std::max(last, record.name);
        m_listedRecords[record.name] = std::move(record);
    }
    if (read.hasMore && !last.empty()) {
        list(last);
        return;
    }
    finishList();
}

void RecordMirror::advanceState(Millis sentAt)
{
    const Millis now = m_clock.now();
    const bool wasHeld = m_isLongPoll && now - sentAt >= longestAnswerTime;
    const Millis state = wasHeld ? now - longestAnswerTime : sentAt;
    m_changesSince = wasHeld ? std::max(state, m_stateAsOf) : m_stateAsOf;
    m_stateAsOf = state;
}

void RecordMirror::advanceCopiedState(Millis freshAsOf)
{
    // The copy held all changes up to its last proof, so that those in this answer are younger.
    m_changesSince = m_stateAsOf;
    m_stateAsOf = std::max(m_stateAsOf, freshAsOf);
}

void RecordMirror::finishList()
{
    if (m_isListCopied) {
        succeed(m_listedSince);
        advanceCopiedState(m_listedSince);
    } else {
        succeed(m_clock.now());
        advanceState(m_listedSince);
    }
    const bool isRestored = m_isLoaded && m_listPosition.era > m_position.era;
    std::vector<StoredRecord> changes;
    for (const auto &[name, record] : m_records) {
        if (m_listedRecords.count(name) == 0) {
            StoredRecord removed = record;
            removed.isDeleted = true;
            removed.position = m_listPosition;
            removed.isRestored = isRestored;
            changes.push_back(std::move(removed));
        }
    }
    for (auto &[name, record] : m_listedRecords) {
        record.isRestored = isRestored;
        changes.push_back(std::move(record));
    }
    m_listedRecords.clear();
    if (isRestored) {
        m_log.record(EventCode::StoreRestored, nameOf(m_collection),
                     "position " + m_listPosition.text() + " after " + m_position.text());
    }
    m_position = m_listPosition;
    m_needsList = false;
    m_isLoaded = true;
    m_freshAsOf = std::max(m_freshAsOf, m_listedSince);
    m_deletedRecords.clear();
    m_historyFrom = m_position;
    apply(std::move(changes));
}

void RecordMirror::onWatched(StoreRead read, Millis sentAt)
{
    m_openCall = 0;
    if (handleOtherEra(read)) {
        return;
    }
    if (read.result == StoreResult::HistoryGone) {
        m_needsList = true;
        return;
    }
    if (read.result != StoreResult::Done) {
        fail(read.result);
        return;
    }
    if (read.copyFreshAsOf) {
        succeed(*read.copyFreshAsOf);
        advanceCopiedState(*read.copyFreshAsOf);
    } else {
        succeed(m_clock.now());
        advanceState(sentAt);
    }
    m_position = std::max(m_position, read.position);
    m_freshAsOf = std::max(m_freshAsOf, read.copyFreshAsOf.value_or(sentAt));
    if (!read.records.empty()) {
        m_changedAt = m_clock.now();
        apply(std::move(read.records));
    }
}

bool RecordMirror::handleOtherEra(const StoreRead &read)
{
    const bool isAnswered = read.result == StoreResult::Done || read.result == StoreResult::HistoryGone;
    if (!isAnswered || read.position.era == m_position.era) {
        return false;
    }
    if (read.position.era < m_position.era) {
        fail(StoreResult::Unknown); // an answer from before the store was restored
        return true;
    }
    m_needsList = true;
    m_listedRecords.clear();
    list({});
    return true;
}

void RecordMirror::apply(std::vector<StoredRecord> records)
{
    std::vector<StoredRecord> changes;
    for (StoredRecord &record : records) {
        const auto known = m_records.find(record.name);
        if (known != m_records.end() && record.position <= known->second.position) {
            continue;
        }
        m_changedPosition = std::max(m_changedPosition, record.position);
        if (record.isDeleted) {
            rememberDeleted(record);
            if (known == m_records.end()) {
                continue;
            }
            m_records.erase(known);
        } else {
            m_records[record.name] = record;
            m_deletedRecords.erase(record.name);
        }
        changes.push_back(std::move(record));
    }
    if (!changes.empty()) {
        m_listener(changes);
    }
}

void RecordMirror::rememberDeleted(const StoredRecord &record)
{
    // Also one that was never seen: a copy that follows this one may have it from another host.
    m_deletedRecords[record.name] = {record.name, record.position, nullptr, true};
    if (m_deletedRecords.size() > maxDeletedRecords) {
        const auto oldest
            = std::min_element(m_deletedRecords.begin(), m_deletedRecords.end(), [](const auto &a, const auto &b) {
                  return a.second.position < b.second.position;
              });
        m_historyFrom = std::max(m_historyFrom, oldest->second.position);
        m_deletedRecords.erase(oldest);
    }
}

std::optional<std::vector<StoredRecord>> RecordMirror::changesAfter(StorePosition since) const
{
    if (since < m_historyFrom) {
        return std::nullopt;
    }
    std::vector<StoredRecord> changes;
    for (const auto *records : {&m_records, &m_deletedRecords}) {
        for (const auto &[name, record] : *records) {
            if (record.position > since) {
                changes.push_back(record);
            }
        }
    }
    std::sort(changes.begin(), changes.end(), [](const StoredRecord &a, const StoredRecord &b) {
        return a.position < b.position;
    });
    return changes;
}

void RecordMirror::succeed(Millis answeredAt)
{
    m_answeredAt = std::max(m_answeredAt, answeredAt);
    if (m_failures > 0) {
        m_failures = 0;
        m_recoveredAt = m_clock.now();
        m_log.record(EventCode::PlatformReachable, nameOf(m_collection), "calls succeed again");
    }
}

void RecordMirror::fail(StoreResult result)
{
    if (m_failures == 0) {
        m_log.record(EventCode::PlatformUnreachable, nameOf(m_collection),
                     result == StoreResult::Unknown ? "no answer to a call" : "the store refused a call");
    }
    const Millis pause = std::min(backoffDelay(firstRetryPause, m_failures, maxDoublings), longestRetryPause);
    ++m_failures;
    m_retryAt
        = m_clock.now() + pause / 2 + Millis(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(pause.value))));
}

}
