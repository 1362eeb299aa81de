#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaspar::serving
{

/** Why and since when the requests with a part of a prompt are refused. */
struct BlockedPart
{
    uint64_t block = 0; ///< Identifies this block, so that a lifted one isn't taken up again.
    Millis blockedAt; ///< Unix time.
    int64_t crashes = 0; ///< Independent crashes that it was blocked for.
};

/** The parts of prompts whose requests are refused because they crash replicas. Bounded in number. */
class BlockedParts
{
public:
    /** @return the name of a block's record in the store. */
    static std::string recordName(const PromptPartId &part);
    static bool isRecord(const std::string &name);
    /** @return the part that a record is about. */
    static PromptPartId partOf(const std::string &recordName);
    static nlohmann::json toJson(const BlockedPart &blocked);
    /** @throws DecodeError if the content can't be read. */
    static BlockedPart fromJson(const nlohmann::json &content);

    /** @return whether the part wasn't blocked before and is now; a block that was lifted is not taken up again. */
    bool add(const PromptPartId &part, const BlockedPart &blocked, Millis now);
    /** Lifts a block. @return whether the part was blocked. */
    bool lift(const PromptPartId &part, Millis now);
    /** @return the parts that have been blocked for so long that they are to be tried again. @param wallNow Unix time.
     */
    std::vector<PromptPartId> expired(Millis wallNow) const;
    /** @return nullptr if the part isn't blocked. */
    const BlockedPart *find(const PromptPartId &part) const;
    const std::map<PromptPartId, BlockedPart> &parts() const
    {
        return m_parts;
    }

private:
    std::map<PromptPartId, BlockedPart> m_parts;
    std::map<uint64_t, Millis> m_lifted; ///< Blocks, and when they were lifted.
};

}
