#include "net/httpserver.h"

#include "core/error.h"
#include "net/loop.h"

#include <cstring>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr size_t headerRoom = 2048; // bytes of response headers
constexpr size_t writePiece = 16UL * 1024; // bytes
constexpr size_t maxPending = 8UL * 1024 * 1024; // bytes a slow client may leave unread
constexpr int bodyTooLarge = 413;
constexpr int lengthRequired = 411;

std::string header(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
    return value;
}

std::string customHeader(lws *wsi, const char *name)
{
    const int nameLength = static_cast<int>(std::strlen(name));
    const int length = lws_hdr_custom_length(wsi, name, nameLength);
    if (length <= 0) {
        return {};
    }
    std::string value(static_cast<size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, name, nameLength);
    value.resize(copied > 0 ? static_cast<size_t>(copied) : 0);
    return value;
}

std::string methodOf(lws *wsi)
{
    struct Method
    {
        lws_token_indexes token;
        const char *name;
    };
    static const std::vector<Method> methods {{WSI_TOKEN_GET_URI, "GET"},
                                              {WSI_TOKEN_POST_URI, "POST"},
                                              {WSI_TOKEN_PUT_URI, "PUT"},
                                              {WSI_TOKEN_DELETE_URI, "DELETE"}};
    for (const Method &method : methods) {
        if (lws_hdr_total_length(wsi, method.token) > 0) {
            return method.name;
        }
    }
    return {};
}

std::string pathOf(lws *wsi)
{
    for (lws_token_indexes token : {WSI_TOKEN_GET_URI, WSI_TOKEN_POST_URI, WSI_TOKEN_PUT_URI, WSI_TOKEN_DELETE_URI}) {
        std::string path = header(wsi, token);
        if (!path.empty()) {
            return path;
        }
    }
    return {};
}

std::map<std::string, std::string> queryOf(lws *wsi)
{
    std::map<std::string, std::string> query;
    std::vector<char> buffer(1024);
    for (int i = 0;; ++i) {
        const int length
            = lws_hdr_copy_fragment(wsi, buffer.data(), static_cast<int>(buffer.size()), WSI_TOKEN_HTTP_URI_ARGS, i);
        if (length <= 0) {
            return query;
        }
        const std::string argument(buffer.data(), static_cast<size_t>(length));
        const size_t equals = argument.find('=');
        if (equals != std::string::npos) {
            query[argument.substr(0, equals)] = argument.substr(equals + 1);
        }
    }
}

}

HttpServer::HttpServer(Loop &loop, const Endpoint &endpoint, size_t maxBody, Handlers handlers)
    : m_loop(loop), m_maxBody(maxBody), m_handlers(std::move(handlers)), m_ip(endpoint.ip)
{
    m_protocols[0].name = "http";
    m_protocols[0].callback = callback;
    m_protocols[0].per_session_data_size = sizeof(uint64_t);
    m_protocols[0].user = this;
    lws_context_creation_info info {};
    info.port = endpoint.port;
    info.iface = m_ip.c_str();
    info.protocols = m_protocols;
    info.vhost_name = m_ip.c_str();
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
    info.keepalive_timeout = 60;
    info.timeout_secs = 600;
    if (lws_create_vhost(loop.context(), &info) == nullptr) {
        throw ResourceError("can't listen on " + endpoint.text());
    }
}

int HttpServer::callback(lws *wsi, lws_callback_reasons reason, void *user, void *in, size_t length)
{
    const lws_protocols *protocol = lws_get_protocol(wsi);
    auto *server = protocol == nullptr ? nullptr : static_cast<HttpServer *>(protocol->user);
    auto *session = static_cast<uint64_t *>(user);
    if (server == nullptr || session == nullptr) {
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
    Exchange *exchange = server->find(*session);
    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return server->onHeaders(wsi, session);
    case LWS_CALLBACK_HTTP_BODY:
        return exchange == nullptr ? -1 : server->onBody(*exchange, static_cast<const char *>(in), length);
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (exchange != nullptr && !exchange->isDispatched) {
            server->dispatch(*exchange);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return exchange == nullptr ? 0 : server->onWriteable(*session);
    case LWS_CALLBACK_CLOSED_HTTP: {
        const uint64_t id = *session;
        *session = 0;
        if (exchange != nullptr) {
            const bool isOpen = exchange->isDispatched && !exchange->isEnded;
            server->m_exchanges.erase(id);
            if (isOpen && server->m_handlers.onClosed) {
                server->m_handlers.onClosed(id);
            }
        }
        return 0;
    }
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, length);
    }
}

