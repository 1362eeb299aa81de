#include "net/bootclock.h"
#include "net/httpclient.h"
#include "net/loop.h"
#include "net/streamsocket.h"
#include "net/tcplistener.h"
#include "tests/fakes/answerdamages.h"
#include "tests/fakes/testport.h"

#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>

namespace vanillaspar
{

namespace
{

/** Guards against spoilt answers that calls of vanillaspard take for whole, from a server that answers byte for byte.
 */
class SpoiltCallTest : public testing::Test
{
protected:
    SpoiltCallTest()
    {
        m_loop.every(Millis(20), [] {}); // so that the loop turns without an event
    }
    /** @return how a call ended; nothing if it didn't end in time. */
    std::optional<HttpResult> call(const std::string &answer, bool staysOpen)
    {
        constexpr Millis patience(500);
        m_answer = answer;
        m_staysOpen = staysOpen;
        std::optional<HttpResult> result;
        const uint64_t id
            = m_client.call({"POST", m_endpoint.text(), "/x", "{}", {}, {}}, [&](const HttpResult &ended) {
                  result = ended;
              });
        const Millis start = m_clock.now();
        while (!result && m_clock.now() - start < patience) {
            lws_service(m_loop.context(), 0);
        }
        m_client.cancel(id);
        return result;
    }
    static bool isWhole(const std::optional<HttpResult> &result)
    {
        return result && result->kind == HttpResult::Kind::Complete;
    }

    Loop m_loop;
    BootClock m_clock;
    Endpoint m_endpoint {"127.0.0.1", testPort(76)};
    HttpClient m_client {m_loop};
    std::string m_answer;
    bool m_staysOpen = false;
    std::unique_ptr<StreamSocket> m_server;
    TcpListener m_listener {m_loop, m_endpoint, [this](int descriptor) {
                                m_server = std::make_unique<StreamSocket>(
                                    m_loop, descriptor,
                                    StreamSocket::Handlers {{},
                                                            [this](std::string_view) {
                                                                m_server->write(m_answer);
                                                                m_answer.clear();
                                                                if (!m_staysOpen) {
                                                                    m_server->finishAfterWrite();
                                                                }
                                                            },
                                                            [](SocketEnd) {}});
                            }};
};

TEST_F(SpoiltCallTest, IsNotTakenForWhole)
{
    for (const Damage &damage : damages()) {
        for (const std::string line : {"", "Keep-Alive: timeout=5\r\n"}) {
            const bool staysOpen = line.empty();
            const auto result = call("HTTP/1.1 200 OK\r\n" + line + damage.lines + "\r\n" + damage.bytes, staysOpen);
            EXPECT_FALSE(isWhole(result))
                << damage.name << (staysOpen ? ", kept: " : ", closed: ") << testing::PrintToString(result->body);
        }
    }
}

TEST_F(SpoiltCallTest, AnOddButSoundOneIsTaken)
{
    for (const Damage &oddity : oddities()) {
        const auto result = call("HTTP/1.1 200\r\n" + oddity.lines + "\r\n" + oddity.bytes, false);
        ASSERT_TRUE(isWhole(result)) << oddity.name;
        EXPECT_EQ(result->body, answerBody) << oddity.name;
    }
}

}

}
