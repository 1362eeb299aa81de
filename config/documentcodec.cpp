#include "config/documentcodec.h"

#include "config/fieldtable.h"
#include "core/hash.h"

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

constexpr size_t adapterPartCount = 64; // a changed adapter replaces one part, about 1/64 of all adapters

const FieldTable<Team, TeamId Team::*, Tokens Team::*> teamFields({
    {"id", &Team::id, true},
    {"rate", &Team::rate, true},
    {"burst", &Team::burst, true},
});

const FieldTable<ApiKey, KeyId ApiKey::*, TeamId ApiKey::*, std::string ApiKey::*> keyFields({
    {"id", &ApiKey::id, true},
    {"team", &ApiKey::team, true},
    {"hash", &ApiKey::hash, true},
});

const FieldTable<Adapter, AdapterRef Adapter::*, TeamId Adapter::*, PoolId Adapter::*> adapterFields({
    {"adapter", &Adapter::ref, true},
    {"team", &Adapter::team, true},
    {"pool", &Adapter::pool, true},
});

const FieldTable<Replica, ReplicaId Replica::*, PoolId Replica::*, DomainId Replica::*, std::string Replica::*,
                 bool Replica::*, int64_t Replica::*>
    replicaFields({
        {"id", &Replica::id, true},
        {"pool", &Replica::pool, true},
        {"domain", &Replica::domain, true},
        {"address", &Replica::address, true},
        {"engine", &Replica::isEngine, false},
        {"checks-fence", &Replica::checksFencingNumber, false},
        {"slots", &Replica::slots, false},
        {"batch", &Replica::batchSize, false},
    });

const FieldTable<Route, RouteName Route::*, std::vector<TeamId> Route::*, bool Route::*, AdapterRef Route::*,
                 PoolId Route::*, std::string Route::*>
    routeFields({
        {"name", &Route::name, true},
        {"teams", &Route::teams, false},
        {"open", &Route::isOpen, false},
        {"adapter", &Route::adapter, false},
        {"pool", &Route::pool, false},
        {"idempotent", &Route::isIdempotent, false},
        {"class", &Route::priority, false},
    });

const FieldTable<WeightStoreLimits, int64_t WeightStoreLimits::*> storeFields({
    {"loads-per-second", &WeightStoreLimits::loadsPerSecond, true},
    {"concurrent-loads", &WeightStoreLimits::concurrentLoads, true},
});

template<class Table, class Record>
void readSection(const Json &json, const char *section, const Table &table, std::vector<Record> &into)
{
    const auto found = json.find(section);
    if (found == json.end()) {
        return;
    }
    const std::string where = std::string("/") + section;
    if (!found->is_array()) {
        throw DocumentError(where + ": must be a list");
    }
    size_t index = 0;
    for (const Json &item : *found) {
        into.push_back(table.read(item, where + "/" + std::to_string(index)));
        ++index;
    }
}

template<class Table, class Record>
Json writeSection(const Table &table, const std::vector<Record> &records)
{
    Json list = Json::array();
    for (const Record &record : records) {
        list.push_back(table.write(record));
    }
    return list;
}

Json nonAdapterSectionsToJson(const Document &document)
{
    return {
        {"teams", writeSection(teamFields, document.teams)},
        {"keys", writeSection(keyFields, document.keys)},
        {"replicas", writeSection(replicaFields, document.replicas)},
        {"routes", writeSection(routeFields, document.routes)},
        {"store", storeFields.write(document.weightStore)},
    };
}

void checkSections(const Json &json)
{
    static const std::vector<std::string> known {"teams", "keys", "adapters", "replicas", "routes", "store"};
    for (const auto &item : json.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
            throw DocumentError("/" + item.key() + ": is not a known section");
        }
    }
}

void addPart(const Json &json, EncodedDocument &encoded)
{
    const std::string content = json.dump();
    const std::string digest = sha256Hex(content);
    encoded.manifest.parts.push_back(digest);
    encoded.parts[digest] = content;
}

Json parseJson(const std::string &text, const std::string &where)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        throw DocumentError(where + ": is not a JSON object");
    }
    return json;
}

void readSections(const Json &json, Document &document)
{
    checkSections(json);
    readSection(json, "teams", teamFields, document.teams);
    readSection(json, "keys", keyFields, document.keys);
    readSection(json, "adapters", adapterFields, document.adapters);
    readSection(json, "replicas", replicaFields, document.replicas);
    readSection(json, "routes", routeFields, document.routes);
    const auto store = json.find("store");
    if (store != json.end()) {
        document.weightStore = storeFields.read(*store, "/store");
    }
}

}

Json documentToJson(const Document &document)
{
    Json json = nonAdapterSectionsToJson(document);
    json["adapters"] = writeSection(adapterFields, document.adapters);
    return json;
}

Document documentFromJson(const Json &json)
{
    if (!json.is_object()) {
        throw DocumentError("/: the document must be a mapping");
    }
    Document document;
    readSections(json, document);
    return document;
}

EncodedDocument encodeDocument(const Document &document, ConfigVersion version)
{
    EncodedDocument encoded;
    encoded.manifest.version = version;
    addPart(nonAdapterSectionsToJson(document), encoded);
    std::vector<std::vector<Adapter>> buckets(adapterPartCount);
    for (const Adapter &adapter : document.adapters) {
        buckets[stableHash(adapter.ref.text()) % adapterPartCount].push_back(adapter);
    }
    for (const std::vector<Adapter> &bucket : buckets) {
        if (!bucket.empty()) {
            addPart({{"adapters", writeSection(adapterFields, bucket)}}, encoded);
        }
    }
    return encoded;
}

Document decodeDocument(const Manifest &manifest, const std::map<std::string, std::string> &parts)
{
    Document document;
    for (const std::string &digest : manifest.parts) {
        const auto part = parts.find(digest);
        if (part == parts.end()) {
            throw DocumentError("part " + digest + ": is missing");
        }
        if (sha256Hex(part->second) != digest) {
            throw DocumentError("part " + digest + ": content doesn't match its digest");
        }
        readSections(parseJson(part->second, "part " + digest), document);
    }
    return document;
}

std::string manifestToText(const Manifest &manifest)
{
    return Json {{"version", manifest.version.value}, {"parts", manifest.parts}}.dump();
}

Manifest manifestFromText(const std::string &text)
{
    const Json json = parseJson(text, "manifest");
    try {
        return {ConfigVersion(json.at("version").get<int64_t>()), json.at("parts").get<std::vector<std::string>>()};
    } catch (const Json::exception &error) {
        throw DocumentError(std::string("manifest: ") + error.what());
    }
}

}
