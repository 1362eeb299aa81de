#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review
{

using TimePoint = std::chrono::steady_clock::time_point;

/** @return milliseconds since the program started. */
int64_t nowMs();
void sleepMs(int64_t ms);

/** The file record.txt of a case; each line starts with the time in milliseconds. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/** An HTTP message whose header names are in lower case. */
struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/** A blocking TCP connection. */
class Connection
{
public:
    explicit Connection(int descriptor);
    /** Connects to a port of 127.0.0.1. */
    static std::unique_ptr<Connection> open(int port, int64_t timeoutMs);
    ~Connection();

    /** Reads one message. @return nothing if the connection ends before it is whole. */
    std::optional<Message> read(int64_t timeoutMs);
    /** Reads the head of a message only. */
    std::optional<Message> readHead(int64_t timeoutMs);
    /** Reads the body that belongs to a head. @return whether it is whole. */
    bool readBody(Message &message, int64_t timeoutMs);
    /** @return received bytes, empty at the end of the connection or after the time. */
    std::string receive(int64_t timeoutMs);
    bool write(const std::string &data);
    /** Resets the connection, so that the peer doesn't take it for a regular end. */
    void shutdownBoth();
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    bool fill(int64_t deadline);

    int m_descriptor;
    std::string m_buffer;
};

/** Listens on a free port of 127.0.0.1, with a thread for each connection. */
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>; ///< Returns whether to keep the connection.

    explicit Server(Handler handler);
    ~Server();
    int port() const
    {
        return m_port;
    }
    /** Stops listening and resets all connections, as the end of a process does. */
    void end();
    /** Refuses and resets all connections, as a cut link does, until restore() is called. */
    void cut();
    void restore();

private:
    void listen();
    void accept(int listener);
    void serve(int descriptor);
    void resetAll();

    Handler m_handler;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_isEnded {false};
    std::atomic<bool> m_isCut {false};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_acceptor;
    std::list<std::thread> m_threads;
};

/** The platform's metadata store. */
class Store
{
public:
    Store();
    int port() const
    {
        return m_server->port();
    }
    /** Writes an object as the operator or a replica does. @param spec JSON text, stored as it is. */
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    void end()
    {
        m_server->end();
    }

private:
    struct Object
    {
        std::string spec;
        int64_t revision = 0;
        int64_t created = 0;
    };
    struct Event
    {
        std::string name;
        Object object;
        bool isDeleted = false;
    };
    using Objects = std::map<std::string, Object>;

    bool handle(Connection &connection, const Message &request);
    std::string list(const std::string &kind, const std::string &after);
    std::string watch(const std::string &kind, int64_t since, int64_t waitMs);
    std::pair<int, std::string> change(const Message &request, const std::string &kind, std::string name,
                                       int64_t revision);
    void store(const std::string &kind, const std::string &name, const std::string &spec);
    bool erase(const std::string &kind, const std::string &name);
    static std::string text(const std::string &name, const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    int64_t m_revision = 1;
    std::map<std::string, Objects> m_objects;
    std::map<std::string, std::vector<Event>> m_events;
    std::unique_ptr<Server> m_server;
};

/** A replica of an engine service or of a plain service. */
class Replica
{
public:
    /** Answers a request that has begun to run. @return whether to keep the connection. */
    using Work = std::function<bool(Replica &, Connection &, const Message &)>;
    /** Carries out an order in another way. @return whether to keep the connection; nothing for the usual way. */
    using OrderHook = std::function<std::optional<bool>(Replica &, const std::string &adapter, bool isLoad)>;

    Replica(Store &store, Record &record, std::string id, std::string service, std::string zone, bool isEngine,
            Work work);
    /** Writes the entry in the store. */
    void publish(const std::string &state);
    void setOrderHook(OrderHook hook)
    {
        m_orderHook = std::move(hook);
    }
    void setAdapters(std::set<std::string> adapters);
    /** Loads an adapter if the count of orders is still @p precondition, as a late order does. */
    void loadLate(const std::string &adapter, int64_t precondition);
    int64_t orderCount();
    /** @return whether a load was ordered for which there was no place. */
    bool isOverfull() const
    {
        return m_isOverfull;
    }
    Server &server()
    {
        return *m_server;
    }
    const std::string &id() const
    {
        return m_id;
    }
    int port() const
    {
        return m_server->port();
    }
    void end()
    {
        m_server->end();
    }
    /** Writes a whole response with the headers that a replica sets. */
    static bool respond(Connection &connection, const Message &request, int status, const std::string &body,
                        const std::string &headers = {});

private:
    bool handle(Connection &connection, const Message &request);
    bool onOrder(Connection &connection, const Message &request);
    std::string holdings() const;

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    bool m_isEngine;
    Work m_work;
    std::mutex m_mutex;
    int64_t m_orders = 0;
    int64_t m_born;
    std::set<std::string> m_adapters {"a1", "a2"};
    OrderHook m_orderHook;
    std::atomic<bool> m_isOverfull {false};
    std::unique_ptr<Server> m_server;
};

/** A process of vanillaspar-entry with its settings in a temporary folder. */
class Host
{
public:
    Host(std::string folder, std::string name, std::string zone, int storePort, Record &record);
    ~Host();
    void start();
    /** Sends a signal to the process. */
    void signal(int number) const;
    /** Ends the process with SIGKILL and collects it. */
    void kill();
    /** @return the wait status if the process has ended by itself. */
    std::optional<int> exited();
    /** @return resident memory in MB; 0 if there is no process. */
    int64_t memoryMb() const;
    bool isReady() const;
    int port() const
    {
        return m_callerPort;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    Record &m_record;
    std::string m_settingsPath;
    int m_callerPort;
    int m_readyPort;
    pid_t m_pid = -1;
};

/** What a client has seen of one request. */
struct Answer
{
    int status = 0; ///< 0 if the connection ended without a complete answer.
    bool isSigned = false;
    std::string body;
};

/** Sends one request of a client. @return its answer. */
Answer call(Connection &connection, const std::string &method, const std::string &path, const std::string &id,
            int64_t deadlineMs, const std::string &headers = {}, const std::string &body = {});

/** Clients that book one thing after another at a host, each on a connection that it keeps. */
class BookingClients
{
public:
    explicit BookingClients(Record &record) : m_record(record)
    {
    }
    /** Starts @p count clients of a host. */
    void start(const Host &host, int count);
    /** Stops all clients and waits for them. */
    void stop();
    /** Work of a replica that carries out bookings. */
    bool book(Connection &connection, const Message &request);
    /** @return the most bookings of one host that came on a kept connection, ran and were never answered. */
    int mostLost();
    std::string summary();

private:
    void run(const Host &host);

    Record &m_record;
    std::atomic<bool> m_isStopped {false};
    std::mutex m_mutex;
    std::set<std::string> m_run;
    std::map<std::string, std::vector<std::string>> m_unanswered; ///< Ids by host.
    int m_answered = 0;
    std::vector<std::thread> m_threads;
};

/** @return a configuration with the routes /care/ (resumable streams), /note/ (other streams), /book/ and /look/. */
std::string configuration();
std::string temporaryFolder();
/** Waits until all hosts are ready. @return whether they are within @p timeoutMs. */
bool waitReady(const std::vector<std::unique_ptr<Host>> &hosts, int64_t timeoutMs);
std::string newId();
bool isTroubled();

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

}
