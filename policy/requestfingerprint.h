#pragma once

#include "core/ids.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/**
 * Identifies a whole request, so that the same one is recognized whoever sends it and under whatever id.
 *
 * @param weights adapter that is asked for.
 * @param parts of the prompt, in order.
 * @return a name beside those of parts; empty without parts.
 */
PromptPartId requestFingerprint(const std::string &weights, const std::vector<PromptPartId> &parts);

/** @return whether a name stands for a whole request rather than for a part of its prompt. */
bool isRequestFingerprint(const PromptPartId &part);

}
