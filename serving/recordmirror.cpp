#include "serving/recordmirror.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "core/random.h"
#include "policy/backoff.h"

#include <algorithm>

namespace vanillaspar::serving
{

namespace
{

// The first pause after a failed call; it doubles up to the longest. The longest is short enough that a host knows of
// the store's return well within the two seconds in which lapsed entries come back.
constexpr Millis firstPause(50);
constexpr Millis longestPause(600);
constexpr int mostDoublings = 4;
// A watch with this wait is answered at once; the store takes whole milliseconds above 0.
constexpr Millis noWait(1);
constexpr Millis refreshSpacing(60);

const char *nameOf(Collection collection)
{
    switch (collection) {
    case Collection::Configuration:
        return "configuration";
    case Collection::Backends:
        return "backends";
    case Collection::AdapterVersions:
        return "adapter-versions";
    case Collection::Coordination:
        break;
    }
    return "coordination";
}

}

RecordMirror::RecordMirror(StateStore &store, Collection collection, MirrorPace pace, const Clock &clock,
                           Random &random, EventLog &log, Listener listener)
    : m_store(store)
    , m_collection(collection)
    , m_pace(pace)
    , m_clock(clock)
    , m_random(random)
    , m_log(log)
    , m_listener(std::move(listener))
{
}

void RecordMirror::tick()
{
    const Millis now = m_clock.now();
    if (m_call != 0 || now < m_nextAt || now - m_changedAt < m_pace.gap) {
        return;
    }
    if (m_mustList) {
        m_listed.clear();
        list({});
    } else {
        // After a failure the first answer tells that the store is back; a held watch would tell it late.
        watch(m_failures > 0 ? noWait : m_pace.wait);
    }
}

void RecordMirror::refresh()
{
    const Millis now = m_clock.now();
    const bool isAsking = m_call != 0 && !m_isHeld;
    if (m_mustList || isAsking || now - m_callSentAt < refreshSpacing || now < m_nextAt) {
        return;
    }
    if (m_call != 0) {
        m_store.cancel(m_call);
        m_call = 0;
    }
    watch(noWait);
}

void RecordMirror::list(const std::string &after)
{
    m_callSentAt = m_clock.now();
    const Millis sentAt = m_callSentAt;
    m_call = m_store.list(m_collection, after, [this, sentAt](StoreRead read) {
        onListed(std::move(read), sentAt);
    });
}

void RecordMirror::watch(Millis wait)
{
    m_callSentAt = m_clock.now();
    m_isHeld = wait > noWait;
    const Millis sentAt = m_callSentAt;
    m_call = m_store.watch(m_collection, m_asOf, wait, [this, sentAt](StoreRead read) {
        onWatched(std::move(read), sentAt);
    });
}

void RecordMirror::onListed(StoreRead read, Millis sentAt)
{
    m_call = 0;
    if (read.result != StoreResult::Done) {
        fail(read.result);
        return;
    }
    if (m_listed.empty()) {
        m_listAsOf = read.asOf;
    }
    // Pages may show different revisions; the watch starts from the oldest so that nothing between them is missed.
    m_listAsOf = std::min(m_listAsOf, read.asOf);
    std::string last;
    for (StoredRecord &record : read.records) {
        last = std::max(last, record.name);
        m_listed[record.name] = std::move(record);
    }
    if (read.hasMore && !last.empty()) {
        list(last);
        return;
    }
    finishList(sentAt);
}

void RecordMirror::finishList(Millis sentAt)
{
    succeed();
    std::vector<StoredRecord> changes;
    for (const auto &[name, record] : m_records) {
        if (m_listed.count(name) == 0) {
            StoredRecord gone = record;
            gone.isDeleted = true;
            gone.revision = m_listAsOf;
            changes.push_back(std::move(gone));
        }
    }
    for (auto &[name, record] : m_listed) {
        changes.push_back(std::move(record));
    }
    m_listed.clear();
    m_asOf = m_listAsOf;
    m_mustList = false;
    m_isLoaded = true;
    m_provenAt = std::max(m_provenAt, sentAt);
    apply(std::move(changes));
}

void RecordMirror::onWatched(StoreRead read, Millis sentAt)
{
    m_call = 0;
    if (read.result == StoreResult::HistoryGone) {
        m_mustList = true;
        return;
    }
    if (read.result != StoreResult::Done) {
        fail(read.result);
        return;
    }
    succeed();
    m_asOf = std::max(m_asOf, read.asOf);
    m_provenAt = std::max(m_provenAt, sentAt);
    if (!read.records.empty()) {
        m_changedAt = m_clock.now();
        apply(std::move(read.records));
    }
}

void RecordMirror::apply(std::vector<StoredRecord> records)
{
    std::vector<StoredRecord> changes;
    for (StoredRecord &record : records) {
        const auto known = m_records.find(record.name);
        if (known != m_records.end() && record.revision <= known->second.revision) {
            continue;
        }
        if (record.isDeleted) {
            if (known == m_records.end()) {
                continue;
            }
            m_records.erase(known);
        } else {
            m_records[record.name] = record;
        }
        changes.push_back(std::move(record));
    }
    if (!changes.empty()) {
        m_listener(changes);
    }
}

void RecordMirror::succeed()
{
    m_answeredAt = m_clock.now();
    if (m_failures > 0) {
        m_failures = 0;
        m_recoveredAt = m_clock.now();
        m_log.record(EventCode::PlatformReachable, nameOf(m_collection), "calls are answered again");
    }
}

void RecordMirror::fail(StoreResult result)
{
    if (m_failures == 0) {
        m_log.record(EventCode::PlatformUnreachable, nameOf(m_collection),
                     result == StoreResult::Unknown ? "a call was not answered" : "a call was refused");
    }
    const Millis pause = std::min(backoffDelay(firstPause, m_failures, mostDoublings), longestPause);
    ++m_failures;
    m_nextAt
        = m_clock.now() + pause / 2 + Millis(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(pause.value))));
}

}
