#pragma once

#include "config/document.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** A violated rule in a document. */
struct Problem
{
    std::string where; ///< JSON pointer of the record or field.
    std::string what; ///< Message for the operator, without the location.
};

/**
 * Checks names, value ranges and references between records.
 *
 * @param document a document whose fields have the right types.
 * @return all problems; empty if the document is valid.
 */
std::vector<Problem> validate(const Document &document);

/**
 * Checks that a new document doesn't change adapter versions that were accepted earlier.
 *
 * @param before the active document.
 * @param after the proposed document.
 * @return a problem for each adapter version whose team or pool differs.
 */
std::vector<Problem> validateChange(const Document &before, const Document &after);

}
