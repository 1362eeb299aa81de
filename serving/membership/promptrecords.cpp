#include "serving/membership/promptrecords.h"

#include "core/clock.h"
#include "core/eventlog.h"
#include "serving/guards/blockedparts.h"
#include "serving/guards/promptguard.h"
#include "serving/interfaces/statestore.h"
#include "serving/membership/recordmirror.h"

#include <nlohmann/json.hpp>

namespace vanillaspar::serving
{

PromptRecords::PromptRecords(const Clock &clock, StateStore &store, EventLog &log, PromptGuard &guard,
                             RecordMirror &coordination)
    : m_clock(clock), m_store(store), m_log(log), m_guard(guard), m_coordination(coordination)
{
}

void PromptRecords::onRecord(const StoredRecord &record)
{
    const PromptPartId part = BlockedParts::partOf(record.name);
    if (record.isDeleted && record.isRestored) {
        m_log.record(EventCode::RecordMissing, record.name,
                     "lost in a restore of the store; the leader writes it again");
    } else if (record.isDeleted) {
        m_guard.lift(part);
    } else {
        m_guard.block(part, BlockedParts::fromJson(record.content));
    }
}

void PromptRecords::update()
{
    const auto &records = m_coordination.records();
    for (const auto &[part, blocked] : m_guard.blocked().parts()) {
        const std::string name = BlockedParts::recordName(part);
        if (records.count(name) == 0 && m_open.insert(name).second) {
            m_store.write(Collection::Coordination, name, BlockedParts::toJson(blocked), {}, handlerOf(name));
        }
    }
    for (const auto &[name, record] : records) {
        const bool isLeft
            = BlockedParts::isRecord(name) && m_guard.blocked().find(BlockedParts::partOf(name)) == nullptr;
        if (isLeft && m_open.insert(name).second) {
            m_store.remove(Collection::Coordination, name, record.position, handlerOf(name));
        }
    }
}

std::function<void(StoreResult)> PromptRecords::handlerOf(const std::string &name)
{
    return [this, name](StoreResult result) {
        m_open.erase(name);
        m_coordination.refresh();
        if (result != StoreResult::Done && result != StoreResult::Conflict) {
            m_log.record(EventCode::StoreRecordRejected, name, "the store did not take the change; it is tried again");
        }
    };
}

}
