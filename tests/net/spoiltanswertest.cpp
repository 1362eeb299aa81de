#include "net/httpreader.h"
#include "tests/fakes/strictanswer.h"

#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace vanillaspar
{

namespace
{

/** Parts of a sound answer that the tests damage. */
struct Shape
{
    const char *name;
    std::string statusLine;
    std::string fields;
    std::string body; ///< As on the wire.
};

std::ostream &operator<<(std::ostream &stream, const Shape &shape)
{
    return stream << shape.name;
}

/** What the product's reader makes of bytes. */
struct Reading
{
    bool isComplete = false;
    bool looksWhole = false; ///< Also if what was passed on has the length that its head states.
    HttpHead head;
    std::string body;
};

/** Feeds bytes in pieces of a size, and then the end of the connection. */
Reading readInPieces(std::string_view bytes, size_t piece)
{
    Reading reading;
    bool hasHead = false;
    HttpReader reader(HttpReader::Kind::Responses, 65536,
                      {[&](HttpHead &head) {
                           reading.head = head;
                           hasHead = true;
                       },
                       [&](std::string_view data) {
                           reading.body.append(data);
                       }});
    HttpReader::State state = HttpReader::State::NeedsMore;
    for (size_t at = 0; at < bytes.size() && state == HttpReader::State::NeedsMore; at += piece) {
        size_t consumed = 0;
        state = reader.feed(bytes.substr(at, piece), consumed);
    }
    reading.isComplete
        = (state == HttpReader::State::NeedsMore ? reader.finish() : state) == HttpReader::State::Complete;
    reading.looksWhole
        = reading.isComplete || (hasHead && reading.head.hasLength && reading.body.size() == reading.head.length);
    return reading;
}

std::string printable(std::string_view bytes)
{
    return testing::PrintToString(std::string(bytes));
}

/** Guards against MIXED: a spoilt answer is read as a whole one, or a sound one as spoilt. */
class SpoiltAnswerTest : public testing::TestWithParam<Shape>
{
protected:
    static std::string whole()
    {
        return GetParam().statusLine + "\r\n" + GetParam().fields + "\r\n" + GetParam().body;
    }
    /** Compares the product's reader with the strict one. @return whether both are of one mind. */
    bool isReadAsStrictly(std::string_view bytes, size_t piece)
    {
        const std::optional<StrictAnswer> strict = readStrictly(bytes);
        const Reading reading = readInPieces(bytes, piece);
        if (!strict || (strict->isAmbiguous && piece >= bytes.size())) {
            m_wronglyWhole += reading.looksWhole ? 1 : 0;
            return !reading.looksWhole;
        }
        bool isSame = reading.head.status == strict->status && reading.body == strict->body
            && reading.head.headers.size() == strict->headers.size();
        for (size_t i = 0; isSame && i < strict->headers.size(); ++i) {
            isSame = reading.head.headers[i].name == strict->headers[i].first
                && reading.head.headers[i].value == strict->headers[i].second;
        }
        return strict->isAmbiguous || (reading.isComplete && isSame);
    }
    void check(const std::string &bytes, size_t piece)
    {
        ++m_played;
        if (!isReadAsStrictly(bytes, piece) && ++m_failed <= 5) {
            ADD_FAILURE() << "in pieces of " << piece << ": " << printable(bytes);
        }
    }
    void TearDown() override
    {
        EXPECT_EQ(m_failed, 0) << "of " << m_played << ", " << m_wronglyWhole << " of them passed on as whole";
    }

    int m_played = 0;
    int m_failed = 0;
    int m_wronglyWhole = 0;
};

const std::string spoiling("\0\t\n\r 09;:,-+xAa\x7f\xc3", 17);

TEST_P(SpoiltAnswerTest, ASoundOneIsPassedOn)
{
    for (size_t piece = 1; piece <= whole().size(); ++piece) {
        check(whole(), piece);
    }
    EXPECT_FALSE(readStrictly(whole())->isAmbiguous);
}

TEST_P(SpoiltAnswerTest, IsReadAsTheStandardSaysWithAnyByteLostChangedOrAdded)
{
    for (size_t at = 0; at < whole().size(); ++at) {
        check(whole().erase(at, 1), SIZE_MAX);
        for (const char spoilt : spoiling) {
            check(whole().replace(at, 1, 1, spoilt), SIZE_MAX);
            check(whole().insert(at, 1, spoilt), SIZE_MAX);
        }
    }
}

TEST_P(SpoiltAnswerTest, IsReadAsTheStandardSaysAfterDrawnDamage)
{
    std::mt19937 random(62);
    const auto draw = [&](size_t below) {
        return random() % below;
    };
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = whole();
        for (size_t damages = 1 + draw(3); damages > 0; --damages) {
            const size_t at = draw(bytes.size());
            const char spoilt = draw(2) == 0 ? spoiling[draw(spoiling.size())] : bytes[draw(bytes.size())];
            bytes.replace(at, draw(4), std::string(draw(3), spoilt));
        }
        check(bytes, 1 + draw(bytes.size()));
    }
}

const std::string okay = "HTTP/1.1 200 OK";
const std::string events = "id: 1\r\ndata: a\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Shapes, SpoiltAnswerTest,
    testing::Values(
        Shape {"Length", okay,
               "Request-Id: r1\r\nContent-Length: 18\r\nKeep-Alive: timeout=5\r\nResponse-Signature: s.1\r\n", events},
        Shape {"LengthAlone", "HTTP/1.0 500 ", "content-length:\t18 \t\r\nX-Empty:\r\n", events},
        Shape {"EmptyBody", "HTTP/1.1 404", "Content-Length: 0\r\nResponse-Signature: s\r\n", ""},
        Shape {"Chunks", okay, "Response-Signature: s.1\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n",
               "12\r\n" + events + "\r\n3;a=b\r\nabc\r\n0\r\n\r\n"},
        Shape {"ChunksWithTrailers", okay, "TRANSFER-ENCODING:Chunked\r\n", "05 \r\nhello\r\n00\r\nX-Sum: 1\r\n\r\n"},
        Shape {"Connection", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9", "Response-Signature: s.1\r\nConnection: close\r\n",
               events},
        Shape {"NotModified", "HTTP/1.1 304 Not Modified", "Content-Length: 18\r\nResponse-Signature: s\r\n", ""},
        Shape {"NoContent", "HTTP/1.1 204 No Content", "Response-Signature: s\r\n", ""}),
    [](const testing::TestParamInfo<Shape> &info) {
        return std::string(info.param.name);
    });

}

}
