#include "net/httpbackendlink.h"

#include "backend/backendcall.h"
#include "net/httpclient.h"

#include <nlohmann/json.hpp>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr size_t maxLine = 256UL * 1024; // bytes

Rejected rejectionFrom(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::string reason = json.is_object() ? json.value("reason", "") : "";
    static const std::map<std::string, Rejected::Reason> reasons {
        {"not_resident", Rejected::Reason::NotResident},
        {"stale_fence", Rejected::Reason::StaleFence},
        {"busy", Rejected::Reason::Busy},
        {"leaving", Rejected::Reason::Leaving},
    };
    const auto found = reasons.find(reason);
    return {found == reasons.end() ? Rejected::Reason::Failed : found->second, reason};
}

}

HttpBackendLink::HttpBackendLink(HttpClient &client, Handler onEvent) : m_client(client), m_onEvent(std::move(onEvent))
{
}

void HttpBackendLink::emit(const BackendCall &call, decltype(BackendEvent::what) what)
{
    m_onEvent({call.id, call.replica, std::move(what)});
}

void HttpBackendLink::submit(const BackendCall &call)
{
    if (const auto *work = std::get_if<GenerateCall>(&call.work)) {
        generate(call, *work);
    } else if (const auto *work = std::get_if<OrderCall>(&call.work)) {
        order(call, *work);
    } else if (const auto *work = std::get_if<ServiceCall>(&call.work)) {
        callService(call, *work);
    } else {
        readState(call);
    }
}

void HttpBackendLink::cancel(uint64_t call)
{
    const auto found = m_httpCalls.find(call);
    if (found != m_httpCalls.end()) {
        m_client.cancel(found->second);
        m_httpCalls.erase(found);
    }
}

bool HttpBackendLink::reportFailure(const BackendCall &call, const HttpResult &result)
{
    m_httpCalls.erase(call.id);
    if (result.kind == HttpResult::Kind::NotSent) {
        emit(call, NotSent {});
        return true;
    }
    if (result.kind == HttpResult::Kind::Broken) {
        emit(call, Broken {});
        return true;
    }
    return false;
}

void HttpBackendLink::generate(const BackendCall &call, const GenerateCall &work)
{
    const Json body {{"request_id", work.request.text()},
                     {"adapter", work.adapter.text()},
                     {"prompt", work.prompt},
                     {"max_tokens", work.maxTokens.value},
                     {"resume_from", work.resumeFrom},
                     {"priority", work.isInteractive ? 0 : 1},
                     {"fence", work.epoch.value}};
    const auto stream = std::make_shared<Stream>();
    const auto onDone = [this, call, stream](const HttpResult &result) {
        m_httpCalls.erase(call.id);
        if (stream->isComplete) {
            return; // the end marker came before the connection's end
        }
        if (result.kind == HttpResult::Kind::Complete && result.status != statusOk) {
            emit(call, rejectionFrom(stream->buffer));
        } else if (!reportFailure(call, result)) {
            emit(call, Broken {}); // the answer ended without its end marker
        }
    };
    const auto onData = [this, call, stream](int status, const std::string &data) {
        if (status == statusOk) {
            onStreamData(call, *stream, data);
        } else {
            stream->buffer += data;
            limitBuffer(call, *stream);
        }
    };
    m_httpCalls[call.id] = m_client.call({"POST", call.address, "/v1/generate", body.dump(), {}, {}}, onDone, onData);
}

void HttpBackendLink::onStreamData(const BackendCall &call, Stream &stream, const std::string &data)
{
    stream.buffer += data;
    size_t end = stream.buffer.find('\n');
    while (end != std::string::npos) {
        const std::string line = stream.buffer.substr(0, end);
        stream.buffer.erase(0, end + 1);
        onStreamLine(call, stream, line);
        end = stream.buffer.find('\n');
    }
    limitBuffer(call, stream);
}

void HttpBackendLink::limitBuffer(const BackendCall &call, const Stream &stream)
{
    if (stream.buffer.size() > maxLine) {
        cancel(call.id);
        emit(call, Broken {});
    }
}

void HttpBackendLink::onStreamLine(const BackendCall &call, Stream &stream, const std::string &line)
{
    const std::string prefix = "data: ";
    if (stream.isComplete || line.compare(0, prefix.size(), prefix) != 0) {
        return;
    }
    const Json json = Json::parse(line.substr(prefix.size()), nullptr, false);
    if (!json.is_object()) {
        return;
    }
    if (json.value("done", false)) {
        stream.isComplete = true;
        emit(call, Generated {json.value("pieces", uint64_t(0)), Tokens(json.value("used", int64_t(0)))});
    } else {
        emit(call,
             Piece {AdapterRef(json.value("adapter", "")), json.value("index", uint64_t(0)), json.value("text", "")});
    }
}

void HttpBackendLink::order(const BackendCall &call, const OrderCall &work)
{
    static const char *const names[] = {"load", "unload", "fence"};
    const Json body {{"order", names[static_cast<size_t>(work.order)]},
                     {"adapter", work.adapter.text()},
                     {"fence", work.epoch.value}};
    m_httpCalls[call.id] = m_client.call({"POST", call.address, "/v1/orders", body.dump(), {}, {}},
                                         [this, call](const HttpResult &result) {
                                             if (reportFailure(call, result)) {
                                                 return;
                                             }
                                             const Json json = Json::parse(result.body, nullptr, false);
                                             if (result.status == statusOk && json.is_object()) {
                                                 emit(call, OrderDone {Incarnation(json.value("incarnation", ""))});
                                             } else {
                                                 emit(call, rejectionFrom(result.body));
                                             }
                                         });
}

void HttpBackendLink::readState(const BackendCall &call)
{
    m_httpCalls[call.id]
        = m_client.call({"GET", call.address, "/v1/state", {}, {}, {}}, [this, call](const HttpResult &result) {
              if (reportFailure(call, result)) {
                  return;
              }
              const Json json = Json::parse(result.body, nullptr, false);
              if (result.status != statusOk || !json.is_object()) {
                  emit(call, rejectionFrom(result.body));
                  return;
              }
              StateReport report;
              report.incarnation = Incarnation(json.value("incarnation", ""));
              report.running = json.value("running", int64_t(0));
              const Json adapters = json.value("adapters", Json::object());
              for (const auto &item : adapters.items()) {
                  report.adapters[AdapterRef(item.key())] = item.value().get<int64_t>();
              }
              emit(call, report);
          });
}

void HttpBackendLink::callService(const BackendCall &call, const ServiceCall &work)
{
    const HttpCall http {"POST", call.address, "/" + work.route.text(), work.body, {}, work.request.text()};
    m_httpCalls[call.id] = m_client.call(http, [this, call](const HttpResult &result) {
        if (reportFailure(call, result)) {
            return;
        }
        const Rejected rejected = rejectionFrom(result.body);
        const bool hasNotRun = result.status != statusOk && rejected.reason != Rejected::Reason::Failed;
        if (hasNotRun) {
            emit(call, rejected);
        } else {
            emit(call, ServiceAnswer {result.status, result.body});
        }
    });
}

}
