#pragma once

#include "objects/objectcall.h"
#include "objects/objectreply.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <string>
#include <vector>

namespace vanillaspar
{

/** Asks a peer for its configuration when the platform doesn't answer. */
struct ConfigRequest
{
    std::vector<std::string> digests; ///< Parts wanted; none asks for the manifest.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(digests);
    }
};

/** A peer's configuration, or some of its parts. */
struct ConfigResponse
{
    std::string manifest; ///< Empty if only parts were asked for.
    std::map<std::string, std::string> parts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(manifest, parts);
    }
};

/** Asks a peer for the cluster state it has seen. */
struct ClusterStateRequest
{
    ObjectVersion known;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

/** A peer's copy of the cluster object. */
struct ClusterStateResponse
{
    ObjectVersion version;
    std::string value;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, value);
    }
};

/** Asks a peer to pass a call to the platform, which the sender can't reach. */
struct RelayRequest
{
    ObjectCall call;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(call);
    }
};

/** The platform's answer to a relayed call. */
struct RelayResponse
{
    ObjectReply reply;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reply);
    }
};

}
