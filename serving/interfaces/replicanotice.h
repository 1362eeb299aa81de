#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaspar::serving
{

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
     * @param replica that gave it.
     * @param incarnation that the answered call was sent to, as in EngineResidency.
     * @param notice what it says.
     */
    virtual void onReplicaNotice(const ReplicaId &replica, int64_t incarnation, const ReplicaNotice &notice) = 0;
};

}
