#include "net/httpreader.h"

#include "net/answersyntax.h"

#include <algorithm>
#include <http_parser.h>

namespace vanillaspar
{

namespace
{

constexpr size_t maxHeaderFields = 1024; // each takes memory beyond its bytes
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

/** @return a line without the white space at its end, which belongs to no value. */
std::string_view trimmed(std::string_view line)
{
    return line.substr(0, line.find_last_not_of(" \t") + 1);
}

/** @return the line that states the size of a chunk without its extensions. */
std::string_view withoutExtensions(std::string_view line)
{
    return line.substr(0, line.find_first_of("; \t"));
}

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
    m_part = Part::StatusLine;
    m_line.clear();
    m_restEnd.clear();
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
        m_bodyPart = isChunked ? Part::ChunkSize : m_head.hasLength ? Part::Body : Part::Rest;
    }
    m_hasHead = true;
    const bool hasNoBody = m_kind == Kind::Responses && isBodyless(m_head.status);
    m_handlers.onHead(m_head);
    return m_isBodyless || hasNoBody ? skipBody : 0;
}

HttpReader::State HttpReader::feed(std::string_view data, size_t &consumed)
{
    const bool hadHead = m_hasHead;
    m_hasStarted = m_hasStarted || !data.empty();
    consumed = 0;
    State state = State::NeedsMore;
    while (consumed < data.size() && state == State::NeedsMore) {
        const std::string_view rest = data.substr(consumed);
        size_t taken = 0;
        state = m_kind == Kind::Requests ? execute(rest, taken) : feedPart(rest, taken);
        consumed += taken;
    }
    if (!hadHead && state != State::Complete) {
        m_headBytes += consumed;
        if (!m_hasHead && m_headBytes > m_maxHeadBytes) {
            return State::HeadTooLarge;
        }
    }
    return state;
}

HttpReader::State HttpReader::execute(std::string_view data, size_t &consumed)
{
    consumed = http_parser_execute(m_parser.get(), &Callbacks::settings(), data.data(), data.size());
    if (m_isComplete) {
        return State::Complete;
    }
    const http_errno error = HTTP_PARSER_ERRNO(m_parser.get());
    if (error == HPE_HEADER_OVERFLOW || m_hasTooManyFields) {
        return State::HeadTooLarge;
    }
    return error != HPE_OK || m_parser->upgrade != 0 ? State::Malformed : State::NeedsMore;
}

HttpReader::State HttpReader::feedPart(std::string_view data, size_t &consumed)
{
    if (m_part == Part::Rest) {
        noteRest(data);
        return execute(data, consumed);
    }
    if (m_part != Part::Body && m_part != Part::Chunk) {
        return feedLine(data, consumed);
    }
    const std::string_view due = data.substr(0, std::min<uint64_t>(m_parser->content_length, data.size()));
    if (m_part == Part::Body && !canStartStatusLine(data.substr(due.size()))) {
        return State::Malformed;
    }
    const State state = execute(due, consumed);
    if (m_part == Part::Chunk && m_parser->content_length == 0) {
        m_part = Part::ChunkEnd;
    }
    return state;
}

void HttpReader::noteRest(std::string_view data)
{
    constexpr size_t longestSize = 18; // bytes of a chunk's size and its line end
    m_line.append(data.substr(0, longestSize - std::min(longestSize, m_line.size())));
    m_restEnd.append(data.substr(data.size() - std::min(data.size(), lastChunk.size())));
    m_restEnd.erase(0, m_restEnd.size() - std::min(m_restEnd.size(), lastChunk.size()));
}

bool HttpReader::isRestChunked() const
{
    const size_t end = m_line.find(lineEnd);
    return end != std::string::npos && isChunkSizeLine(std::string_view(m_line).substr(0, end))
        && m_restEnd == lastChunk;
}

HttpReader::State HttpReader::feedLine(std::string_view data, size_t &consumed)
{
    const size_t end = data.find('\n');
    consumed = end == std::string_view::npos ? data.size() : end + 1;
    if (m_line.size() + consumed > m_maxHeadBytes) {
        return m_hasHead ? State::Malformed : State::HeadTooLarge;
    }
    std::string_view line = data.substr(0, consumed);
    if (!m_line.empty() || end == std::string_view::npos) {
        m_line.append(line);
        line = m_line;
    }
    if (m_part == Part::StatusLine && !canStartStatusLine(line)) {
        return State::Malformed;
    }
    if (end == std::string_view::npos) {
        return State::NeedsMore;
    }
    const std::string_view text = line.substr(0, line.size() - std::min(line.size(), lineEnd.size()));
    const bool isLast = text.empty() && endsWithEmptyLine();
    if (line.substr(text.size()) != lineEnd || !isValidLine(text)
        || (isLast && !canStartStatusLine(data.substr(consumed)))) {
        return State::Malformed;
    }
    const std::string_view needed = m_part == Part::ChunkSize ? withoutExtensions(text) : trimmed(text);
    size_t taken = 0;
    // For the parser, no bytes are the end of the connection.
    State state = needed.empty() ? State::NeedsMore : execute(needed, taken);
    if (state == State::NeedsMore) {
        state = execute(lineEnd, taken);
    }
    m_part = partAfter(text);
    m_line.clear();
    return state;
}

bool HttpReader::isValidLine(std::string_view line) const
{
    switch (m_part) {
    case Part::StatusLine:
        return isStatusLine(line);
    case Part::Field:
    case Part::Trailer:
        return line.empty() || isFieldLine(line);
    case Part::ChunkSize:
        return isChunkSizeLine(line);
    default:
        return line.empty();
    }
}

bool HttpReader::endsWithEmptyLine() const
{
    const bool isEmpty = (m_parser->flags & F_CONTENTLENGTH) != 0 && m_parser->content_length == 0;
    return m_part == Part::Trailer
        || (m_part == Part::Field && (isEmpty || isBodyless(static_cast<int>(m_parser->status_code))));
}

HttpReader::Part HttpReader::partAfter(std::string_view line) const
{
    switch (m_part) {
    case Part::StatusLine:
        return Part::Field;
    case Part::Field:
        return line.empty() ? m_bodyPart : Part::Field;
    case Part::ChunkSize:
        return m_parser->content_length == 0 ? Part::Trailer : Part::Chunk;
    case Part::ChunkEnd:
        return Part::ChunkSize;
    default:
        return m_part;
    }
}

HttpReader::State HttpReader::finish()
{
    // Chunks in a body that ends with its connection mean that the field that announced them was spoilt.
    if (!m_hasStarted || !m_hasHead || (m_part == Part::Rest && isRestChunked())) {
        return State::Malformed;
    }
    http_parser_execute(m_parser.get(), &Callbacks::settings(), nullptr, 0);
    return m_isComplete ? State::Complete : State::Malformed;
}

}
