#include "serving/admission/admission.h"

#include "core/random.h"
#include "serving/interfaces/clientrequest.h"
#include "tests/fakes/servingfakes.h"

#include <gtest/gtest.h>

namespace vanillaspar::serving
{

namespace
{

class AdmissionTest : public testing::Test
{
protected:
    RefusalCode refusalOf(const ClientRequest &request)
    {
        const auto decision = m_admission.admit(request, m_now);
        const auto *refusal = std::get_if<Refusal>(&decision);
        EXPECT_NE(refusal, nullptr);
        return refusal == nullptr ? RefusalCode::BackendFailed : refusal->code;
    }
    bool isAdmitted(const ClientRequest &request)
    {
        return std::holds_alternative<Admitted>(m_admission.admit(request, m_now));
    }
    void configure(const ServingConfig &config)
    {
        m_admission.setQuotaHosts(1, 0, Millis(0), false, m_now);
        m_admission.setConfig(std::make_shared<ServingConfig>(config), m_now);
        m_admission.setKeysTrustedUntil(m_now + Millis(1000));
    }

    Millis m_now {5000};
    Random m_random {3};
    Admission m_admission {m_random};
};

TEST_F(AdmissionTest, WithoutAConfigurationNothingIsDenied)
{
    EXPECT_EQ(refusalOf(makeRequest(1, "/b/x", {}, m_now)), RefusalCode::Unconfirmed);
}

TEST_F(AdmissionTest, AKeyIsNotTrustedBeyondTheProofOfTheConfiguration)
{
    configure(makeConfig());
    EXPECT_TRUE(isAdmitted(makeRequest(1, "/b/x", {}, m_now)));
    m_now += Millis(1000);
    EXPECT_EQ(refusalOf(makeRequest(2, "/b/x", {}, m_now)), RefusalCode::Unconfirmed)
        << "not 401, since the key may be newer than the configuration";
    EXPECT_TRUE(isAdmitted(makeRequest(3, "/o/x", {}, m_now))) << "a public route needs no key";
}

TEST_F(AdmissionTest, UnknownKeysAndRoutes)
{
    configure(makeConfig());
    ClientRequest request = makeRequest(1, "/b/x", {}, m_now);
    request.key = "other";
    EXPECT_EQ(refusalOf(request), RefusalCode::Unauthenticated);
    EXPECT_EQ(refusalOf(makeRequest(2, "/nowhere/x", {}, m_now)), RefusalCode::UnknownRoute);
}

TEST_F(AdmissionTest, TheLongestPrefixWins)
{
    ServingConfig config = makeConfig();
    Route inner = config.routes[1];
    inner.name = RouteName("inner");
    inner.pathPrefix = "/b/deep/";
    config.routes.push_back(inner);
    configure(config);
    const RouteTable table(*m_admission.config());
    EXPECT_EQ(table.find("h", "/b/deep/er/x")->name, RouteName("inner"));
    EXPECT_EQ(table.find("h", "/b/deeper")->name, RouteName("book"));
    EXPECT_EQ(table.find("h", "/bb/x"), nullptr);
    EXPECT_EQ(table.find("other", "/b/x"), nullptr);
}

TEST_F(AdmissionTest, ATeamsPriorityGoesBeforeTheRoutes)
{
    ServingConfig config = makeConfig();
    config.teams[0].priority = 0;
    configure(config);
    const auto decision = m_admission.admit(makeRequest(1, "/b/x", {}, m_now), m_now);
    EXPECT_EQ(std::get<Admitted>(decision).priority, 0);
}

TEST_F(AdmissionTest, SplitsFollowTheirWeights)
{
    ServingConfig config = makeConfig();
    config.routes[1].pools = {{PoolId("desk"), 90}, {PoolId("engines"), 10}};
    configure(config);
    int desk = 0;
    for (uint64_t i = 0; i < 1000; ++i) {
        const auto decision = m_admission.admit(makeRequest(i, "/b/x", {}, m_now), m_now);
        desk += std::get<Admitted>(decision).pool->id == PoolId("desk") ? 1 : 0;
    }
    EXPECT_NEAR(desk, 900, 40);
}

TEST_F(AdmissionTest, BeyondItsRateATeamIsToldWhenThereIsRoom)
{
    ServingConfig config = makeConfig();
    config.teams[0].rate = 100;
    config.teams[0].burst = 100;
    config.teams[0].isCountedInTokens = true;
    configure(config);
    m_now += Millis(900);
    EXPECT_TRUE(isAdmitted(
        makeRequest(1, "/s/x", "m/a1", m_now))); // 90 tokens are left and it costs 100: the team goes into debt
    const auto decision = m_admission.admit(makeRequest(4, "/s/x", "m/a1", m_now), m_now);
    const Refusal &refusal = std::get<Refusal>(decision);
    EXPECT_EQ(refusal.code, RefusalCode::OverRate);
    EXPECT_GT(refusal.retryAfter, Millis(0));
}

}

}
