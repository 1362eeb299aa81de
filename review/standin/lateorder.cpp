// A replica leaves two orders unanswered and carries them out late; the link to it is cut for a moment.

#include "standin.h"

namespace
{

using namespace review;

constexpr int64_t lateMs = 2000; // orders are carried out 2 to 12 s late
constexpr int64_t cutMs = 1200;
constexpr int64_t afterLateMs = 400;
constexpr int eventCount = 20;
constexpr int64_t eventGapMs = 150;
constexpr const char *firstLate = "a50";
constexpr const char *secondLate = "a60";

std::atomic<bool> isOver {false};
std::atomic<bool> isFirstSeen {false};
std::atomic<bool> isSecondSeen {false};
std::atomic<int> cutStreams {0};

std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

bool answer(Connection &connection, const Message &request)
{
    if (!connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                          + "\r\nResponse-Signature: s1\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int i = 1; i <= eventCount; ++i) {
        sleepMs(eventGapMs);
        if (!connection.write(chunk("id: " + std::to_string(i) + "\ndata: tokens\n\n"))) {
            return false;
        }
    }
    return connection.write("0\r\n\r\n");
}

int sendStream(const Host &host, Record &record, const std::string &adapter, int64_t deadlineMs)
{
    const std::string id = newId();
    const std::unique_ptr<Connection> connection = Connection::open(host.port(), 1000);
    record.line("client sends stream " + id + " for " + adapter);
    const Answer got = connection
        ? call(*connection, "POST", "/note/short", id, deadlineMs,
               "Model: base/" + adapter + "\r\nToken-Count: 400,40\r\nPrefix-Hash: 5c1e07a2:150," + id + ":250\r\n",
               "hi")
        : Answer();
    record.line("stream " + id + " for " + adapter + " answered " + std::to_string(got.status));
    return got.status;
}

int run(const std::string &recordPath)
{
    Record record(recordPath);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", configuration());
    const auto work = [](Replica &, Connection &connection, const Message &request) {
        return answer(connection, request);
    };
    Replica replica(store, record, "i-scribe-1", "scribe", "zone-a", true, work);
    std::set<std::string> adapters;
    for (int i = 1; i <= 12; ++i) {
        adapters.insert("a" + std::to_string(i)); // one of 13 places is free
    }
    replica.setAdapters(adapters);
    std::vector<std::thread> helpers;
    replica.setOrderHook([&](Replica &own, const std::string &adapter, bool isLoad) -> std::optional<bool> {
        const bool isFirst = isTroubled() && isLoad && adapter == firstLate && !isFirstSeen.exchange(true);
        const bool isSecond = isTroubled() && isLoad && adapter == secondLate && !isSecondSeen.exchange(true);
        if (!isFirst && !isSecond) {
            return std::nullopt;
        }
        record.line("disruption: the order to load " + adapter + " isn't answered and carried out late");
        helpers.emplace_back([&own, &record, adapter, count = own.orderCount(), isFirst] {
            if (isFirst) {
                record.line("disruption: the link to the replica is cut for " + std::to_string(cutMs) + " ms");
                own.server().cut();
                sleepMs(cutMs);
                own.server().restore();
            }
            sleepMs(lateMs - (isFirst ? cutMs : 0));
            own.loadLate(adapter, count);
        });
        while (!isOver) {
            sleepMs(isFirst ? 1 : 300);
            return false;
        }
        return false;
    });
    std::vector<std::unique_ptr<Host>> hosts;
    hosts.push_back(std::make_unique<Host>(folder, "front-a-1", "zone-a", store.port(), record));
    Host &host = *hosts.front();
    host.start();
    if (!waitReady(hosts, 10000)) {
        return couldNotRun;
    }
    sleepMs(5000); // the host owns the replica and knows what it holds
    std::vector<std::thread> clients;
    clients.emplace_back([&] {
        sendStream(host, record, firstLate, 350); // the client leaves early
    });
    sleepMs(lateMs + afterLateMs);
    for (int i = 1; i <= 4; ++i) {
        clients.emplace_back([&, i] {
            cutStreams += sendStream(host, record, "a" + std::to_string(i), 8000) == 200 ? 0 : 1;
        });
    }
    sleepMs(100);
    clients.emplace_back([&] {
        sendStream(host, record, secondLate, 8000);
    });
    sleepMs(6000);
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (std::thread &helper : helpers) {
        helper.join();
    }
    host.kill();
    store.end();
    replica.end();
    record.line("sound streams that were cut: " + std::to_string(cutStreams) + " of 4");
    record.line(replica.isOverfull() ? "BROKEN: a load was ordered for which there is no place" : "HELD");
    return replica.isOverfull() ? broken : held;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : review::couldNotRun;
}
