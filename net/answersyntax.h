#pragma once

#include "net/httphead.h"

#include <string_view>

namespace vanillaspar
{

// The syntax of HTTP/1.1 responses (RFC 9112). libhttp-parser, as it is packaged, checks only parts of it: it behaves
// as without its strict mode, joins folded lines, and ignores a transfer coding that it doesn't understand.

/** @return whether a line, without its line end, is the status line of a response (section 4). */
bool isStatusLine(std::string_view line);
/** @return whether the bytes received so far can be the start of a status line; also if there are none. */
bool canStartStatusLine(std::string_view bytes);
/** @return whether a line, without its line end, is a field line (section 5); a folded line isn't. */
bool isFieldLine(std::string_view line);
/** @return whether a line, without its line end, states the size of a chunk (section 7.1). */
bool isChunkSizeLine(std::string_view line);
/** @return whether responses of a status never have a body (section 6.3). */
bool isBodyless(int status);
/**
 * @param head the complete head of a response.
 * @param minorVersion of HTTP/1.
 * @return whether its fields state in a valid and consistent way where the body ends (sections 6.1 to 6.3).
 */
bool hasValidFraming(const HttpHead &head, int minorVersion);

}
