// Many clients come at once to the one host that is left, each on a connection of its own, and keep it for later use.

#include "standin.h"

#include <csignal>
#include <sys/resource.h>

namespace
{

using namespace review;

constexpr rlim_t ownDescriptors = 9000; // for the clients and the stand-ins of one run
constexpr int requests = 3800; // each on its own connection; max_fds leaves 3,900 for sockets
constexpr int64_t requestsPerS = 450; // of the 345 of the site, with a burst of 1.7 times
constexpr int64_t idleMs = 12000; // four fifths of idle_timeout_ms
constexpr int allowedLost = 3; // of the requests that a host passed on from kept connections
constexpr int bookingClients = 24;
constexpr int64_t dayMs = 12000;
constexpr int clientThreads = 8;
constexpr size_t keptConnections = 12; // of each thread, without the disruption

struct Kept
{
    std::unique_ptr<Connection> connection;
    int64_t usedAt = 0;
};

std::atomic<int> failed {0};
std::atomic<int> opened {0};
std::atomic<bool> isOver {false};

void closeIdle(std::vector<Kept> &kept)
{
    size_t oldest = 0;
    while (oldest < kept.size() && nowMs() - kept[oldest].usedAt > idleMs) {
        ++oldest;
    }
    kept.erase(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(oldest));
}

/** Sends its share of the requests at a steady rate. */
void client(const Host &host, Record &record)
{
    std::vector<Kept> kept;
    const int64_t start = nowMs();
    for (int i = 0; i < requests / clientThreads && !isOver; ++i) {
        sleepMs(std::max<int64_t>(start + i * 1000 * clientThreads / requestsPerS - nowMs(), 0));
        closeIdle(kept);
        Kept next;
        if (!isTroubled() && kept.size() >= keptConnections) {
            next = std::move(kept.front());
            kept.erase(kept.begin());
        } else {
            next.connection = Connection::open(host.port(), 1000);
            ++opened;
        }
        const std::string id = newId();
        const Answer answer = next.connection ? call(*next.connection, "GET", "/look/stock", id, 1500) : Answer();
        record.line("request " + id + " answered " + std::to_string(answer.status));
        failed += answer.status == 200 ? 0 : 1;
        next.usedAt = nowMs();
        if (answer.status != 0) {
            kept.push_back(std::move(next));
        }
    }
}

int run(const std::string &recordPath)
{
    Record record(recordPath);
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 20000);
    if (limit.rlim_cur < ownDescriptors || setrlimit(RLIMIT_NOFILE, &limit) != 0) {
        record.line("too few descriptors for the clients");
        return couldNotRun;
    }
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", configuration());
    const auto look = [](Connection &connection, const Message &request) {
        sleepMs(2);
        return Replica::respond(connection, request, 200, "stock");
    };
    BookingClients bookings(record);
    const auto work = [&](Replica &, Connection &connection, const Message &request) {
        return request.method() == "GET" ? look(connection, request) : bookings.book(connection, request);
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *id : {"i-desk-1", "i-desk-2", "i-desk-3"}) {
        replicas.push_back(std::make_unique<Replica>(store, record, id, "desk", "zone-a", false, work));
    }
    std::vector<std::unique_ptr<Host>> hosts;
    hosts.push_back(std::make_unique<Host>(folder, "front-a-1", "zone-a", store.port(), record));
    Host &host = *hosts.front();
    host.start();
    if (!waitReady(hosts, 10000)) {
        return couldNotRun;
    }
    const int64_t start = nowMs();
    bookings.start(host, bookingClients);
    std::vector<std::thread> clients;
    for (int i = 0; i < clientThreads; ++i) {
        clients.emplace_back([&] {
            client(host, record);
        });
    }
    std::optional<int> status;
    while (!status && nowMs() - start < dayMs) {
        sleepMs(10);
        status = host.exited();
    }
    record.line("connections opened: " + std::to_string(opened) + " in " + std::to_string(nowMs() - start) + " ms");
    if (status) {
        record.line("the host ended by itself, wait status " + std::to_string(*status));
    }
    isOver = true;
    bookings.stop();
    for (std::thread &each : clients) {
        each.join();
    }
    host.kill();
    store.end();
    for (const auto &replica : replicas) {
        replica->end();
    }
    record.line("lookups without success: " + std::to_string(failed) + "; " + bookings.summary());
    const bool isBroken = bookings.mostLost() > allowedLost;
    record.line(isBroken ? "BROKEN: the host closed kept connections without an answer" : "HELD");
    return isBroken ? broken : held;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : review::couldNotRun;
}
