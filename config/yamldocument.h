#pragma once

#include "config/document.h"

#include <string>

namespace vanillaspar
{

/**
 * Parses and validates a configuration document.
 *
 * @param text YAML or JSON.
 * @param name the file's name, for error messages.
 * @return a document that passed validate().
 * @throws DocumentError with one line for each problem: file, line, field and message. A document that is malformed
 * or has a field of the wrong type is reported with the first such problem only.
 */
Document readYamlDocument(const std::string &text, const std::string &name);

/** @return the document as YAML, with one line for each record so that it can be compared line by line. */
std::string writeYamlDocument(const Document &document);

}
