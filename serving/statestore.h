#pragma once

#include "core/units.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** The kinds of records that a host follows or keeps. */
enum class Collection
{
    Configuration,
    Backends,
    AdapterVersions,
    Coordination, ///< The hosts' own: who is there, and who orders which replica.
};

/** One record of the store. */
struct StoredRecord
{
    std::string name;
    int64_t revision = 0; ///< Of its last change; the same counter for the whole store.
    nlohmann::json content;
    bool isDeleted = false;
};

/** How a call of the store came out. */
enum class StoreResult
{
    Done,
    Conflict, ///< The record isn't at the revision that the call named, or exists already.
    HistoryGone, ///< The watch must start over from a list.
    Failed, ///< Nothing was done.
    Unknown, ///< No answer came; a write may have been done or may be done later.
};

/** Answer of list() and watch(). */
struct StoreRead
{
    StoreResult result = StoreResult::Failed;
    std::vector<StoredRecord> records;
    bool hasMore = false; ///< The list goes on after the last record.
    int64_t revision = 0; ///< The store's revision that the answer shows.
};

/**
 * The platform's store, as the serving core needs it.
 *
 * Calls are answered from the loop. A cancelled call isn't answered.
 */
class StateStore
{
public:
    using ReadHandler = std::function<void(StoreRead)>;
    using WriteHandler = std::function<void(StoreResult)>;

    virtual ~StateStore() = default;

    /** Lists records whose names come after @p after. @return a number for cancel(). */
    virtual uint64_t list(Collection collection, const std::string &after, ReadHandler handler) = 0;
    /** Waits up to @p wait for changes after revision @p since. @return a number for cancel(). */
    virtual uint64_t watch(Collection collection, int64_t since, Millis wait, ReadHandler handler) = 0;
    /** Writes a record if it is at @p expectedRevision; 0 creates it. */
    virtual void write(Collection collection, const std::string &name, const nlohmann::json &content,
                       int64_t expectedRevision, WriteHandler handler)
        = 0;
    /** Removes a record if it is at @p expectedRevision. */
    virtual void remove(Collection collection, const std::string &name, int64_t expectedRevision, WriteHandler handler)
        = 0;
    virtual void cancel(uint64_t call) = 0;
};

}
