#include "net/bootclock.h"
#include "net/httpingress.h"
#include "net/httpreader.h"
#include "net/httpupstream.h"
#include "net/loop.h"
#include "net/streamsocket.h"
#include "net/tcplistener.h"
#include "tests/fakes/testport.h"

#include <functional>
#include <gtest/gtest.h>
#include <optional>

namespace vanillaspar
{

namespace
{

TEST(HttpReader, ReadsOneMessageAtATime)
{
    HttpHead head;
    std::string body;
    HttpReader reader(HttpReader::Kind::Requests, 1000,
                      {[&](HttpHead &read) {
                           head = read;
                       },
                       [&](std::string_view data) {
                           body.append(data);
                       }});
    const std::string first
        = "POST /a%2fb/../c//d?x=1 HTTP/1.1\r\nHost: h\r\nX-Odd: \t v \r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    size_t consumed = 0;
    EXPECT_EQ(reader.feed(first + second, consumed), HttpReader::State::Complete);
    EXPECT_EQ(consumed, first.size());
    EXPECT_EQ(head.target, "/a%2fb/../c//d?x=1") << "a path stays as it was sent";
    EXPECT_EQ(body, "abc");
    reader.reset();
    EXPECT_EQ(reader.feed(second, consumed), HttpReader::State::Complete);
    EXPECT_EQ(head.target, "/next");
}

TEST(HttpReader, RefusesMessagesThatCouldHideAnother)
{
    for (const std::string text :
         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
          "POST / HTTP/1.1\r\nHost : h\r\nContent-Length: 3\r\n\r\nabc"}) {
        HttpReader reader(HttpReader::Kind::Requests, 1000, {[](HttpHead &) {}, [](std::string_view) {}});
        size_t consumed = 0;
        EXPECT_EQ(reader.feed(text, consumed), HttpReader::State::Malformed) << text;
    }
}

TEST(HttpReader, BoundsTheHead)
{
    HttpReader reader(HttpReader::Kind::Requests, 100, {[](HttpHead &) {}, [](std::string_view) {}});
    size_t consumed = 0;
    EXPECT_EQ(reader.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'a'), consumed), HttpReader::State::HeadTooLarge);
}

// Small fields take more memory than bytes.
TEST(HttpReader, BoundsTheNumberOfFields)
{
    const auto feed = [](int fields) {
        HttpReader reader(HttpReader::Kind::Responses, 65536, {[](HttpHead &) {}, [](std::string_view) {}});
        std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
        for (int i = 0; i < fields; ++i) {
            head += "a:\r\n";
        }
        size_t consumed = 0;
        return reader.feed(head + "\r\n", consumed);
    };
    EXPECT_EQ(feed(1000), HttpReader::State::Complete);
    EXPECT_EQ(feed(2000), HttpReader::State::HeadTooLarge);
}

/** A server that says what a test wants, byte for byte, and a client. */
class HttpUpstreamTest : public testing::Test
{
protected:
    /** @param answers what to say to each request on a connection. @param closesAfter whether to close after the last.
     */
    void serve(const std::vector<std::string> &answers, bool closesAfter)
    {
        m_listener = std::make_unique<TcpListener>(m_loop, m_endpoint, [this, answers, closesAfter](int descriptor) {
            auto index = std::make_shared<size_t>(0);
            const size_t connection = m_sockets.size();
            StreamSocket::Handlers handlers;
            handlers.onData = [this, answers, closesAfter, index, connection](std::string_view data) {
                m_received.append(data);
                if (*index < answers.size()) {
                    m_sockets[connection]->write(answers[(*index)++]);
                }
                if (*index == answers.size() && closesAfter) {
                    m_sockets[connection]->finishAfterWrite();
                }
            };
            handlers.onEnd = [](SocketEnd) {};
            m_sockets.push_back(std::make_unique<StreamSocket>(m_loop, descriptor, std::move(handlers)));
        });
    }
    /** Sends a request and waits for its end. */
    UpstreamEnd request(const std::string &id, bool isRepeatable = false)
    {
        UpstreamRequest request;
        request.endpoint = m_endpoint;
        request.peer = "p";
        request.method = "GET";
        request.target = "/" + id;
        request.headers = {{"Request-Id", id}};
        request.echoHeader = "Request-Id";
        request.echoValue = id;
        request.timeout = Millis(5000);
        request.isRepeatable = isRepeatable;
        std::optional<UpstreamEnd> end;
        m_body.clear();
        m_status = 0;
        m_upstream.send(std::move(request),
                        {[this](HttpHead &head) {
                             m_status = head.status;
                         },
                         [this](std::string_view data) {
                             m_body.append(data);
                         },
                         [&](UpstreamEnd how) {
                             end = how;
                             m_loop.stop();
                         }});
        while (!end) {
            lws_service(m_loop.context(), 0);
        }
        return *end;
    }

    Loop m_loop;
    BootClock m_clock;
    Endpoint m_endpoint {"127.0.0.1", testPort(71)};
    HttpUpstream m_upstream {m_loop, m_clock};
    std::vector<std::unique_ptr<StreamSocket>> m_sockets;
    std::unique_ptr<TcpListener> m_listener;
    std::string m_received;
    std::string m_body;
    int m_status = 0;
};

TEST_F(HttpUpstreamTest, AnAnswerOfAnotherRequestIsDropped)
{
    serve({"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold"
           "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 3\r\n\r\none"},
          false);
    EXPECT_EQ(request("one"), UpstreamEnd::Complete);
    EXPECT_EQ(m_body, "one");
}

