#pragma once

#include "config/document.h"
#include "core/error.h"
#include "core/units.h"
#include "net/httpclient.h"

#include <string>
#include <vector>

namespace vanillaspar
{

/** Another operator's document was accepted first. */
class ConflictError : public Error
{
public:
    using Error::Error;
};

/** The document in force, as an operator saw it. */
struct AcceptedDocument
{
    Document document;
    ConfigVersion version; ///< 0 if none was accepted yet.
    ObjectVersion manifestVersion; ///< What the next document has to be conditional on.
};

/** Makes one HTTP call and waits for its end. */
HttpResult callOnce(const HttpCall &call);

/** Reads and writes the accepted document on the platform, for operators' tools. */
class ConfigClient
{
public:
    /** @param platform IP number and port of the object API. */
    explicit ConfigClient(std::string platform);

    /** @throws ResourceError if the platform doesn't answer. */
    AcceptedDocument read() const;
    /**
     * Makes a document the accepted one: its parts first, the manifest last and on condition.
     *
     * @param seen what the operator's change started from.
     * @return the new version.
     * @throws ConflictError if another document was accepted since @p seen was read.
     * @throws ResourceError if the platform doesn't answer; the document may have been accepted all the same.
     */
    ConfigVersion accept(const AcceptedDocument &seen, const Document &document) const;
    /** @return the addresses for callers of the hosts that take part. */
    std::vector<std::string> hosts() const;
    /**
     * Tells hosts of an accepted document, so that it comes into force even if the platform goes down now.
     *
     * @param credential the operators'.
     * @return the hosts that have it in force.
     */
    static std::vector<std::string> push(const std::vector<std::string> &hosts, const std::string &credential,
                                         const AcceptedDocument &seen, const Document &document);

private:
    HttpResult get(const std::string &path) const;
    HttpResult put(const std::string &path, ObjectVersion expected, const std::string &value) const;

    std::string m_platform;
};

/** @return one line for each record that would be added, changed or removed. */
std::vector<std::string> describeChanges(const Document &before, const Document &after);

}