HttpServer::Exchange *HttpServer::find(uint64_t id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

int HttpServer::onHeaders(lws *wsi, uint64_t *session)
{
    const uint64_t id = m_nextExchange++;
    *session = id;
    Exchange &exchange = m_exchanges[id];
    exchange.wsi = wsi;
    HttpRequest &request = exchange.request;
    request.exchange = id;
    request.method = methodOf(wsi);
    request.path = pathOf(wsi);
    request.query = queryOf(wsi);
    request.authorization = header(wsi, WSI_TOKEN_HTTP_AUTHORIZATION);
    request.cookie = header(wsi, WSI_TOKEN_HTTP_COOKIE);
    request.idempotencyKey = customHeader(wsi, "idempotency-key:");
    request.deadlineMs = customHeader(wsi, "x-deadline-ms:");
    const std::string contentLength = header(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const bool mayHaveBody = request.method == "POST" || request.method == "PUT";
    if (mayHaveBody && contentLength.empty()) {
        fail(id, lengthRequired, "length_required");
        return 0;
    }
    exchange.expected = contentLength.empty() ? 0 : std::strtoul(contentLength.c_str(), nullptr, 10);
    if (exchange.expected > m_maxBody) {
        fail(id, bodyTooLarge, "body_too_large");
        return 0;
    }
    if (exchange.expected == 0) {
        dispatch(exchange);
    }
    return 0;
}

int HttpServer::onBody(Exchange &exchange, const char *data, size_t length)
{
    if (exchange.isDispatched) {
        return 0; // refused before the body came
    }
    exchange.request.body.append(data, length);
    if (exchange.request.body.size() > m_maxBody) {
        return -1;
    }
    if (exchange.request.body.size() >= exchange.expected) {
        dispatch(exchange);
    }
    return 0;
}

void HttpServer::dispatch(Exchange &exchange)
{
    exchange.isDispatched = true;
    const HttpRequest request = std::move(exchange.request);
    exchange.request = HttpRequest {};
    m_handlers.onRequest(request);
}

void HttpServer::fail(uint64_t id, int status, const std::string &code)
{
    find(id)->isDispatched = true;
    respond(id, status, "application/json", R"({"error":{"code":")" + code + R"(","ran":"not_run"}})");
}

void HttpServer::respond(uint64_t id, int status, const std::string &contentType, const std::string &body,
                         const std::string &etag)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->hasLength = true;
    exchange->etag = etag;
    startStream(id, status, contentType);
    exchange->pending = body;
    exchange->isEnded = true;
}

void HttpServer::startStream(uint64_t id, int status, const std::string &contentType)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    exchange->status = status;
    exchange->contentType = contentType;
    exchange->isHeaderDue = true;
    lws_callback_on_writable(exchange->wsi);
}

void HttpServer::write(uint64_t id, const std::string &data)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || exchange->isEnded) {
        return;
    }
    if (exchange->pending.size() + data.size() > maxPending) {
        abort(id);
        return;
    }
    exchange->pending += data;
    lws_callback_on_writable(exchange->wsi);
}

void HttpServer::endStream(uint64_t id)
{
    Exchange *exchange = find(id);
    if (exchange != nullptr) {
        exchange->isEnded = true;
        lws_callback_on_writable(exchange->wsi);
    }
}

void HttpServer::abort(uint64_t id)
{
    Exchange *exchange = find(id);
    if (exchange != nullptr) {
        exchange->isAborted = true;
        exchange->isEnded = true;
        lws_callback_on_writable(exchange->wsi);
    }
}

int HttpServer::writeHeader(Exchange &exchange)
{
    std::vector<unsigned char> buffer(LWS_PRE + headerRoom);
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *position = start;
    unsigned char *end = buffer.data() + buffer.size() - 1;
    const lws_filepos_t length = exchange.hasLength ? exchange.pending.size() : LWS_ILLEGAL_HTTP_CONTENT_LEN;
    if (lws_add_http_common_headers(exchange.wsi, static_cast<unsigned int>(exchange.status),
                                    exchange.contentType.c_str(), length, &position, end)
        != 0) {
        return -1;
    }
    const auto *etag = reinterpret_cast<const unsigned char *>(exchange.etag.data());
    if (!exchange.etag.empty()
        && lws_add_http_header_by_token(exchange.wsi, WSI_TOKEN_HTTP_ETAG, etag, static_cast<int>(exchange.etag.size()),
                                        &position, end)
            != 0) {
        return -1;
    }
    return lws_finalize_write_http_header(exchange.wsi, start, &position, end) != 0 ? -1 : 0;
}

int HttpServer::onWriteable(uint64_t id)
{
    Exchange &exchange = *find(id);
    if (exchange.isAborted) {
        return -1;
    }
    if (exchange.isHeaderDue) {
        exchange.isHeaderDue = false;
        if (writeHeader(exchange) != 0) {
            return -1;
        }
        const bool isEmpty = exchange.hasLength && exchange.pending.empty();
        if (!isEmpty) {
            lws_callback_on_writable(exchange.wsi);
            return 0;
        }
    }
    const size_t length = std::min(writePiece, exchange.pending.size());
    const bool isLast = exchange.isEnded && length == exchange.pending.size();
    if (length == 0 && !isLast) {
        return 0;
    }
    std::vector<unsigned char> buffer(LWS_PRE + length);
    std::memcpy(buffer.data() + LWS_PRE, exchange.pending.data(), length);
    exchange.pending.erase(0, length);
    const lws_write_protocol kind = isLast ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (length > 0 && lws_write(exchange.wsi, buffer.data() + LWS_PRE, length, kind) < static_cast<int>(length)) {
        return -1;
    }
    if (!isLast) {
        lws_callback_on_writable(exchange.wsi);
        return 0;
    }
    lws *wsi = exchange.wsi;
    const bool isClosing = !exchange.hasLength;
    m_exchanges.erase(id);
    if (isClosing) {
        return -1; // the end of the connection is the end of the answer
    }
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

}
