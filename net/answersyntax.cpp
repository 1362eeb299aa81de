#include "net/answersyntax.h"

namespace vanillaspar
{

namespace
{

constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;

}

bool isBodyless(int status)
{
    return status < firstFinalStatus || status == noContent || status == notModified;
}

bool hasValidFraming(const HttpHead &head, int minorVersion)
{
    int lengths = 0;
    int codings = 0;
    bool isChunked = false;
    for (const HttpHeader &header : head.headers) {
        if (isSameHeader(header.name, "content-length")) {
            ++lengths;
        } else if (isSameHeader(header.name, "transfer-encoding")) {
            ++codings;
            isChunked = isSameHeader(header.value, "chunked"); // the only coding that is decoded
        }
    }
    if (codings > 0) {
        return codings == 1 && lengths == 0 && isChunked && minorVersion > 0 && !isBodyless(head.status);
    }
    // Only a 304 may state the length of a body that it doesn't have.
    const bool mayHaveLength = head.length == 0 || !isBodyless(head.status) || head.status == notModified;
    return lengths == 0 || (lengths == 1 && head.hasLength && mayHaveLength);
}

}
