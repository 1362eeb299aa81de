#pragma once

#include "net/httphead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct http_parser;

namespace vanillaspar
{

/** @return the usual reason phrase of an HTTP status. */
const char *reasonPhrase(int status);

/**
 * Reads HTTP/1 messages with libhttp-parser, one at a time.
 *
 * Responses are read strictly: the parser gets only lines and chunks that were checked against RFC 9112 before, and
 * bytes that follow a response without starting another one make it malformed, since then its length can't be trusted.
 */
class HttpReader
{
public:
    enum class Kind
    {
        Requests,
        Responses,
    };
    struct Handlers
    {
        std::function<void(HttpHead &)> onHead;
        std::function<void(std::string_view)> onBody;
    };
    /** What feeding bytes came to. */
    enum class State
    {
        NeedsMore,
        Complete, ///< A message is complete; reset() before the next.
        Malformed,
        HeadTooLarge,
    };

    HttpReader(Kind kind, size_t maxHeadBytes, Handlers handlers);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /**
     * Reads bytes up to the end of the message.
     *
     * @param data bytes received.
     * @param consumed is set to how many of them belong to this message.
     */
    State feed(std::string_view data, size_t &consumed);
    /** The connection ended. @return Complete if that is how this message ends. */
    State finish();
    /** Starts over for the next message. */
    void reset();
    /** Says that the response has no body, whatever its headers tell. */
    void expectNoBody()
    {
        m_isBodyless = true;
    }

    /** @return whether any byte of a message was read since reset(). */
    bool hasStarted() const
    {
        return m_hasStarted;
    }
    /** @return bytes of memory that a head takes which isn't complete, at most. */
    size_t headMemory() const;
    /** @return whether the head of the message is complete. */
    bool hasHead() const
    {
        return m_hasHead;
    }

private:
    struct Callbacks;
    /** The part of a response that comes next. */
    enum class Part
    {
        StatusLine,
        Field,
        Body, ///< With a declared length.
        ChunkSize,
        Chunk,
        ChunkEnd,
        Trailer,
        Rest, ///< A body that ends with the connection.
    };

    /** Gives bytes to the parser. @param consumed is set to how many it took. */
    State execute(std::string_view data, size_t &consumed);
    /** Reads from the next part of a response. @param consumed is set to how many bytes it took. */
    State feedPart(std::string_view data, size_t &consumed);
    /** Reads a line of a response, or keeps its start until the rest comes. @param consumed as above. */
    State feedLine(std::string_view data, size_t &consumed);
    /** Keeps the start and the end of a body that ends with the connection. */
    void noteRest(std::string_view data);
    /** @return whether such a body begins and ends as a chunked one. */
    bool isRestChunked() const;
    /** @return whether a line of a response without its line end is valid in the next part. */
    bool isValidLine(std::string_view line) const;
    /** @return whether the response ends with the empty line that comes next. */
    bool endsWithEmptyLine() const;
    /** @return the part that follows a line that the parser took. */
    Part partAfter(std::string_view line) const;
    /** @return 0, or what makes the parser refuse the message. */
    int takeHeaderPart(bool isValue, std::string_view text);
    int completeHead();

    Kind m_kind;
    size_t m_maxHeadBytes;
    Handlers m_handlers;
    std::unique_ptr<http_parser> m_parser;
    HttpHead m_head;
    Part m_part = Part::StatusLine; ///< Of a response.
    Part m_bodyPart = Part::Rest; ///< That follows the head of a response.
    std::string m_line; ///< Start of a line of a response whose end hasn't come yet, or of a body of unknown length.
    std::string m_restEnd; ///< The last bytes of a body of unknown length.
    size_t m_headBytes = 0;
    bool m_isValuePart = false;
    bool m_isBodyless = false;
    bool m_hasStarted = false;
    bool m_hasHead = false;
    bool m_hasTooManyFields = false;
    bool m_isComplete = false;
};

}
