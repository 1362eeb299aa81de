#include "net/ingressconnection.h"

#include "net/httpreader.h"
#include "net/streamsocket.h"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace vanillaspar
{

namespace
{

constexpr size_t progressBytes = 1024; // less than so many bytes of a request in a second are no progress
constexpr size_t scarceBytes = 16UL * 1024; // an unfinished request that keeps less is left alone
constexpr size_t copies = 2; // of a handled request: one is kept for a retry, one waits for the replica to take it

/** @return bytes that a string takes beyond its own object. */
size_t heapBytes(const std::string &text)
{
    static const size_t inObject = std::string().capacity();
    return text.capacity() > inObject ? text.capacity() : 0;
}

}

IngressConnection::IngressConnection() = default;
IngressConnection::~IngressConnection() = default;

uint32_t callerAddress(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    const int result = getpeername(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return result == 0 ? address.sin_addr.s_addr : 0;
}

size_t memoryOf(const HttpHead &head)
{
    size_t bytes = heapBytes(head.target) + head.headers.capacity() * sizeof(HttpHeader);
    for (const HttpHeader &header : head.headers) {
        bytes += heapBytes(header.name) + heapBytes(header.value);
    }
    return bytes;
}

bool IngressConnection::isBusy() const
{
    const bool isReadInPart = stage == Stage::Reading && (reader->hasStarted() || !unread.empty());
    return isReadInPart || stage == Stage::Handling || stage == Stage::Answering || socket->pendingBytes() > 0;
}

bool IngressConnection::isResting() const
{
    return stage == Stage::Lingering || (stage == Stage::Reading && !reader->hasStarted());
}

bool IngressConnection::isReadingBody() const
{
    return stage == Stage::Reading && reader->hasHead();
}

bool IngressConnection::isStalled(Millis now, Millis idleTimeout, bool isScarce) const
{
    if (now - receivedAt > idleTimeout) {
        return true;
    }
    return isScarce && now - progressAt > scarceStall && share().unfinished > scarceBytes;
}

void IngressConnection::writeHead(int status, const HttpHeaders &headers, bool hasLength, uint64_t length)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const HttpHeader &header : headers) {
        if (isConnectionHeader(header.name) || isSameHeader(header.name, "content-length")) {
            continue;
        }
        head += header.name;
        head += ": ";
        head += header.value;
        head += "\r\n";
    }
    head += hasLength ? "Content-Length: " + std::to_string(length) + "\r\n" : "Transfer-Encoding: chunked\r\n";
    if (!isKeepAlive) {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    socket->write(head);
}

void IngressConnection::countReceived(size_t bytes, Millis now)
{
    receivedAt = now;
    bytesSinceProgress += bytes;
    if (bytesSinceProgress >= progressBytes || !reader->hasStarted()) {
        bytesSinceProgress = 0;
        progressAt = now;
    }
}

void IngressConnection::appendBody(std::string_view data, size_t limit)
{
    std::string &body = request.body;
    isTooLarge = isTooLarge || body.size() + data.size() > limit;
    if (isTooLarge) {
        std::string().swap(body);
        return;
    }
    const size_t size = body.size() + data.size();
    if (size > body.capacity()) {
        // A string that grows by itself doubles its capacity, also beyond the announced length and the limit.
        const size_t most = request.head.hasLength ? std::min<size_t>(limit, request.head.length) : limit;
        std::string grown;
        grown.reserve(std::max(size, std::min(2 * body.capacity(), most)));
        grown.append(body);
        body.swap(grown);
    }
    body.append(data);
}

void IngressConnection::releaseRequest()
{
    // A string that an empty one is assigned to keeps its memory.
    (void)std::exchange(request, {});
    std::string().swap(unread);
    headBytes = 0;
    handledBytes = 0;
}

size_t IngressConnection::unwrittenMemory() const
{
    return socket->pendingBytes() == 0 ? 0 : socket->pendingMemory();
}

size_t IngressConnection::bytesToHandle() const
{
    return copies * (heapBytes(request.body) + headBytes);
}

CallerShare IngressConnection::share() const
{
    CallerShare share;
    share.address = address;
    share.progressAt = progressAt;
    share.handled = handledBytes;
    share.unfinished = heapBytes(unread);
    if (stage == Stage::Reading) {
        share.unfinished += heapBytes(request.body) + headBytes + reader->headMemory();
    }
    return share;
}

}
