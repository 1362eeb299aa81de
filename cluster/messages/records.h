#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace vanillaspar
{

/** Asks another host for records of its copy of a collection. */
struct RecordRequest
{
    uint64_t request = 0; ///< Chosen by the sender; its answers repeat it.
    std::string replyAddress; ///< Where answers are sent: the receiver may not know the sender yet.
    uint8_t collection = 0; ///< As a number of the store's collections.
    bool isList = false; ///< Whether a page of records is asked for, else the changes after a position.
    std::string after; ///< Of a list: only records with greater names.
    int64_t sinceEra = 0; ///< Era of the sender's position in the store.
    int64_t since = 0; ///< Revision of that position; a list must not be older than that.
    int32_t waitMs = 0; ///< How long the receiver may wait for a change, in milliseconds.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, replyAddress, collection, isList, after, sinceEra, since, waitMs);
    }
};

/** What became of a RecordRequest. */
enum class RecordOutcome : uint8_t
{
    Done,
    HistoryGone, ///< The changes since the position are not known: list again.
    Unavailable, ///< The copy isn't loaded, is too old or behind, or the answer would be too large: ask the store.
};

/** A piece of the answer to a RecordRequest. */
struct RecordAnswer
{
    uint64_t request = 0;
    RecordOutcome outcome = RecordOutcome::Unavailable;
    int64_t era = 0; ///< Era of the position of the sender's copy.
    int64_t revision = 0; ///< Revision of that position.
    int64_t age = -1; ///< For how long, in milliseconds, the sender's copy has not been proven; negative if never.
    int64_t heldMs = 0; ///< For how long the sender waited for a change.
    bool hasMore = false; ///< Whether the list continues after the last record.
    uint16_t piece = 0; ///< Number of this piece, from 0.
    uint16_t pieces = 1; ///< Number of all pieces.
    std::string data; ///< This piece of the encoded records.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(request, outcome, era, revision, age, heldMs, hasMore, piece, pieces, data);
    }
};

}
