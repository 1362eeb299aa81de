#pragma once

#include "config/document.h"
#include "core/units.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaspar
{

/** Content of the manifest object: the configuration version and the digests of the document's parts. */
struct Manifest
{
    ConfigVersion version;
    std::vector<std::string> parts; ///< SHA-256 digests in hexadecimal; each part's object is named by its digest.
};

/** A document, split into parts so that each stays well below the size limit of the platform's objects. */
struct EncodedDocument
{
    Manifest manifest;
    std::map<std::string, std::string> parts; ///< JSON content by digest.
};

/** @return the document as one JSON object with all sections. */
nlohmann::json documentToJson(const Document &document);

/**
 * @param json an object with some or all sections of the document.
 * @return the document; sections that are left out are empty.
 * @throws DocumentError if a section or field is unknown, missing or of the wrong type; the message starts with the
 * field's JSON pointer.
 */
Document documentFromJson(const nlohmann::json &json);

/**
 * Splits a document into content-addressed parts, so that a small change replaces only a small part.
 *
 * @param document a validated document.
 * @param version the configuration version to put into the manifest.
 */
EncodedDocument encodeDocument(const Document &document, ConfigVersion version);

/**
 * Assembles a document from its parts.
 *
 * @param manifest lists the parts in order.
 * @param parts content by digest; parts that the manifest doesn't list are ignored.
 * @throws DocumentError if a part is missing, doesn't match its digest or is malformed.
 */
Document decodeDocument(const Manifest &manifest, const std::map<std::string, std::string> &parts);

/** @return the JSON text that is stored in the manifest object. */
std::string manifestToText(const Manifest &manifest);

/** Parses the content of the manifest object. @throws DocumentError if @p text is malformed. */
Manifest manifestFromText(const std::string &text);

}
