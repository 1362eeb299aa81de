#include "platform/storeclient.h"

#include "core/error.h"
#include "core/random.h"
#include "net/bootclock.h"
#include "net/httpupstream.h"
#include "net/loop.h"
#include "platform/recorddecoder.h"
#include "serving/membership/recordmirror.h"
#include "tests/fakes/scriptedreplica.h"
#include "tests/fakes/servingfakes.h"
#include "tests/fakes/testport.h"

#include <gtest/gtest.h>
#include <set>

namespace vanillaspar::platform
{

namespace
{

/** What another writer leaves in place of an entry's content. */
struct OddEntry
{
    const char *name;
    std::string content;
};

std::string repeat(const std::string &text, size_t times)
{
    std::string repeated;
    for (size_t i = 0; i < times; ++i) {
        repeated += text;
    }
    return repeated;
}

std::string entry(const std::string &address, const std::string &slots)
{
    return R"({"service":"desk","address":")" + address + R"(","zone":"a","state":"ready","slots":)" + slots
        + R"(,"born":1})";
}

/** A mirror of the replicas' entries whose store has one odd entry among sound ones. */
class OddEntryTest : public testing::TestWithParam<OddEntry>
{
protected:
    OddEntryTest()
    {
        m_mirror.tick();
    }
    static std::string item(const std::string &name, int revision, const std::string &spec)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + R"(},"spec":)" + spec
            + "}";
    }
    /** Runs until a replica is known, or for some seconds. @return whether it is known. */
    bool isReadUntil(const std::string &name)
    {
        constexpr Millis limit(4000);
        const Millis end = m_clock.now() + limit;
        while (m_usable.count(name) == 0 && m_clock.now() < end) {
            lws_service(m_loop.context(), 0);
            m_mirror.tick();
        }
        return m_usable.count(name) > 0;
    }

    const Endpoint m_endpoint {"127.0.0.1", testPort(90)};
    Loop m_loop;
    BootClock m_clock;
    Random m_random {1};
    serving::FakeLog m_log;
    HttpUpstream m_upstream {m_loop, m_clock};
    StoreClient m_client {m_upstream, m_endpoint};
    PlatformRecordDecoder m_decoder;
    std::set<std::string> m_usable;
    ScriptedReplica m_store {m_loop, m_endpoint, [](ScriptedReplica &store, const ScriptedReplica::Received &request) {
                                 const std::string sound = entry("10.0.0.1:80", "4");
                                 const bool isList = request.head.target.find("watch=") == std::string::npos;
                                 const std::string odd = item("odd", 3, GetParam().content);
                                 const std::string body = isList ? R"({"as_of":5,"items":[)" + item("a", 2, sound) + ","
                                         + odd + "," + item("z", 4, sound) + R"(,{"meta":7},{}]})"
                                                                 : R"({"as_of":9,"events":[{"object":)" + odd
                                         + R"(},{"object":)" + item("later", 8, sound) + "}]}";
                                 store.respond(request.connection, 200, "", body);
                             }};
    serving::RecordMirror m_mirror {m_client,
                                    serving::Collection::Backends,
                                    {Millis(100), Millis(10)},
                                    m_clock,
                                    m_random,
                                    m_log,
                                    [this](const std::vector<serving::StoredRecord> &records) {
                                        for (const serving::StoredRecord &record : records) {
                                            try {
                                                m_usable.insert(m_decoder.backend(record).id.text());
                                            } catch (const Error &) {
                                                m_usable.erase(record.name);
                                            }
                                        }
                                    }};
};

TEST_P(OddEntryTest, DoesNotHideTheOtherReplicasOrStopTheWatch)
{
    EXPECT_TRUE(isReadUntil("z"));
    EXPECT_TRUE(isReadUntil("later"));
    EXPECT_EQ(m_usable, (std::set<std::string> {"a", "z", "later"}));
    EXPECT_EQ(m_log.count(EventCode::PlatformUnreachable), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Contents, OddEntryTest,
    testing::Values(OddEntry {"DeepArrays", repeat("[", 200000) + repeat("]", 200000)},
                    OddEntry {"DeepObjects", repeat(R"({"a":)", 100000) + "1" + repeat("}", 100000)},
                    OddEntry {"DeepField",
                              R"({"service":"desk","models":)" + repeat("[", 200000) + repeat("]", 200000) + "}"},
                    OddEntry {"NumberBeyondDouble", entry("10.0.0.2:80", "1e999")},
                    OddEntry {"ManyDigits", entry("10.0.0.2:80", repeat("9", 5000))},
                    OddEntry {"NumberBeyondInteger", entry("10.0.0.2:80", "99999999999999999999")},
                    OddEntry {"NegativeSlots", entry("10.0.0.2:80", "-4")},
                    OddEntry {"PortOutOfRange", entry("10.0.0.2:99999", "4")},
                    OddEntry {"NoPort", entry("10.0.0.2", "4")},
                    OddEntry {"BytesThatAreNoText", entry("\xff\xc3", "4")}, OddEntry {"Null", "null"},
                    OddEntry {"Text", R"("odd")"}),
    [](const testing::TestParamInfo<OddEntry> &info) {
        return info.param.name;
    });

}

}
