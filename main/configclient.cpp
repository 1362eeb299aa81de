#include "main/configclient.h"

#include "cluster/clusterstate.h"
#include "config/documentcodec.h"
#include "net/loop.h"
#include "node/configkeeper.h"

#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

constexpr size_t maxPush = 200UL * 1024; // bytes
constexpr int statusOk = 200;
constexpr int statusMissing = 404;
constexpr int statusConflict = 412;

ObjectVersion versionOf(const HttpResult &result)
{
    return ObjectVersion(result.etag.empty() ? 0 : std::strtoll(result.etag.c_str(), nullptr, 10));
}

/** What names a record of each section. */
std::string nameOf(const nlohmann::json &record)
{
    for (const char *field : {"id", "name", "adapter"}) {
        if (record.contains(field)) {
            return record[field].get<std::string>();
        }
    }
    return {};
}

std::map<std::string, std::string> recordsOf(const nlohmann::json &document)
{
    std::map<std::string, std::string> records;
    for (const auto &section : document.items()) {
        if (!section.value().is_array()) {
            records[section.key()] = section.value().dump();
            continue;
        }
        for (const nlohmann::json &record : section.value()) {
            records[section.key() + " " + nameOf(record)] = record.dump();
        }
    }
    return records;
}

}

HttpResult callOnce(const HttpCall &call)
{
    Loop loop;
    HttpClient client(loop);
    HttpResult answer;
    client.call(call, [&](const HttpResult &result) {
        answer = result;
        loop.stop();
    });
    loop.run();
    return answer;
}

ConfigClient::ConfigClient(std::string platform) : m_platform(std::move(platform))
{
    if (m_platform.empty()) {
        throw DocumentError("--platform is missing");
    }
}

HttpResult ConfigClient::get(const std::string &path) const
{
    HttpResult result = callOnce({"GET", m_platform, "/v1/objects/" + path, {}, {}, {}});
    const bool isAnswered
        = result.kind == HttpResult::Kind::Complete && (result.status == statusOk || result.status == statusMissing);
    if (!isAnswered) {
        throw ResourceError("the object API at " + m_platform + " does not answer");
    }
    return result;
}

HttpResult ConfigClient::put(const std::string &path, ObjectVersion expected, const std::string &value) const
{
    const std::string query = "?if_version=" + std::to_string(expected.value);
    HttpResult result = callOnce({"PUT", m_platform, "/v1/objects/" + path + query, value, {}, {}});
    const bool isAnswered
        = result.kind == HttpResult::Kind::Complete && (result.status == statusOk || result.status == statusConflict);
    if (!isAnswered) {
        throw ResourceError("the object API at " + m_platform
                            + " did not confirm the write; run export to see what is in force");
    }
    return result;
}

AcceptedDocument ConfigClient::read() const
{
    AcceptedDocument accepted;
    const HttpResult manifestObject = get(ConfigKeeper::manifestPath);
    if (manifestObject.status == statusMissing) {
        return accepted;
    }
    const Manifest manifest = manifestFromText(manifestObject.body);
    std::map<std::string, std::string> parts;
    for (const std::string &digest : manifest.parts) {
        parts[digest] = get(ConfigKeeper::partPath(digest)).body;
    }
    accepted.document = decodeDocument(manifest, parts);
    accepted.version = manifest.version;
    accepted.manifestVersion = versionOf(manifestObject);
    return accepted;
}

ConfigVersion ConfigClient::accept(const AcceptedDocument &seen, const Document &document) const
{
    const EncodedDocument encoded = encodeDocument(document, seen.version + ConfigVersion(1));
    for (const auto &[digest, content] : encoded.parts) {
        put(ConfigKeeper::partPath(digest), ObjectVersion(0), content); // a conflict means that the part stands already
    }
    const HttpResult result = put(ConfigKeeper::manifestPath, seen.manifestVersion, manifestToText(encoded.manifest));
    if (result.status == statusConflict) {
        throw ConflictError("another document was accepted after version " + std::to_string(seen.version.value)
                            + "; read it and try again");
    }
    return encoded.manifest.version;
}

std::vector<std::string> ConfigClient::hosts() const
{
    const HttpResult object = get("system/cluster");
    std::vector<std::string> addresses;
    if (object.status == statusOk) {
        for (const auto &[host, member] : ClusterState::fromText(object.body, versionOf(object)).members) {
            addresses.push_back(member.callerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> ConfigClient::push(const std::vector<std::string> &hosts, const std::string &credential,
                                            const AcceptedDocument &seen, const Document &document)
{
    const EncodedDocument before = encodeDocument(seen.document, seen.version);
    const EncodedDocument encoded = encodeDocument(document, seen.version + ConfigVersion(1));
    nlohmann::json body {{"manifest", manifestToText(encoded.manifest)}, {"parts", nlohmann::json::object()}};
    size_t bytes = 0;
    for (const auto &[digest, content] : encoded.parts) {
        const bool isNew = before.parts.count(digest) == 0;
        if (isNew && bytes + content.size() < maxPush) {
            body["parts"][digest] = content; // hosts get what doesn't fit from the platform or from each other
            bytes += content.size();
        }
    }
    std::vector<std::string> reached;
    for (const std::string &host : hosts) {
        const HttpResult result = callOnce({"POST", host, "/v1/config", body.dump(), "Bearer " + credential, {}});
        const nlohmann::json answer = nlohmann::json::parse(result.body, nullptr, false);
        if (result.status == statusOk && answer.value("version", int64_t(0)) >= encoded.manifest.version.value) {
            reached.push_back(host);
        }
    }
    return reached;
}

std::vector<std::string> describeChanges(const Document &before, const Document &after)
{
    const std::map<std::string, std::string> old = recordsOf(documentToJson(before));
    const std::map<std::string, std::string> next = recordsOf(documentToJson(after));
    std::vector<std::string> changes;
    for (const auto &[name, record] : next) {
        const auto known = old.find(name);
        if (known == old.end()) {
            changes.push_back("add    " + name);
        } else if (known->second != record) {
            std::string change = "change " + name + ": ";
            change.append(known->second).append(" -> ").append(record);
            changes.push_back(change);
        }
    }
    for (const auto &[name, record] : old) {
        if (next.count(name) == 0) {
            changes.push_back("remove " + name);
        }
    }
    return changes;
}

}