TEST_F(HttpUpstreamTest, BytesAfterAnAnswerReachNoOtherRequest)
{
    serve({"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: "
           "4\r\n\r\nmore",
           "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\ntwo"},
          false);
    EXPECT_EQ(request("one"), UpstreamEnd::Complete);
    EXPECT_EQ(m_body, "one");
    request("two");
    EXPECT_EQ(m_sockets.size(), 2U) << "the connection with extra bytes isn't used again";
}

TEST_F(HttpUpstreamTest, KeptConnectionsAreUsedAgain)
{
    serve({"HTTP/1.1 200 OK\r\nRequest-Id: one\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\none",
           "HTTP/1.1 200 OK\r\nRequest-Id: two\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\ntwo"},
          false);
    EXPECT_EQ(request("one"), UpstreamEnd::Complete);
    EXPECT_EQ(request("two"), UpstreamEnd::Complete);
    EXPECT_EQ(m_body, "two");
    EXPECT_EQ(m_sockets.size(), 1U);
}

TEST_F(HttpUpstreamTest, AnAnswerWithoutLengthEndsWithItsConnection)
{
    serve({"HTTP/1.1 200 OK\r\n\r\nwhole"}, true);
    EXPECT_EQ(request("one"), UpstreamEnd::Complete);
    EXPECT_EQ(m_body, "whole");
}

TEST_F(HttpUpstreamTest, ATruncatedAnswerIsBroken)
{
    serve({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"}, true);
    EXPECT_EQ(request("one"), UpstreamEnd::Broken);
}

TEST_F(HttpUpstreamTest, WhatIsNoAnswerIsMalformed)
{
    serve({"it lives\r\n\r\n"}, false);
    EXPECT_EQ(request("one"), UpstreamEnd::Malformed);
}

TEST_F(HttpUpstreamTest, ARefusedConnectionSentNothing)
{
    EXPECT_EQ(request("one"), UpstreamEnd::NotSent);
}

TEST_F(HttpUpstreamTest, ALostAnswerIsNotTakenForUnsent)
{
    serve({""}, true);
    EXPECT_EQ(request("one"), UpstreamEnd::Broken);
}

/** The ingress with a client that writes bytes. */
class HttpIngressTest : public testing::Test
{
protected:
    HttpIngressTest()
    {
        StreamSocket::Handlers handlers;
        handlers.onData = [this](std::string_view data) {
            m_answer.append(data);
        };
        handlers.onEnd = [this](SocketEnd) {
            m_isEnded = true;
        };
        m_client = std::make_unique<StreamSocket>(m_loop, m_endpoint, std::move(handlers));
    }
    void runUntil(const std::function<bool()> &isDone)
    {
        while (!isDone()) {
            lws_service(m_loop.context(), 0);
        }
    }

    Loop m_loop;
    BootClock m_clock;
    Endpoint m_endpoint {"127.0.0.1", testPort(72)};
    std::vector<std::pair<uint64_t, IngressRequest>> m_requests;
    std::vector<uint64_t> m_gone;
    HttpIngress m_ingress {m_loop,
                           m_clock,
                           m_endpoint,
                           {[this](uint64_t exchange, IngressRequest &request) {
                                m_requests.emplace_back(exchange, std::move(request));
                            },
                            [this](uint64_t exchange) {
                                m_gone.push_back(exchange);
                            }}};
    std::unique_ptr<StreamSocket> m_client;
    std::string m_answer;
    bool m_isEnded = false;
};

TEST_F(HttpIngressTest, TakesBodiesInChunksAndAnswersInChunks)
{
    m_client->write(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    runUntil([&] {
        return !m_requests.empty();
    });
    EXPECT_EQ(m_requests[0].second.body, "abcde");
    HttpHead head;
    head.status = 200;
    m_ingress.startAnswer(m_requests[0].first, head);
    m_ingress.write(m_requests[0].first, "event");
    runUntil([&] {
        return m_answer.find("5\r\nevent\r\n") != std::string::npos;
    });
    EXPECT_EQ(m_answer.find("0\r\n\r\n"), std::string::npos) << "events go out before the answer's end";
    m_ingress.finish(m_requests[0].first);
    runUntil([&] {
        return m_answer.find("0\r\n\r\n") != std::string::npos;
    });
}

TEST_F(HttpIngressTest, AnAbortedAnswerHasNoEnd)
{
    m_client->write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] {
        return !m_requests.empty();
    });
    HttpHead head;
    head.status = 200;
    m_ingress.startAnswer(m_requests[0].first, head);
    m_ingress.write(m_requests[0].first, "event");
    m_ingress.abort(m_requests[0].first);
    runUntil([&] {
        return m_isEnded;
    });
    EXPECT_EQ(m_answer.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(m_gone.empty()) << "whoever aborts knows";
}

TEST_F(HttpIngressTest, TellsThatACallerLeft)
{
    m_client->write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] {
        return !m_requests.empty();
    });
    m_client.reset();
    runUntil([&] {
        return !m_gone.empty();
    });
    EXPECT_EQ(m_gone[0], m_requests[0].first);
}

TEST_F(HttpIngressTest, RefusesWhatIsTooLargeOrMalformed)
{
    m_ingress.setLimits({1000, 10, Millis(3000), Millis(15000)});
    m_client->write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    runUntil([&] {
        return m_isEnded;
    });
    EXPECT_EQ(m_answer.rfind("HTTP/1.1 413", 0), 0U);
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpIngressTest, AClosingServerSaysSo)
{
    m_ingress.beginClosing();
    m_client->write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] {
        return !m_requests.empty();
    });
    m_ingress.respond(m_requests[0].first, 200, {}, "last");
    runUntil([&] {
        return m_isEnded;
    });
    EXPECT_NE(m_answer.find("Connection: close"), std::string::npos);
    EXPECT_NE(m_answer.find("last"), std::string::npos);
}

}

}
