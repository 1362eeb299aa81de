#pragma once

#include "serving/interfaces/backend.h"
#include "serving/interfaces/servingconfig.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace vanillaspar::serving
{

struct StoredRecord;

/** Decodes records of the store. */
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;

    /** @return the configuration, or nullptr if the record isn't one. @throws DecodeError if it can't be read. */
    virtual std::shared_ptr<const ServingConfig> configuration(const StoredRecord &record) const = 0;
    /** @throws DecodeError if the record can't be read. */
    virtual Backend backend(const StoredRecord &record) const = 0;
    /** @return "model/adapter" and its version. @throws DecodeError if the record can't be read. */
    virtual std::pair<std::string, int64_t> adapterVersion(const StoredRecord &record) const = 0;
};

}
