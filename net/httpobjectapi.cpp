#include "net/httpobjectapi.h"

#include "net/httpclient.h"
#include "objects/objectcall.h"

namespace vanillaspar
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnchanged = 304;
constexpr int statusMissing = 404;
constexpr int statusConflict = 412;
constexpr int watchMillis = 2000;

HttpCall toHttp(const ObjectCall &call, const std::string &address)
{
    HttpCall http;
    http.address = address;
    http.path = "/v1/objects/" + call.path;
    if (call.kind == ObjectCall::Kind::Put) {
        http.method = "PUT";
        http.path += "?if_version=" + std::to_string(call.version.value);
        http.body = call.value;
    } else if (call.kind == ObjectCall::Kind::Watch) {
        http.path += "?above=" + std::to_string(call.version.value) + "&wait_ms=" + std::to_string(watchMillis);
    }
    return http;
}

ObjectReply::Status statusOf(const HttpResult &result)
{
    if (result.kind != HttpResult::Kind::Complete) {
        return ObjectReply::Status::Unreachable;
    }
    switch (result.status) {
    case statusOk:
        return ObjectReply::Status::Ok;
    case statusUnchanged:
        return ObjectReply::Status::Unchanged;
    case statusMissing:
        return ObjectReply::Status::Missing;
    case statusConflict:
        return ObjectReply::Status::Conflict;
    default:
        return ObjectReply::Status::Unreachable;
    }
}

}

HttpObjectApi::HttpObjectApi(HttpClient &client, std::string address, Handler onReply)
    : m_client(client), m_address(std::move(address)), m_onReply(std::move(onReply))
{
}

void HttpObjectApi::submit(const ObjectCall &call)
{
    m_client.call(toHttp(call, m_address), [this, id = call.id](const HttpResult &result) {
        const int64_t version = result.etag.empty() ? 0 : std::strtoll(result.etag.c_str(), nullptr, 10);
        m_onReply({id, statusOf(result), ObjectVersion(version), result.body});
    });
}

}
