#include "net/httpreader.h"

#include "net/answersyntax.h"

#include <http_parser.h>

namespace vanillaspar
{

namespace
{

constexpr size_t maxHeaderFields = 1024; // each takes memory beyond its bytes

}

const char *reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

/** The functions that libhttp-parser calls. */
struct HttpReader::Callbacks
{
    static HttpReader &reader(http_parser *parser)
    {
        return *static_cast<HttpReader *>(parser->data);
    }
    static int onUrl(http_parser *parser, const char *at, size_t length)
    {
        reader(parser).m_head.target.append(at, length);
        return 0;
    }
    static int onField(http_parser *parser, const char *at, size_t length)
    {
        return reader(parser).takeHeaderPart(false, {at, length});
    }
    static int onValue(http_parser *parser, const char *at, size_t length)
    {
        return reader(parser).takeHeaderPart(true, {at, length});
    }
    static int onHead(http_parser *parser)
    {
        return reader(parser).completeHead();
    }
    static int onBody(http_parser *parser, const char *at, size_t length)
    {
        reader(parser).m_handlers.onBody({at, length});
        return 0;
    }
    static int onComplete(http_parser *parser)
    {
        reader(parser).m_isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    static const http_parser_settings &settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = onUrl;
            callbacks.on_header_field = onField;
            callbacks.on_header_value = onValue;
            callbacks.on_headers_complete = onHead;
            callbacks.on_body = onBody;
            callbacks.on_message_complete = onComplete;
            return callbacks;
        }();
        return table;
    }
};

HttpReader::HttpReader(Kind kind, size_t maxHeadBytes, Handlers handlers)
    : m_kind(kind)
    , m_maxHeadBytes(maxHeadBytes)
    , m_handlers(std::move(handlers))
    , m_parser(std::make_unique<http_parser>())
{
    reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::reset()
{
    http_parser_init(m_parser.get(), m_kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser->data = this;
    m_head = {};
    m_headBytes = 0;
    m_isValuePart = false;
    m_isBodyless = false;
    m_hasStarted = false;
    m_hasHead = false;
    m_hasTooManyFields = false;
    m_isComplete = false;
}

size_t HttpReader::headMemory() const
{
    constexpr size_t growth = 2; // a string's capacity for its length
    return m_hasHead ? 0 : growth * m_headBytes + m_head.headers.capacity() * sizeof(HttpHeader);
}

int HttpReader::takeHeaderPart(bool isValue, std::string_view text)
{
    constexpr int refuseHead = -1;
    if (m_hasHead) {
        return 0; // a trailer of a chunked body concerns only this connection
    }
    if (m_head.headers.size() > maxHeaderFields) {
        m_hasTooManyFields = true;
        return refuseHead;
    }
    if (!isValue && (m_isValuePart || m_head.headers.empty())) {
        m_head.headers.emplace_back();
    }
    m_isValuePart = isValue;
    HttpHeader &header = m_head.headers.back();
    (isValue ? header.value : header.name).append(text);
    return 0;
}

int HttpReader::completeHead()
{
    constexpr int skipBody = 1; // libhttp-parser's word for a message without body
    constexpr uint64_t unknownLength = UINT64_MAX;
    constexpr int refuseHead = -1;
    // The library takes spaces in names, which hides a header from whoever compares names strictly.
    for (const HttpHeader &header : m_head.headers) {
        if (header.name.empty() || header.name.find(' ') != std::string::npos) {
            return refuseHead;
        }
    }
    if (m_kind == Kind::Requests) {
        m_head.method = http_method_str(static_cast<http_method>(m_parser->method));
    } else {
        m_head.status = static_cast<int>(m_parser->status_code);
    }
    m_head.isKeepAlive = http_should_keep_alive(m_parser.get()) != 0;
    m_head.hasLength = (m_parser->flags & F_CONTENTLENGTH) != 0 && m_parser->content_length != unknownLength;
    m_head.length = m_head.hasLength ? m_parser->content_length : 0;
    const bool isChunked = (m_parser->flags & F_CHUNKED) != 0;
    if (m_kind == Kind::Responses) {
        if (!hasValidFraming(m_head, m_parser->http_minor)) {
            return refuseHead;
        }
        m_head.endsWithConnection = !m_head.hasLength && !isChunked && !isBodyless(m_head.status);
    }
    m_hasHead = true;
    m_handlers.onHead(m_head);
    return m_isBodyless ? skipBody : 0;
}

HttpReader::State HttpReader::feed(std::string_view data, size_t &consumed)
{
    const bool hadHead = m_hasHead;
    m_hasStarted = m_hasStarted || !data.empty();
    consumed = http_parser_execute(m_parser.get(), &Callbacks::settings(), data.data(), data.size());
    if (m_isComplete) {
        return State::Complete;
    }
    if (!hadHead) {
        m_headBytes += consumed;
        if (!m_hasHead && m_headBytes > m_maxHeadBytes) {
            return State::HeadTooLarge;
        }
    }
    const http_errno error = HTTP_PARSER_ERRNO(m_parser.get());
    if (error == HPE_HEADER_OVERFLOW || m_hasTooManyFields) {
        return State::HeadTooLarge;
    }
    return error != HPE_OK || m_parser->upgrade != 0 ? State::Malformed : State::NeedsMore;
}

HttpReader::State HttpReader::finish()
{
    if (!m_hasStarted || !m_hasHead) {
        return State::Malformed;
    }
    http_parser_execute(m_parser.get(), &Callbacks::settings(), nullptr, 0);
    return m_isComplete ? State::Complete : State::Malformed;
}

}
