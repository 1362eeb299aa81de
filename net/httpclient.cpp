#include "net/httpclient.h"

#include "net/loop.h"

#include <memory>
#include <utility>

namespace vanillaspar
{

namespace
{

constexpr Millis longestCall(600000); // callers have deadlines of their own
constexpr size_t maxBodyBytes = 8UL * 1024 * 1024; // of an answer that is kept as a whole

UpstreamRequest toRequest(const HttpCall &call)
{
    UpstreamRequest request;
    request.endpoint = Endpoint::parse(call.address);
    request.method = call.method;
    request.target = call.path;
    request.headers.push_back({"Host", call.address});
    if (!call.authorization.empty()) {
        request.headers.push_back({"Authorization", call.authorization});
    }
    if (!call.idempotencyKey.empty()) {
        request.headers.push_back({"Idempotency-Key", call.idempotencyKey});
    }
    if (!call.body.empty() || call.method != "GET") {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = call.body;
    request.timeout = longestCall;
    request.closesConnection = true;
    return request;
}

HttpResult::Kind toKind(UpstreamEnd end)
{
    switch (end) {
    case UpstreamEnd::Complete:
        return HttpResult::Kind::Complete;
    case UpstreamEnd::NotSent:
        return HttpResult::Kind::NotSent;
    case UpstreamEnd::Broken:
    case UpstreamEnd::Malformed:
        break;
    }
    return HttpResult::Kind::Broken;
}

}

HttpClient::HttpClient(Loop &loop) : m_upstream(loop, loop)
{
}

uint64_t HttpClient::call(const HttpCall &call, DoneHandler onDone, DataHandler onData)
{
    UpstreamRequest request = toRequest(call);
    request.maxBodyBytes = onData ? 0 : maxBodyBytes;
    const auto result = std::make_shared<HttpResult>();
    UpstreamHandlers handlers;
    handlers.onHead = [result](HttpHead &head) {
        const std::string *etag = findHeader(head.headers, "etag");
        result->status = head.status;
        result->etag = etag == nullptr ? std::string() : *etag;
    };
    handlers.onBody = [result, onData = std::move(onData)](std::string_view data) {
        if (onData) {
            onData(result->status, std::string(data));
        } else {
            result->body.append(data);
        }
    };
    handlers.onEnd = [result, onDone = std::move(onDone)](UpstreamEnd end) {
        result->kind = toKind(end);
        onDone(*result);
    };
    return m_upstream.send(std::move(request), std::move(handlers));
}

void HttpClient::cancel(uint64_t id)
{
    m_upstream.cancel(id);
}

}
