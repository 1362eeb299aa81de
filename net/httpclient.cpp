#include "net/httpclient.h"

#include "core/error.h"
#include "net/endpoint.h"
#include "net/loop.h"

#include <cstring>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr size_t readPiece = 16UL * 1024; // bytes
constexpr size_t writePiece = 16UL * 1024; // bytes
constexpr size_t maxBodyBytes = 8UL * 1024 * 1024; // of an answer that is kept as a whole

bool addHeader(lws *wsi, const char *name, const std::string &value, unsigned char **position, unsigned char *end)
{
    return value.empty()
        || lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char *>(name),
                                       reinterpret_cast<const unsigned char *>(value.data()),
                                       static_cast<int>(value.size()), position, end)
        == 0;
}

}

HttpClient::HttpClient(Loop &loop) : m_loop(loop)
{
    m_protocols[0].name = "client";
    m_protocols[0].callback = callback;
    m_protocols[0].user = this;
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = m_protocols;
    info.vhost_name = "client";
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.timeout_secs = 600;
    m_timer.client = this;
    m_vhost = lws_create_vhost(loop.context(), &info);
    if (m_vhost == nullptr) {
        throw ResourceError("libwebsockets can't create a client");
    }
}

uint64_t HttpClient::call(const HttpCall &call, DoneHandler onDone, DataHandler onData)
{
    const uint64_t id = m_nextId++;
    Call &entry = m_calls[id];
    entry.call = call;
    entry.onDone = std::move(onDone);
    entry.onData = std::move(onData);
    const Endpoint endpoint = Endpoint::parse(call.address);
    lws_client_connect_info info {};
    info.context = m_loop.context();
    info.vhost = m_vhost;
    info.address = endpoint.ip.c_str();
    info.port = endpoint.port;
    info.host = call.address.c_str();
    info.origin = info.host;
    info.path = entry.call.path.c_str();
    info.method = entry.call.method.c_str();
    info.protocol = "client";
    info.local_protocol_name = "client";
    info.alpn = "http/1.1";
    info.opaque_user_data = reinterpret_cast<void *>(id);
    info.pwsi = &entry.wsi;
    m_isStarting = true;
    lws_client_connect_via_info(&info); // failures are reported by the callback
    m_isStarting = false;
    return id;
}

void HttpClient::onTimer(lws_sorted_usec_list_t *entry)
{
    lws_container_of(entry, Timer, entry)->client->finishDeferred();
}

void HttpClient::finishDeferred()
{
    std::vector<std::pair<uint64_t, HttpResult::Kind>> deferred;
    deferred.swap(m_deferred);
    for (const auto &[id, kind] : deferred) {
        finish(id, kind);
    }
}

void HttpClient::cancel(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    found->second.isCancelled = true;
    if (found->second.wsi != nullptr) {
        lws_set_timeout(found->second.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void HttpClient::finish(uint64_t id, HttpResult::Kind kind)
{
    if (m_isStarting) {
        m_deferred.emplace_back(id, kind);
        lws_sul_schedule(m_loop.context(), 0, &m_timer.entry, onTimer, 1);
        return;
    }
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    m_calls.erase(found);
    if (!call.isCancelled) {
        HttpResult result = call.result;
        result.kind = kind;
        call.onDone(result);
    }
}

int HttpClient::callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length)
{
    const lws_protocols *protocol = wsi == nullptr ? nullptr : lws_get_protocol(wsi);
    auto *client = protocol == nullptr ? nullptr : static_cast<HttpClient *>(protocol->user);
    const auto id = client == nullptr ? 0 : reinterpret_cast<uint64_t>(lws_get_opaque_user_data(wsi));
    if (client == nullptr || client->m_calls.count(id) == 0) {
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
    Call &call = client->m_calls.at(id);
    call.wsi = wsi;
    return client->onEvent(id, call, reason, in, length);
}

int HttpClient::onEvent(uint64_t id, Call &call, lws_callback_reasons reason, void *in, size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR: {
        const std::string why = in == nullptr ? std::string() : std::string(static_cast<const char *>(in), length);
        call.result.body = why;
        finish(id, call.isSent ? HttpResult::Kind::Broken : HttpResult::Kind::NotSent);
        return 0;
    }
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        // From here on bytes may have left.
        call.isSent = true;
        return onHandshake(call, static_cast<unsigned char **>(in), *static_cast<unsigned char **>(in) + length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return onWriteable(call);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP: {
        call.result.status = static_cast<int>(lws_http_client_http_response(call.wsi));
        char etag[64];
        const int copied = lws_hdr_copy(call.wsi, etag, sizeof(etag), WSI_TOKEN_HTTP_ETAG);
        call.result.etag = copied > 0 ? std::string(etag, static_cast<size_t>(copied)) : std::string();
        return 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return onReadable(call);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ: {
        const std::string data(static_cast<const char *>(in), length);
        if (call.isCancelled) {
            return -1;
        }
        if (call.onData) {
            const DataHandler onData = call.onData;
            onData(call.result.status, data);
        } else {
            call.result.body += data;
            if (call.result.body.size() > maxBodyBytes) {
                return -1; // ends the call as broken
            }
        }
        return 0;
    }
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        finish(id, HttpResult::Kind::Complete);
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        finish(id, HttpResult::Kind::Broken);
        return 0;
    default:
        return lws_callback_http_dummy(call.wsi, reason, nullptr, in, length);
    }
}

int HttpClient::onHandshake(Call &call, unsigned char **position, unsigned char *end)
{
    lws *wsi = call.wsi;
    if (!addHeader(wsi, "authorization:", call.call.authorization, position, end)
        || !addHeader(wsi, "idempotency-key:", call.call.idempotencyKey, position, end)) {
        return -1;
    }
    if (call.call.body.empty() && call.call.method == "GET") {
        return 0;
    }
    if (!addHeader(wsi, "content-type:", "application/json", position, end)
        || !addHeader(wsi, "content-length:", std::to_string(call.call.body.size()), position, end)) {
        return -1;
    }
    if (!call.call.body.empty()) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClient::onWriteable(Call &call)
{
    if (call.written == call.call.body.size()) {
        return 0;
    }
    const size_t length = std::min(writePiece, call.call.body.size() - call.written);
    std::vector<unsigned char> buffer(LWS_PRE + length);
    std::memcpy(buffer.data() + LWS_PRE, call.call.body.data() + call.written, length);
    call.written += length;
    const bool isLast = call.written == call.call.body.size();
    if (isLast) {
        lws_client_http_body_pending(call.wsi, 0);
    }
    if (lws_write(call.wsi, buffer.data() + LWS_PRE, length, isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
        < static_cast<int>(length)) {
        return -1;
    }
    if (!isLast) {
        lws_callback_on_writable(call.wsi);
    }
    return 0;
}

int HttpClient::onReadable(Call &call)
{
    std::vector<char> buffer(LWS_PRE + readPiece);
    char *position = buffer.data() + LWS_PRE;
    int length = static_cast<int>(readPiece);
    return lws_http_client_read(call.wsi, &position, &length) < 0 ? -1 : 0;
}

}
