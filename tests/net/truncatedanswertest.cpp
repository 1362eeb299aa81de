#include "net/bootclock.h"
#include "net/httpupstream.h"
#include "net/loop.h"
#include "net/tcplistener.h"
#include "tests/fakes/testport.h"

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace vanillaspar
{

namespace
{

constexpr size_t uploadBytes = 32UL * 1024 * 1024; // more than the kernel takes from one connection
constexpr Millis patience(5000);

/** A server that answers before it has read a request, and a client. */
class TruncatedAnswerTest : public testing::Test
{
protected:
    ~TruncatedAnswerTest() override
    {
        for (const int descriptor : m_descriptors) {
            close(descriptor);
        }
    }
    /** Writes to the newest connection. */
    void say(const std::string &text)
    {
        ASSERT_EQ(send(m_descriptors.back(), text.data(), text.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(text.size()));
    }
    /** Ends the newest connection with a reset. */
    void resetConnection()
    {
        const linger atOnce {1, 0};
        setsockopt(m_descriptors.back(), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        close(m_descriptors.back());
        m_descriptors.pop_back();
    }
    /** Sends a request with a body of @p bytes. @return how it ended; nothing if it did not end in time. */
    std::optional<UpstreamEnd> request(size_t bytes)
    {
        std::optional<UpstreamEnd> end;
        UpstreamRequest request;
        request.endpoint = m_endpoint;
        request.method = "POST";
        request.target = "/x";
        request.body.assign(bytes, 'u');
        m_upstream.send(std::move(request),
                        {[this](HttpHead &head) {
                             m_status = head.status;
                         },
                         [this](std::string_view) {
                             if (m_resetsAtBody && !m_descriptors.empty()) {
                                 resetConnection();
                             }
                         },
                         [&](UpstreamEnd how) {
                             end = how;
                         }});
        const Millis start = m_clock.now();
        while (!end && m_clock.now() - start < patience) {
            lws_service(m_loop.context(), 0);
        }
        return end;
    }

    Loop m_loop;
    BootClock m_clock;
    Endpoint m_endpoint {"127.0.0.1", testPort(75)};
    HttpUpstream m_upstream {m_loop, m_clock};
    std::vector<int> m_descriptors;
    std::string m_answer;
    bool m_resetsAtOnce = false;
    bool m_resetsAtBody = false;
    int m_status = 0;
    TcpListener m_listener {m_loop, m_endpoint, [this](int descriptor) {
                                m_descriptors.push_back(descriptor);
                                say(m_answer);
                                if (m_resetsAtOnce) {
                                    resetConnection();
                                }
                            }};
};

// A failed write takes the reset off the socket, and the end then reads as one in order.
TEST_F(TruncatedAnswerTest, AResetThatAWriteMeetsFirstIsNoEndOfAnAnswer)
{
    m_answer = "HTTP/1.1 200 OK\r\n\r\npart";
    m_resetsAtBody = true;
    EXPECT_EQ(request(uploadBytes), UpstreamEnd::Broken);
    EXPECT_EQ(m_status, 200);
}

// The part and the reset are there before the client reads anything.
TEST_F(TruncatedAnswerTest, AResetRightBehindThePartIsNoEndOfAnAnswer)
{
    m_answer = "HTTP/1.1 200 OK\r\n\r\npart";
    m_resetsAtOnce = true;
    const std::optional<UpstreamEnd> end = request(uploadBytes);
    ASSERT_TRUE(end);
    EXPECT_NE(end, UpstreamEnd::Complete);
}

/** A status line that no final answer has. */
class StatusOfNoAnswerTest : public TruncatedAnswerTest, public testing::WithParamInterface<const char *>
{
};

// A status below 200 was always taken for an interim answer, and one above 599 for a final one.
TEST_P(StatusOfNoAnswerTest, IsMalformed)
{
    m_answer = std::string("HTTP/1.1 ") + GetParam() + " Status\r\nContent-Length: 0\r\n\r\n";
    EXPECT_EQ(request(2), UpstreamEnd::Malformed);
    EXPECT_EQ(m_status, 0) << "nothing of it reaches the caller";
}

INSTANTIATE_TEST_SUITE_P(Statuses, StatusOfNoAnswerTest,
                         testing::Values("000", "0", "20", "099", "600", "999", "1000", "2x0", "OK", "101"));

// The connection ends in order behind an interim answer: there was none.
TEST_F(TruncatedAnswerTest, AnInterimAnswerAloneIsMalformed)
{
    m_answer = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::optional<UpstreamEnd> end;
    UpstreamRequest call;
    call.endpoint = m_endpoint;
    call.method = "GET";
    call.target = "/x";
    m_upstream.send(std::move(call), {{}, {}, [&](UpstreamEnd how) {
                                          end = how;
                                      }});
    const Millis start = m_clock.now();
    while (!end && m_clock.now() - start < patience) {
        lws_service(m_loop.context(), 0);
        if (!m_descriptors.empty()) {
            shutdown(m_descriptors.back(), SHUT_WR);
        }
    }
    EXPECT_EQ(end, UpstreamEnd::Malformed);
}

}

}
