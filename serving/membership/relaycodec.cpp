#include "serving/membership/relaycodec.h"

#include "core/error.h"
#include "serving/membership/relaylimits.h"

namespace vanillaspar::serving
{

namespace
{

constexpr size_t longestAnswer = relayPieceLength * maxRelayPieces; // bytes

/** Appends a record, one JSON document a line, unless the answer would become too long. @return whether it fitted. */
bool append(EncodedRecords &encoded, const StoredRecord &record)
{
    const std::string line = nlohmann::json::array({record.name, record.position.era, record.position.revision,
                                                    record.isDeleted, record.content})
                                 .dump()
        + "\n";
    if (encoded.data.size() + line.size() > longestAnswer) {
        encoded.isTooLarge = encoded.data.empty();
        encoded.isCut = !encoded.isTooLarge;
        return false;
    }
    encoded.data += line;
    encoded.lastPosition = record.position;
    return true;
}

}

EncodedRecords RelayCodec::encodePage(const std::map<std::string, StoredRecord> &records, const std::string &after)
{
    EncodedRecords encoded;
    for (auto record = records.upper_bound(after); record != records.end(); ++record) {
        if (!append(encoded, record->second)) {
            break;
        }
    }
    return encoded;
}

EncodedRecords RelayCodec::encodeChanges(const std::vector<StoredRecord> &changes)
{
    EncodedRecords encoded;
    for (const StoredRecord &record : changes) {
        if (!append(encoded, record)) {
            break;
        }
    }
    return encoded;
}

std::vector<StoredRecord> RelayCodec::decode(const std::string &data)
{
    std::vector<StoredRecord> records;
    try {
        for (size_t begin = 0; begin < data.size();) {
            const size_t end = data.find('\n', begin);
            const nlohmann::json line
                = nlohmann::json::parse(data.substr(begin, end == std::string::npos ? end : end - begin));
            records.push_back({line.at(0).get<std::string>(),
                               StorePosition(line.at(1).get<int64_t>(), line.at(2).get<int64_t>()), line.at(4),
                               line.at(3).get<bool>()});
            begin = end == std::string::npos ? data.size() : end + 1;
        }
    } catch (const nlohmann::json::exception &error) {
        throw DecodeError(std::string("relayed records: ") + error.what());
    }
    return records;
}

}
