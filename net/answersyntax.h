#pragma once

#include "net/httphead.h"

namespace vanillaspar
{

// The syntax of HTTP/1.1 responses (RFC 9112). libhttp-parser, as it is packaged, checks only parts of it: it is built
// without its strict mode, joins folded lines, and ignores a length or a transfer coding that it doesn't understand.

/** @return whether responses of a status never have a body (section 6.3). */
bool isBodyless(int status);
/**
 * @param head the complete head of a response.
 * @param minorVersion of HTTP/1.
 * @return whether its fields state in a valid and consistent way where the body ends (sections 6.1 to 6.3).
 */
bool hasValidFraming(const HttpHead &head, int minorVersion);

}
