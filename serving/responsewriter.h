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

/** Answers to callers. */
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /** Answers with a refusal of this system's own. */
    virtual void refuse(uint64_t exchange, const Refusal &refusal) = 0;
    /** Passes on the start of a replica's answer. */
    virtual void startAnswer(uint64_t exchange, const HttpHead &head) = 0;
    virtual void append(uint64_t exchange, std::string_view data) = 0;
    virtual void finish(uint64_t exchange) = 0;
    /** Breaks the answer off, so that it can't look complete. */
    virtual void abort(uint64_t exchange) = 0;
};

}
