// Another writer leaves an entry among those of the replicas whose text can't be read. Then a replica leaves as
// planned.

#include "standin.h"

#include <csignal>

namespace
{

using namespace review;

constexpr int64_t drainMs = 2000; // drain_ms of the sites
constexpr int64_t lingerMs = 650; // the replica serves a little longer than that
constexpr int64_t bookingGapMs = 2500;
constexpr int64_t workMs = 300;
constexpr int64_t restartWaitMs = 12000;

std::atomic<bool> isLeaving {false};
std::atomic<int64_t> leavingSince {0};
std::atomic<int> lateArrivals {0};

bool answerBooking(Replica &replica, Connection &connection, const Message &request, Record &record)
{
    const bool isLeavingReplica = isLeaving && replica.id() == "i-desk-1";
    const int64_t age = nowMs() - leavingSince;
    if (isLeavingReplica && age > drainMs) {
        ++lateArrivals;
        record.line("booking " + request.header("request-id") + " reaches i-desk-1 " + std::to_string(age)
                    + " ms after the store accepted that it is draining");
    }
    sleepMs(workMs);
    return Replica::respond(connection, request, 200, "booked", isLeavingReplica ? "Server-Leaving: 1\r\n" : "");
}

/** Books once at each host. @return the bookings without a successful answer. */
int bookAtEachHost(const std::vector<std::unique_ptr<Host>> &hosts, Record &record)
{
    std::vector<std::thread> clients;
    std::atomic<int> failed {0};
    for (const auto &host : hosts) {
        clients.emplace_back([&] {
            const std::string id = newId();
            record.line("client sends booking " + id + " to " + host->name());
            const std::unique_ptr<Connection> connection = Connection::open(host->port(), 1000);
            const Answer answer = connection ? call(*connection, "POST", "/book/van", id, 1500, {}, "{}") : Answer();
            record.line("booking " + id + " answered " + std::to_string(answer.status) + " " + answer.body);
            failed += answer.status == 200 ? 0 : 1;
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return failed;
}

/** Books until the next round is due. */
int bookFor(const std::vector<std::unique_ptr<Host>> &hosts, Record &record, int rounds)
{
    int failed = 0;
    for (int round = 0; round < rounds; ++round) {
        const int64_t next = nowMs() + bookingGapMs;
        failed += bookAtEachHost(hosts, record);
        sleepMs(next - nowMs());
    }
    return failed;
}

int run(const std::string &recordPath)
{
    Record record(recordPath);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", configuration());
    const auto book = [&record](Replica &replica, Connection &connection, const Message &request) {
        return answerBooking(replica, connection, request, record);
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *id : {"i-desk-1", "i-desk-2", "i-desk-3"}) {
        replicas.push_back(std::make_unique<Replica>(store, record, id, "desk", "zone-a", false, book));
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
    int failed = bookFor(hosts, record, 2);
    if (isTroubled()) {
        store.put("servers", "i-other-9",
                  R"({"service":"\ud800","address":"127.0.0.1:9","zone":"zone-a","slots":6,"state":"ready"})");
        record.line("disruption: another writer's entry i-other-9 stands in the store");
    }
    failed += bookFor(hosts, record, 2);
    failed += bookAtEachHost(hosts, record);
    replicas.front()->publish("draining");
    leavingSince = nowMs();
    isLeaving = true;
    record.line("the store accepted that i-desk-1 is draining");
    std::thread departure([&] {
        sleepMs(drainMs + lingerMs);
        record.line("i-desk-1 exits");
        replicas.front()->end();
        store.remove("servers", "i-desk-1");
    });
    sleepMs(bookingGapMs);
    failed += bookFor(hosts, record, 2);
    departure.join();
    // Not judged: whether a host that is killed and started again takes requests while the entry stands.
    const int64_t restartedAt = nowMs();
    hosts.front()->kill();
    hosts.front()->start();
    const bool isBack = waitReady(hosts, restartWaitMs);
    record.line(isBack ? "front-a-1 is ready " + std::to_string(nowMs() - restartedAt) + " ms after its restart"
                       : "front-a-1 isn't ready " + std::to_string(restartWaitMs) + " ms after its restart");
    for (const auto &host : hosts) {
        host->kill();
    }
    store.end();
    for (const auto &replica : replicas) {
        replica->end();
    }
    record.line("late arrivals: " + std::to_string(lateArrivals) + ", bookings that failed: " + std::to_string(failed));
    record.line(lateArrivals > 0 ? "BROKEN: requests reach a replica later than drain_ms" : "HELD");
    return lateArrivals > 0 ? broken : held;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : review::couldNotRun;
}
