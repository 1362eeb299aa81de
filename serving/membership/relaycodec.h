#pragma once

#include "serving/interfaces/statestore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** Records as bytes of an answer. */
struct EncodedRecords
{
    std::string data;
    StorePosition lastPosition; ///< Of the last record.
    bool isCut = false; ///< Whether there are more records than fit into an answer.
    bool isTooLarge = false; ///< Whether even the first one doesn't.
};

/** Encodes as many records as an answer to another host may hold. */
class RelayCodec
{
public:
    /** @param records by name. @param after the records with greater names are encoded. */
    static EncodedRecords encodePage(const std::map<std::string, StoredRecord> &records, const std::string &after);
    /** @param changes in the order of their positions. */
    static EncodedRecords encodeChanges(const std::vector<StoredRecord> &changes);
    /** @throws DecodeError if @p data isn't what one of the functions above made. */
    static std::vector<StoredRecord> decode(const std::string &data);
};

}
