#pragma once

#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaspar::serving
{

struct Backend;

/** What a replica says of itself in any of its answers, besides answering. */
struct ReplicaNotice
{
    bool isLeaving = false; ///< Whether it is shutting down.
    std::optional<Millis> pause; ///< For how long it wants nothing from this host.
    std::string unreadablePause; ///< A pause that isn't a number of seconds; empty if there is none.

    /** @return whether it says anything. */
    bool isEmpty() const
    {
        return !isLeaving && !pause && unreadablePause.empty();
    }
};

/** Receives the notices of replicas. */
class ReplicaNoticeListener
{
public:
    virtual ~ReplicaNoticeListener() = default;

    /**
     * A replica gave a notice.
     *
     * @param backend the replica as it was when the answered call was sent; the notice is its incarnation's.
     */
    virtual void onReplicaNotice(const Backend &backend, const ReplicaNotice &notice) = 0;
};

}
