// A replica begins answers to resumable streams as usual and then sends bytes without end instead of events.

#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace
{

using namespace review;

constexpr int64_t memoryLimitMb = 260; // memory_mb of the sites
constexpr size_t pieceBytes = 65536;
constexpr int64_t linkBytesPerMs = 100000; // 800 of the 1,000 Mbit/s of a machine's link
constexpr int64_t dayMs = 14000;
constexpr int64_t troubleAtMs = 3000;
constexpr int64_t troubleForMs = 5000;
constexpr int allowedLost = 3; // of the requests that a host passed on from kept connections
constexpr int bookingClients = 12; // at each host
constexpr int streamClients = 6;
constexpr int eventCount = 10;
constexpr int64_t eventGapMs = 40;
constexpr int64_t clientGapMs = 4800; // eight times gap_target_ms: a client abandons a stream after this pause

std::atomic<bool> isTroubleOn {false};
std::atomic<bool> isWritingWithoutEnd {false}; // one answer at a time
std::atomic<bool> isOver {false};
std::atomic<int64_t> endlessBytes {0};
std::atomic<int64_t> endlessSince {0};

std::string chunk(const std::string &data)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

std::string streamHead(const Message &request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
        + "\r\nResponse-Signature: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/** Writes at the rate of the link until the peer closes the connection. */
bool writeWithoutEnd(Connection &connection)
{
    const std::string piece = chunk(std::string(pieceBytes, 'x'));
    while (!isOver) {
        const int64_t allowed = (nowMs() - endlessSince) * linkBytesPerMs;
        if (endlessBytes >= allowed) {
            sleepMs(1);
            continue;
        }
        endlessBytes += static_cast<int64_t>(piece.size());
        if (!connection.write(piece)) {
            return false;
        }
    }
    return false;
}

bool answerStream(Replica &replica, Connection &connection, const Message &request, Record &record)
{
    const bool isBad = isTroubleOn && replica.id() == "i-scribe-1" && !isWritingWithoutEnd.exchange(true);
    if (!connection.write(streamHead(request))) {
        return false;
    }
    for (int i = 1; i <= eventCount; ++i) {
        sleepMs(eventGapMs);
        if (isBad && i == 3) {
            record.line("replica " + replica.id() + " sends bytes without end to " + request.header("request-id"));
            endlessBytes = 0;
            endlessSince = nowMs();
            writeWithoutEnd(connection);
            isWritingWithoutEnd = false;
            return false;
        }
        if (!connection.write(chunk("id: " + std::to_string(i) + "\ndata: tokens\n\n"))) {
            return false;
        }
    }
    return connection.write("0\r\n\r\n");
}

/** Sends streams one after another. */
void streamClient(const Host &host, Record &record)
{
    while (!isOver) {
        const std::string id = newId();
        const std::unique_ptr<Connection> connection = Connection::open(host.port(), 1000);
        if (!connection) {
            sleepMs(50);
            continue;
        }
        record.line("client sends stream " + id + " to " + host.name());
        connection->write("POST /care/note HTTP/1.1\r\nHost: care.example\r\nRequest-Id: " + id
                          + "\r\nModel: base/a1\r\nToken-Count: 400,40\r\nPrefix-Hash: 5c1e07a2:150,91bd3f06:250\r\n"
                            "Deadline-Ms: 10000\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi");
        std::string received;
        bool isGap = false;
        while (!isOver && received.find("\r\n0\r\n\r\n") == std::string::npos) {
            const std::string more = connection->receive(clientGapMs);
            if (more.empty()) {
                isGap = true;
                break;
            }
            received += more;
        }
        record.line("stream " + id + (isGap ? " ended early or was abandoned" : " is whole") + ", "
                    + received.substr(0, 12));
    }
}

int run(const std::string &recordPath)
{
    Record record(recordPath);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", configuration());
    const auto stream = [&record](Replica &replica, Connection &connection, const Message &request) {
        return answerStream(replica, connection, request, record);
    };
    BookingClients bookings(record);
    const auto book = [&bookings](Replica &, Connection &connection, const Message &request) {
        return bookings.book(connection, request);
    };
    std::vector<std::unique_ptr<Replica>> replicas;
    for (const char *id : {"i-scribe-1", "i-scribe-2", "i-scribe-3"}) {
        replicas.push_back(std::make_unique<Replica>(store, record, id, "scribe", "zone-a", true, stream));
    }
    for (const char *id : {"i-desk-1", "i-desk-2"}) {
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
    std::vector<std::thread> clients;
    for (const auto &host : hosts) {
        bookings.start(*host, bookingClients);
    }
    for (int i = 0; i < streamClients; ++i) {
        clients.emplace_back([&, i] {
            streamClient(*hosts[static_cast<size_t>(i) % hosts.size()], record);
        });
    }
    const int64_t start = nowMs();
    int ends = 0;
    int64_t peakMb = 0;
    while (nowMs() - start < dayMs) {
        const int64_t elapsed = nowMs() - start;
        const bool isOn = isTroubled() && elapsed >= troubleAtMs && elapsed < troubleAtMs + troubleForMs;
        if (isOn && !isTroubleOn) {
            record.line("disruption: i-scribe-1 may send bytes without end");
        }
        isTroubleOn = isOn;
        for (const auto &host : hosts) {
            const int64_t memory = host->memoryMb();
            peakMb = std::max(peakMb, memory);
            const std::optional<int> status = host->exited();
            if (status || memory > memoryLimitMb) {
                ++ends;
                record.line("host " + host->name()
                            + (status ? " ended by itself" : " holds " + std::to_string(memory) + " MB and is killed"));
                host->kill();
                host->start();
            }
        }
        sleepMs(10);
    }
    isOver = true;
    bookings.stop();
    for (const auto &host : hosts) {
        host->kill();
    }
    store.end();
    for (const auto &replica : replicas) {
        replica->end();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("most memory of a host: " + std::to_string(peakMb) + " MB; ends of hosts: " + std::to_string(ends)
                + "; " + bookings.summary());
    const bool isBroken = bookings.mostLost() > allowedLost;
    record.line(isBroken ? "BROKEN: a host closed kept connections without an answer" : "HELD");
    return isBroken ? broken : held;
}

}

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : review::couldNotRun;
}
