#pragma once

#include "core/units.h"

#include <cstddef>

namespace vanillaspar::serving
{

/**
 * A host's copy answers others only if it was proven to equal the store's within this time. With the time for which a
 * request is held and that for a lost answer it stays below the 3,000 ms in which a configuration must be in effect.
 */
inline constexpr Millis oldestRelayedCopy(2200);
/** How long a host holds another's request for changes. After this and answerTimeout the other asks the store. */
inline constexpr Millis relayHoldTime(400);
/** Time for a request and all pieces of its answer. */
inline constexpr Millis relayAnswerTimeout(120);
/** Bytes of records in a datagram, which must not exceed 65,507. Smaller ones lose less in a full socket buffer. */
inline constexpr size_t relayPieceLength = 16384;
/** Pieces of an answer. All of them fit into a socket's receive buffer of the usual 208 KiB. */
inline constexpr size_t maxRelayPieces = 8;

}
