#include "platform/recorddecoder.h"

#include "core/error.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace vanillaspar::platform
{

namespace
{

using serving::RequestKind;
using Json = nlohmann::json;

// A configuration in the format that the platform documents, with made-up names.
const char *const configText = R"({"version":7,"routes":[
 {"name":"r1","host":"x.example","path_prefix":"/p/","kind":"streaming","timeout_ms":10000,"slo_ms":1000,"priority":0,
  "service":"engines","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":600},
 {"name":"r2","host":"x.example","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":800,"slo_ms":100,"priority":2,
  "splits":[{"service":"desk","weight":90},{"service":"other","weight":10}],"max_attempts":1,"public":true}],
 "services":[{"name":"engines","health_path":"/health","max_conns":200,"engine":{"slots":24,"kv_capacity":210412,
  "models":[{"name":"m","weights_mb":65100.0,"load_s":1.9,"adapters":3000,"adapter_mb":12.0}],
  "weights_mb":66600.0,"adapter_slots":13,"loads_per_s":6.8}},{"name":"desk","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,
  "rate_per_s":158854,"burst":158854}]})";

TEST(PlatformRecordDecoder, DecodesAConfiguration)
{
    const PlatformRecordDecoder decoder;
    const auto config = decoder.configuration({"main", {0, 3}, Json::parse(configText), false});
    ASSERT_NE(config, nullptr);
    EXPECT_EQ(config->version, ConfigVersion(7));
    EXPECT_EQ(config->routes[0].kind, RequestKind::Stream);
    EXPECT_EQ(config->routes[0].maxReplicas, 2);
    EXPECT_TRUE(config->routes[0].isResumable);
    EXPECT_EQ(config->routes[1].pools.size(), 2U);
    EXPECT_TRUE(config->routes[1].isPublic);
    const auto &engine = *config->pools.at(PoolId("engines")).engine;
    EXPECT_EQ(engine.adapterSlots, 13);
    EXPECT_EQ(engine.models[0].loadTime, Millis(1900));
    EXPECT_FALSE(config->pools.at(PoolId("desk")).engine);
    EXPECT_EQ(config->teamByKey.at("k2"), 0U);
    EXPECT_TRUE(config->teams[0].isCountedInTokens);
    EXPECT_EQ(decoder.configuration({"other", {0, 3}, Json::parse(configText), false}), nullptr);
}

TEST(PlatformRecordDecoder, RejectsMalformedConfigurations)
{
    const PlatformRecordDecoder decoder;
    for (const char *text : {"{}", "[]", "null", R"({"version":"x","routes":[],"services":[]})",
                             R"({"version":1,"routes":[{"name":"r","kind":"odd"}],"services":[]})"}) {
        EXPECT_THROW(decoder.configuration({"main", {0, 1}, Json::parse(text), false}), DecodeError) << text;
    }
}

TEST(PlatformRecordDecoder, DecodesAReplica)
{
    const PlatformRecordDecoder decoder;
    const Json entry
        = Json::parse(R"({"service":"engines","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":24,
      "state":"draining","cold_left_ms":0,"models":[{"name":"m","version":1,"adapters":["a3@2"]}],
      "pending":["m/a4@1"],"seqno":4,"born":1700000000000})");
    const serving::Backend backend = decoder.backend({"i-1", {0, 3}, entry, false});
    EXPECT_TRUE(backend.isLeaving);
    EXPECT_EQ(backend.residency.adapters[0].weights, "m/a3");
    EXPECT_EQ(backend.residency.adapters[0].version, 2);
    EXPECT_EQ(backend.residency.pending[0].weights, "m/a4");
    EXPECT_EQ(backend.residency.orderCount, 4);
    EXPECT_EQ(backend.residency.incarnation, 1700000000000);
}

/** Guards against cold limits that are read from another field, and against an absent time that counts as none left. */
TEST(PlatformRecordDecoder, DecodesColdLimits)
{
    const PlatformRecordDecoder decoder;
    Json text = Json::parse(configText);
    text["services"][0]["cold_start_s"] = 2.5;
    text["services"][0]["cold_per_s"] = 18;
    const auto config = decoder.configuration({"main", {0, 3}, text, false});
    EXPECT_EQ(config->pools.at(PoolId("engines")).coldStart, Millis(2500));
    EXPECT_EQ(config->pools.at(PoolId("engines")).coldPerSecond, 18);
    EXPECT_EQ(config->pools.at(PoolId("desk")).coldPerSecond, 0);
    Json entry = Json::parse(R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"ready"})");
    EXPECT_FALSE(decoder.backend({"i-1", {0, 3}, entry, false}).coldLeft);
    entry["cold_left_ms"] = 700U;
    EXPECT_EQ(decoder.backend({"i-1", {0, 3}, entry, false}).coldLeft, Millis(700));
    entry["cold_left_ms"] = -1;
    EXPECT_THROW(decoder.backend({"i-1", {0, 3}, entry, false}), DecodeError);
}

TEST(PlatformRecordDecoder, RejectsMalformedReplicaEntries)
{
    const PlatformRecordDecoder decoder;
    for (
        const char *text :
        {"null", "[]", "\"x\"", R"({"service":"engines"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":"many","state":"ready"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"resting"})",
         R"({"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"ready","models":[{"name":"m","adapters":["a@x"]}]})"}) {
        EXPECT_THROW(decoder.backend({"i-1", {0, 3}, Json::parse(text), false}), DecodeError) << text;
    }
}

TEST(PlatformRecordDecoder, DecodesAVersion)
{
    const PlatformRecordDecoder decoder;
    const auto [weights, version]
        = decoder.adapterVersion({"m.a1", {0, 3}, Json {{"model", "m"}, {"adapter", "a1"}, {"version", 4}}, false});
    EXPECT_EQ(weights, "m/a1");
    EXPECT_EQ(version, 4);
}

}

}
