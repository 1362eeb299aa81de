#include "platform/policyfeatures.h"
#include "core/error.h"
#include "main/entrysettings.h"
#include "serving/interfaces/servingfeatures.h"

#include <gtest/gtest.h>

namespace vanillaspar
{

namespace
{

const std::string required = "host: a\ndomain: d\npeer-address: 127.0.0.1:1\ncaller-address: 127.0.0.1:2\n"
                             "directory-address: 127.0.0.1:3\nreadiness-address: 127.0.0.1:4\n"
                             "store-address: 127.0.0.1:5\ncluster-secret: 0123456789abcdef\n";

// Guards against a feature that is switched on in a deployment that doesn't ask for it.
TEST(PolicyFeatures, ADeploymentWithoutAPolicyThatNeedsThemGetsNoFeatures)
{
    EXPECT_EQ(platform::featuresForPolicies("base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota"),
              "");
    EXPECT_EQ(platform::featuresForPolicies(""), "");
}

TEST(PolicyFeatures, EveryNamedFeatureIsSwitchedOn)
{
    const serving::ServingFeatures features = serving::ServingFeatures::fromNames("learned-capacity,record-relay");
    EXPECT_TRUE(features.learnedCapacity && features.recordRelay);
    EXPECT_FALSE(features.overloadControl || features.adapterPlacement);
    serving::ServingFeatures::fromNames(platform::featuresForPolicies("base,health,pool,places,pressure"));
}

// Guards against a misspelt feature that is silently left off.
TEST(PolicyFeatures, AnUnknownFeatureIsAnError)
{
    EXPECT_THROW(EntrySettings::fromYaml(required + "features: record-rely\n", "test"), DocumentError);
}

TEST(PolicyFeatures, ExplicitFeaturesOverrideThePolicies)
{
    EXPECT_TRUE(EntrySettings::fromYaml(required + "policies: base\nfeatures: record-relay\n", "test")
                    .serving.features.recordRelay);
    EXPECT_FALSE(EntrySettings::fromYaml(required + "policies: pool\nfeatures: none\n", "test")
                     .serving.features.learnedCapacity);
}

}

}
