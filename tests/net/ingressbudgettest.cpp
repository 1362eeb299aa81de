#include "net/bootclock.h"
#include "net/httpingress.h"
#include "net/loop.h"
#include "net/streamsocket.h"
#include "tests/fakes/testport.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr size_t bodyLimit = 64UL * 1024;
constexpr Millis patience(10000);

/** An ingress whose budget is the least that its limits allow, and callers. */
class IngressBudgetTest : public testing::Test
{
protected:
    IngressBudgetTest()
    {
        IngressLimits limits;
        limits.bodyBytes = bodyLimit;
        limits.headBytes = 1024;
        m_ingress.setLimits(limits);
        m_ingress.setMemoryBudget(0);
    }
    void call(const std::string &text)
    {
        m_answers.push_back(std::make_unique<std::string>());
        std::string *answer = m_answers.back().get();
        m_callers.push_back(std::make_unique<StreamSocket>(m_loop, m_endpoint,
                                                           StreamSocket::Handlers {{},
                                                                                   [answer](std::string_view data) {
                                                                                       answer->append(data);
                                                                                   },
                                                                                   [](SocketEnd) {}}));
        m_callers.back()->write(text);
    }
    /** @return whether it became true in time. */
    bool runUntil(const std::function<bool()> &isDone)
    {
        const Millis start = m_clock.now();
        while (!isDone() && m_clock.now() - start < patience) {
            m_mostKept = std::max(m_mostKept, m_ingress.keptBytes());
            lws_service(m_loop.context(), 0);
        }
        return isDone();
    }
    size_t countAnswers(const std::string &start) const
    {
        size_t count = 0;
        for (const auto &answer : m_answers) {
            count += answer->rfind(start, 0) == 0 ? 1 : 0;
        }
        return count;
    }
    static std::string post(size_t announced, size_t sent)
    {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n"
            + std::string(sent, 'b');
    }

    static constexpr size_t budget = 4 * (bodyLimit + 1024);

    Loop m_loop;
    BootClock m_clock;
    Endpoint m_endpoint {"127.0.0.1", testPort(76)};
    std::vector<std::pair<uint64_t, IngressRequest>> m_requests;
    HttpIngress m_ingress {m_loop,
                           m_clock,
                           m_endpoint,
                           {[this](uint64_t exchange, IngressRequest &request) {
                                m_requests.emplace_back(exchange, std::move(request));
                            },
                            [](uint64_t) {}}};
    std::vector<std::unique_ptr<std::string>> m_answers;
    std::vector<std::unique_ptr<StreamSocket>> m_callers;
    size_t m_mostKept = 0;
};

// Bodies that stop just short of their end were all kept for half a minute.
TEST_F(IngressBudgetTest, UnfinishedBodiesMakeRoom)
{
    constexpr size_t callers = 30;
    for (size_t i = 0; i < callers; ++i) {
        call(post(bodyLimit, bodyLimit - 1));
    }
    EXPECT_TRUE(runUntil([&] {
        return m_ingress.givenUp() >= callers - 4;
    }));
    EXPECT_LE(m_mostKept, budget);
    call(post(2, 2));
    EXPECT_TRUE(runUntil([&] {
        return m_requests.size() == 1;
    })) << "an ordinary request is read";
    EXPECT_TRUE(runUntil([&] {
        return countAnswers("HTTP/1.1 ") == m_ingress.givenUp();
    }));
    EXPECT_EQ(countAnswers("HTTP/1.1 408") + countAnswers("HTTP/1.1 429") + countAnswers("HTTP/1.1 503"),
              m_ingress.givenUp());
}

// Whole bodies that wait for their replicas were kept without a bound.
TEST_F(IngressBudgetTest, WholeBodiesBeyondTheBudgetAreRefusedUnrun)
{
    constexpr size_t callers = 8;
    for (size_t i = 0; i < callers; ++i) {
        call(post(bodyLimit, bodyLimit));
    }
    EXPECT_TRUE(runUntil([&] {
        return m_requests.size() + countAnswers("HTTP/1.1 ") == callers;
    }));
    EXPECT_GT(m_requests.size(), 0U);
    EXPECT_LT(m_requests.size(), callers);
    for (const auto &answer : m_answers) {
        EXPECT_TRUE(answer->empty() || answer->find("\r\nRetry-After: 1\r\n") != std::string::npos) << *answer;
    }
    for (const auto &[exchange, request] : m_requests) {
        m_ingress.respond(exchange, 200, {}, {});
    }
    EXPECT_EQ(m_ingress.keptBytes(), 0U) << "an answer gives its request's memory back";
}

// The largest request inside the limits is served, in one piece and in the smallest chunks.
TEST_F(IngressBudgetTest, TheLargestRequestIsRead)
{
    call(post(bodyLimit, bodyLimit));
    std::string chunks = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (size_t i = 0; i < bodyLimit; ++i) {
        chunks += "1\r\nb\r\n";
    }
    EXPECT_TRUE(runUntil([&] {
        return m_requests.size() == 1;
    }));
    m_ingress.respond(m_requests[0].first, 200, {}, {});
    call(chunks + "0\r\n\r\n");
    EXPECT_TRUE(runUntil([&] {
        return m_requests.size() == 2;
    }));
    EXPECT_EQ(m_requests[1].second.body.size(), bodyLimit);
    EXPECT_LE(m_requests[1].second.body.capacity(), 2 * bodyLimit);
}

// What came after a body was known to be too large was kept too.
TEST_F(IngressBudgetTest, BytesOfABodyThatIsTooLargeAreDropped)
{
    const std::string chunk = "8000\r\n" + std::string(0x8000, 'b') + "\r\n";
    std::string text = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 64; ++i) {
        text += chunk;
    }
    call(text);
    EXPECT_TRUE(runUntil([&] {
        return countAnswers("HTTP/1.1 413") == 1;
    }));
    EXPECT_LE(m_mostKept, bodyLimit + 1024);
    EXPECT_EQ(m_ingress.keptBytes(), 0U);
}

}

}
