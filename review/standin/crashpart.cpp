// In quiet hours, requests with one part of a prompt crash each replica that begins to answer them.

#include "standin.h"

namespace
{

using namespace review;

constexpr int64_t contactMs = 3000; // contact_ms of the sites
constexpr int64_t restartMs = 2500;
constexpr int64_t soundGapMs = 700;
constexpr int64_t crashingGapMs = 3000;
constexpr int64_t quietMs = 10000; // before the first request with the part
constexpr int64_t dayMs = 55000;
constexpr int crashesUntilJudged = 5;
constexpr int allowedArrivals = 3;
constexpr int eventCount = 20;
constexpr int64_t eventGapMs = 150;
constexpr const char *crashingPart = "bad0bad0";

struct Slot
{
    std::string id;
    std::unique_ptr<Replica> replica;
    std::atomic<int64_t> crashedAt {-1};
};

std::mutex crashesMutex;
std::vector<int64_t> crashTimes;
std::atomic<int> lateArrivals {0};
std::atomic<int> soundSent {0};
std::atomic<int> soundServed {0};

/** @return whether the arrival is later than contact_ms after the fifth crash. */
bool isLate()
{
    const std::lock_guard<std::mutex> lock(crashesMutex);
    return crashTimes.size() >= crashesUntilJudged && nowMs() - crashTimes[crashesUntilJudged - 1] > contactMs;
}

std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

bool answer(Slot &slot, Connection &connection, const Message &request, Record &record)
{
    if (request.header("prefix-hash").find(crashingPart) != std::string::npos) {
        const bool isLateArrival = isLate();
        lateArrivals += isLateArrival ? 1 : 0;
        record.line("request " + request.header("request-id") + " with the part reaches " + slot.id
                    + (isLateArrival ? ", too late" : "") + "; the replica crashes");
        slot.replica->end();
        slot.crashedAt = nowMs();
        const std::lock_guard<std::mutex> lock(crashesMutex);
        crashTimes.push_back(nowMs());
        return false;
    }
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

void sendStream(const Host &host, Record &record, bool isCrashing)
{
    const std::string id = newId();
    const std::string parts
        = std::string("5c1e07a2:150,") + (isCrashing ? crashingPart : "91bd3f06") + ":100," + id + ":150";
    const std::unique_ptr<Connection> connection = Connection::open(host.port(), 1000);
    record.line("client sends " + std::string(isCrashing ? "a request with the part " : "a sound request ") + id
                + " to " + host.name());
    const Answer got = connection
        ? call(*connection, "POST", "/note/short", id, 5000,
               "Model: base/a1\r\nToken-Count: 400,40\r\nPrefix-Hash: " + parts + "\r\n", "hi")
        : Answer();
    record.line("request " + id + " answered " + std::to_string(got.status));
    if (!isCrashing) {
        ++soundSent;
        soundServed += got.status == 200 ? 1 : 0;
    }
}

void startAgain(std::vector<std::unique_ptr<Slot>> &slots, Store &store, Record &record)
{
    for (const std::unique_ptr<Slot> &slot : slots) {
        if (slot->crashedAt >= 0 && nowMs() - slot->crashedAt > restartMs) {
            slot->crashedAt = -1;
            slot->replica.reset();
            Slot &own = *slot;
            const auto work = [&own, &record](Replica &, Connection &connection, const Message &request) {
                return answer(own, connection, request, record);
            };
            slot->replica = std::make_unique<Replica>(store, record, slot->id, "scribe", "zone-a", true, work);
            record.line("replica " + slot->id + " is back");
        }
    }
}

int run(const std::string &recordPath)
{
    Record record(recordPath);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", configuration());
    std::vector<std::unique_ptr<Slot>> slots;
    for (const char *id : {"i-scribe-1", "i-scribe-2", "i-scribe-3", "i-scribe-4"}) {
        slots.push_back(std::make_unique<Slot>());
        slots.back()->id = id;
        slots.back()->crashedAt = -1;
        Slot &own = *slots.back();
        const auto work = [&own, &record](Replica &, Connection &connection, const Message &request) {
            return answer(own, connection, request, record);
        };
        own.replica = std::make_unique<Replica>(store, record, id, "scribe", "zone-a", true, work);
    }
    std::vector<std::unique_ptr<Host>> hosts;
    hosts.push_back(std::make_unique<Host>(folder, "front-a-1", "zone-a", store.port(), record));
    hosts.push_back(std::make_unique<Host>(folder, "front-a-2", "zone-a", store.port(), record));
    for (const auto &host : hosts) {
        host->start();
    }
    if (!waitReady(hosts, 10000)) {
        return couldNotRun;
    }
    const int64_t start = nowMs();
    int64_t nextSound = 0;
    int64_t nextCrashing = quietMs;
    size_t turn = 0;
    std::vector<std::thread> clients;
    while (nowMs() - start < dayMs) {
        const int64_t elapsed = nowMs() - start;
        startAgain(slots, store, record);
        if (elapsed >= nextSound) {
            nextSound += soundGapMs;
            const Host &host = *hosts[turn++ % hosts.size()];
            clients.emplace_back([&host, &record] {
                sendStream(host, record, false);
            });
        }
        if (isTroubled() && elapsed >= nextCrashing) {
            const Host &host = *hosts[static_cast<size_t>(nextCrashing / crashingGapMs) % hosts.size()];
            nextCrashing += crashingGapMs;
            clients.emplace_back([&host, &record] {
                sendStream(host, record, true);
            });
        }
        sleepMs(10);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    for (const auto &host : hosts) {
        host->kill();
    }
    store.end();
    for (const auto &slot : slots) {
        slot->replica->end();
    }
    record.line("crashes of replicas: " + std::to_string(crashTimes.size()) + ", arrivals of the part later than "
                + "contact_ms after the fifth: " + std::to_string(lateArrivals)
                + "; sound requests served: " + std::to_string(soundServed) + " of " + std::to_string(soundSent));
    const bool isBroken = lateArrivals > allowedArrivals;
    record.line(isBroken ? "BROKEN: more than three arrivals" : "HELD");
    return isBroken ? broken : held;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : review::couldNotRun;
}
