#pragma once

#include <cstdint>
#include <string_view>

namespace vanillaspar
{
struct HttpHead;
struct Refusal;
}

namespace vanillaspar::serving
{

/**
 * Writes responses to callers.
 *
 * A response is either one call of refuse(), or startAnswer(), any number of append() and one finish() or abort(). Each
 * function takes the exchange of the ClientRequest that is answered.
 */
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /** Responds with an error of this system. @param refusal code, run state and retry delay for the caller. */
    virtual void refuse(uint64_t exchange, const Refusal &refusal) = 0;
    /** Forwards the status and the headers of a replica's response. */
    virtual void startAnswer(uint64_t exchange, const HttpHead &head) = 0;
    /** Forwards a part of the body. */
    virtual void append(uint64_t exchange, std::string_view data) = 0;
    /** Completes the response. */
    virtual void finish(uint64_t exchange) = 0;
    /** Aborts a started response, so that the caller can't mistake it for a complete one. */
    virtual void abort(uint64_t exchange) = 0;
    /** @return whether every request that was read even in part has an answer, and all of it has been written. */
    virtual bool isQuiet() const = 0;
};

}
