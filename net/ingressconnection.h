#pragma once

#include "core/callerbudget.h"
#include "core/units.h"
#include "net/httpingress.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace vanillaspar
{

class HttpReader;
class StreamSocket;

/** One caller's connection to an HttpIngress. */
struct IngressConnection
{
    enum class Stage
    {
        Reading,
        Handling,
        Answering,
        Lingering,
    };

    static constexpr Millis scarceStall {2000}; ///< Longest time without progress while memory is scarce.

    IngressConnection();
    ~IngressConnection();
    IngressConnection(const IngressConnection &) = delete;
    IngressConnection &operator=(const IngressConnection &) = delete;

    uint64_t id = 0;
    Stage stage = Stage::Reading;
    std::unique_ptr<StreamSocket> socket;
    std::unique_ptr<HttpReader> reader;
    std::string unread; ///< Bytes after the request that is being handled.
    IngressRequest request;
    uint64_t exchange = 0;
    bool isChunked = false;
    bool isKeepAlive = true;
    bool isTooLarge = false;
    Millis since; ///< When the present stage began, or its socket last took bytes of the answer before.
    uint64_t sentBytes = 0; ///< That its socket had taken at the last sweep.
    uint32_t address = 0; ///< The caller's IP number.
    size_t headBytes = 0; ///< Memory of the head of a request whose body is being read.
    size_t handledBytes = 0; ///< Memory of the request that is being handled.
    Millis receivedAt; ///< When its last byte came.
    Millis progressAt; ///< When it last sent enough to count as progress.
    size_t bytesSinceProgress = 0;

    /** @return whether a request is read in part or lacks its answer, or bytes of an answer wait. */
    bool isBusy() const;
    /** @return whether it is only kept for the caller to read an answer or to send another request. */
    bool isResting() const;
    /** @return whether a body is being read. */
    bool isReadingBody() const;

    /**
     * @param isScarce whether the memory for callers runs short.
     * @return whether a body should be given up: nothing comes, or too little while memory is scarce.
     */
    bool isStalled(Millis now, Millis idleTimeout, bool isScarce) const;

    /** Writes the head of an answer; one without a length is announced in chunks. */
    void writeHead(int status, const HttpHeaders &headers, bool hasLength, uint64_t length);

    /** Records that bytes came. */
    void countReceived(size_t bytes, Millis now);
    /** Adds to the body, or drops it for good once it is longer than @p limit bytes. */
    void appendBody(std::string_view data, size_t limit);
    /** Frees what is kept of a request that is not going to be handled, and what came behind it. */
    void releaseRequest();
    /** @return bytes of memory that the answer takes which its caller hasn't read. */
    size_t unwrittenMemory() const;
    /** @return bytes that the whole request will keep while it is handled. */
    size_t bytesToHandle() const;
    /** @return what it makes the host keep. */
    CallerShare share() const;
};

/** @return the IP number at the other end of a connection; 0 if it is gone already. */
uint32_t callerAddress(int descriptor);

/** @return bytes of memory that a head takes. */
size_t memoryOf(const HttpHead &head);

}
