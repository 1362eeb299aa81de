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

/** Requests the configuration from a peer while the platform is unreachable. */
struct ConfigRequest
{
    std::vector<std::string> digests; ///< Digests of the wanted parts; empty to request the manifest.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(digests);
    }
};

/** The manifest of a peer's configuration, or some of its parts. */
struct ConfigResponse
{
    std::string manifest; ///< Empty if parts were requested.
    std::map<std::string, std::string> parts; ///< Content by digest.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(manifest, parts);
    }
};

/** Requests a peer's copy of the cluster state if it is newer than the sender's. */
struct ClusterStateRequest
{
    ObjectVersion known; ///< Version of the sender's copy.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(known);
    }
};

/** A peer's copy of the cluster state object. */
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

/** Requests a peer to relay a call to the platform, which the sender can't reach. */
struct RelayRequest
{
    ObjectCall call;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(call);
    }
};

/** The platform's response to a relayed call. */
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
