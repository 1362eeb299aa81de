#include "platform/noticedecoder.h"

#include <gtest/gtest.h>

namespace vanillaspar::platform
{

namespace
{

struct PauseCase
{
    HttpHeaders headers;
    std::optional<Millis> pause;
    bool isUnreadable;
};

TEST(NoticeDecoder, GivesEachValueOfRetryAfterADefinedMeaning)
{
    const auto one = [](const std::string &value) {
        return HttpHeaders {{"Retry-After", value}};
    };
    const Millis endless(1000000000000);
    const std::vector<PauseCase> cases {
        {{}, std::nullopt, false},
        {one("3"), Millis(3000), false},
        {one("0"), Millis(0), false},
        {one(" 0.25 "), Millis(250), false},
        {{{"retry-after", "1"}, {"Retry-After", "4"}}, Millis(4000), false},
        {one("1, 7, 2"), Millis(7000), false},
        {one("1, x"), Millis(1000), true},
        {one("99999999999999999999"), endless, false},
        {one(std::string(500, '9')), endless, false},
        {one("0." + std::string(500, '0') + "1"), Millis(0), false},
        {one(""), std::nullopt, true},
        {one("-3"), std::nullopt, true},
        {one("-0"), std::nullopt, true},
        {one("soon"), std::nullopt, true},
        {one("3s"), std::nullopt, true},
        {one("1e3"), std::nullopt, true},
        {one("inf"), std::nullopt, true},
        {one("nan"), std::nullopt, true},
        {one("Wed, 21 Oct 2015 07:28:00 GMT"), std::nullopt, true},
    };
    for (const PauseCase &each : cases) {
        const std::string value = each.headers.empty() ? "absent" : each.headers[0].value;
        const serving::ReplicaNotice notice = decodeNotice(503, each.headers);
        EXPECT_EQ(notice.pause, each.pause) << value;
        EXPECT_EQ(!notice.unreadablePause.empty(), each.isUnreadable && !value.empty()) << value;
        EXPECT_TRUE(decodeNotice(429, each.headers).isEmpty()) << "only a 503 asks for a pause: " << value;
    }
}

TEST(NoticeDecoder, ReadsThatAReplicaIsLeavingFromAnyStatus)
{
    for (const int status : {200, 202, 404, 409, 421, 500, 503}) {
        EXPECT_TRUE(decodeNotice(status, {{"server-leaving", "1"}}).isLeaving) << status;
        EXPECT_FALSE(decodeNotice(status, {{"Server-Leaving", "0"}}).isLeaving) << status;
        EXPECT_TRUE(decodeNotice(status, {{"X", "1"}}).isEmpty()) << status;
    }
}

}

}
