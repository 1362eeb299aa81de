#pragma once

#include "core/units.h"

#include <functional>
#include <set>
#include <string>

namespace vanillaspar
{
class Clock;
class EventLog;
}

namespace vanillaspar::serving
{

class PromptGuard;
class RecordMirror;
class StateStore;
enum class StoreResult;
struct StoredRecord;

/**
 * Keeps the blocked parts of prompts in the store, one record for each, so that they outlast all processes.
 *
 * Removing a record lifts the block on all hosts, whether the leader removes it after its time or an operator before.
 */
class PromptRecords
{
public:
    PromptRecords(const Clock &clock, StateStore &store, EventLog &log, PromptGuard &guard, RecordMirror &coordination);

    /**
     * Applies a changed or removed record.
     *
     * @throws DecodeError if the record can't be read.
     */
    void onRecord(const StoredRecord &record);
    /** Writes records that are missing and removes expired ones; to be called on the leader only. */
    void update();

private:
    /** @return the handler of a call that changes a record. */
    std::function<void(StoreResult)> handlerOf(const std::string &name);

    const Clock &m_clock;
    StateStore &m_store;
    EventLog &m_log;
    PromptGuard &m_guard;
    RecordMirror &m_coordination;
    std::set<std::string> m_open; ///< Records with a call that isn't answered.
};

}
