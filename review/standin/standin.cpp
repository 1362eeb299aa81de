#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using Json = nlohmann::json;

namespace
{

constexpr size_t readPiece = 65536;
constexpr size_t listPage = 500;
constexpr size_t adapterSlots = 13;
constexpr int backlog = 1024;
constexpr int64_t longTimeoutMs = 60000;
constexpr rlim_t hostDescriptors = 4100; // max_fds of the sites

const TimePoint programStart = std::chrono::steady_clock::now();

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        std::exit(couldNotRun);
    }
    const int port = portOf(descriptor);
    close(descriptor);
    return port;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    size_t start = target.find('?');
    while (start != std::string::npos) {
        const size_t end = target.find('&', start + 1);
        const std::string part = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        start = end;
    }
    return {};
}

std::string reason(int status)
{
    return status < 300 ? "OK" : "Other";
}

std::string jsonResponse(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason(status)
        + "\r\nContent-Type: application/json\r\nKeep-Alive: timeout=30\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - programStart)
        .count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &path) : m_file(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << nowMs() << " " << text << std::endl;
}

std::string Message::header(const std::string &name) const
{
    const auto entry = headers.find(name);
    return entry == headers.end() ? std::string() : entry->second;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const size_t first = start.find(' ');
    return first == std::string::npos ? std::string() : start.substr(first + 1, start.rfind(' ') - first - 1);
}

int Message::status() const
{
    const size_t first = start.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start.c_str() + first);
}

Connection::Connection(int descriptor) : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::unique_ptr<Connection> Connection::open(int port, int64_t timeoutMs)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    const sockaddr_in address = loopback(port);
    int error = connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        pollfd entry {descriptor, POLLOUT, 0};
        socklen_t length = sizeof(error);
        if (poll(&entry, 1, static_cast<int>(timeoutMs)) == 1) {
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        }
    }
    if (error != 0) {
        close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(descriptor);
}

Connection::~Connection()
{
    close(m_descriptor);
}

void Connection::shutdownBoth()
{
    const linger reset {1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(m_descriptor, SHUT_RDWR);
}

bool Connection::write(const std::string &data)
{
    size_t written = 0;
    while (written < data.size()) {
        const ssize_t count = send(m_descriptor, data.data() + written, data.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill(int64_t deadline)
{
    pollfd entry {m_descriptor, POLLIN, 0};
    const int64_t left = deadline - nowMs();
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    char buffer[readPiece];
    const ssize_t count = recv(m_descriptor, buffer, sizeof(buffer), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(buffer, static_cast<size_t>(count));
    return true;
}

std::string Connection::receive(int64_t timeoutMs)
{
    if (m_buffer.empty()) {
        fill(nowMs() + timeoutMs);
    }
    return std::exchange(m_buffer, {});
}

std::optional<Message> Connection::readHead(int64_t timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    size_t end = m_buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
        end = m_buffer.find("\r\n\r\n");
    }
    Message message;
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, message.start);
    while (std::getline(head, line)) {
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const size_t first = line.find_first_not_of(' ', colon + 1);
            const size_t last = line.find_last_not_of("\r ");
            message.headers[lower(line.substr(0, colon))]
                = first == std::string::npos ? std::string() : line.substr(first, last - first + 1);
        }
    }
    if (!message.start.empty() && message.start.back() == '\r') {
        message.start.pop_back();
    }
    return message;
}

std::optional<Message> Connection::read(int64_t timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    std::optional<Message> message = readHead(timeoutMs);
    return message && readBody(*message, deadline - nowMs()) ? message : std::nullopt;
}

bool Connection::readBody(Message &message, int64_t timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    if (message.header("transfer-encoding") != "chunked") {
        const auto length = static_cast<size_t>(std::atoll(message.header("content-length").c_str()));
        while (m_buffer.size() < length) {
            if (!fill(deadline)) {
                return false;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }
    while (true) {
        size_t end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
            end = m_buffer.find("\r\n");
        }
        const size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < end + 2 + size + 2) {
            if (!fill(deadline)) {
                return false;
            }
        }
        message.body += m_buffer.substr(end + 2, size);
        m_buffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

Server::Server(Handler handler) : m_handler(std::move(handler))
{
    listen();
}

Server::~Server()
{
    end();
    m_acceptor.join();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void Server::listen()
{
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(m_port);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(m_descriptor, backlog) != 0) {
        std::exit(couldNotRun);
    }
    m_port = portOf(m_descriptor);
    m_acceptor = std::thread([this, listener = m_descriptor] {
        accept(listener);
    });
}

void Server::resetAll()
{
    shutdown(m_descriptor, SHUT_RDWR);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const int descriptor : m_open) {
        const linger reset {1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(descriptor, SHUT_RDWR);
    }
}

void Server::end()
{
    if (!m_isEnded.exchange(true)) {
        resetAll();
    }
}

void Server::cut()
{
    m_isCut = true;
    resetAll();
}

void Server::restore()
{
    m_acceptor.join();
    m_isCut = false;
    listen();
}

void Server::accept(int listener)
{
    while (!m_isEnded && !m_isCut) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isEnded || m_isCut) {
            close(descriptor);
            break;
        }
        m_open.insert(descriptor);
        m_threads.emplace_back([this, descriptor] {
            serve(descriptor);
        });
    }
    close(listener);
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    while (!m_isEnded) {
        const std::optional<Message> request = connection.read(longTimeoutMs);
        if (!request || !m_handler(connection, *request)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_open.erase(descriptor);
}

Store::Store()
    : m_server(std::make_unique<Server>([this](Connection &connection, const Message &request) {
        return handle(connection, request);
    }))
{
}

std::string Store::text(const std::string &name, const Object &object)
{
    return R"({"meta":{"name":)" + Json(name).dump() + R"(,"revision":)" + std::to_string(object.revision)
        + R"(,"created":)" + std::to_string(object.created) + R"(,"finalizers":[],"deleting":false},"spec":)"
        + object.spec + R"(,"status":null})";
}

void Store::store(const std::string &kind, const std::string &name, const std::string &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision > 0 && object.spec == spec) {
        return;
    }
    ++m_revision;
    object.created = object.created == 0 ? m_revision : object.created;
    object.spec = spec;
    object.revision = m_revision;
    m_events[kind].push_back({name, object, false});
    m_changed.notify_all();
}

bool Store::erase(const std::string &kind, const std::string &name)
{
    const auto entry = m_objects[kind].find(name);
    if (entry == m_objects[kind].end()) {
        return false;
    }
    Object object = entry->second;
    object.revision = ++m_revision;
    m_objects[kind].erase(entry);
    m_events[kind].push_back({name, object, true});
    m_changed.notify_all();
    return true;
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    store(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    erase(kind, name);
}

std::string Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string items;
    size_t count = 0;
    bool hasMore = false;
    for (const auto &[name, object] : m_objects[kind]) {
        if (name <= after) {
            continue;
        }
        if (count == listPage) {
            hasMore = true;
            break;
        }
        items += (count++ == 0 ? "" : ",") + text(name, object);
    }
    return R"({"items":[)" + items + R"(],"has_more":)" + (hasMore ? "true" : "false") + R"(,"as_of":)"
        + std::to_string(m_revision) + "}";
}

std::string Store::watch(const std::string &kind, int64_t since, int64_t waitMs)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const auto hasNews = [&] {
        const std::vector<Event> &events = m_events[kind];
        return !events.empty() && events.back().object.revision > since;
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasNews);
    std::string items;
    for (const Event &event : m_events[kind]) {
        if (event.object.revision > since) {
            items += (items.empty() ? "" : ",") + std::string(R"({"deleted":)") + (event.isDeleted ? "true" : "false")
                + R"(,"object":)" + text(event.name, event.object) + "}";
        }
    }
    return R"({"events":[)" + items + R"(],"as_of":)" + std::to_string(m_revision) + "}";
}

std::pair<int, std::string> Store::change(const Message &request, const std::string &kind, std::string name,
                                          int64_t revision)
{
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
    const Json meta = body.value("meta", Json::object());
    const bool isCreation = request.method() == "POST";
    name = isCreation ? meta.value("name", name) : name;
    revision = std::max(revision, meta.value("revision", int64_t(0)));
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto known = m_objects[kind].find(name);
    const bool exists = known != m_objects[kind].end();
    if (!exists && !isCreation) {
        return {404, "{}"};
    }
    if (exists && (isCreation || (revision > 0 && revision != known->second.revision))) {
        return {409, text(name, known->second)};
    }
    if (request.method() == "DELETE") {
        erase(kind, name);
        return {200, "{}"};
    }
    store(kind, name, body.value("spec", Json()).dump());
    return {isCreation ? 201 : 200, text(name, m_objects[kind][name])};
}

bool Store::handle(Connection &connection, const Message &request)
{
    const std::string prefix = "/-/objects/";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
        return connection.write(jsonResponse(404, "{}"));
    }
    const std::string rest = path.substr(prefix.size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method() != "GET") {
        const auto [status, body] = change(request, kind, name, std::atoll(queryValue(target, "revision").c_str()));
        return connection.write(jsonResponse(status, body));
    }
    const std::string since = queryValue(target, "watch");
    if (since.empty()) {
        return connection.write(jsonResponse(200, list(kind, queryValue(target, "after"))));
    }
    const int64_t waitMs = std::atoll(queryValue(target, "wait_ms").c_str());
    return connection.write(jsonResponse(200, watch(kind, std::atoll(since.c_str()), waitMs)));
}

Replica::Replica(Store &store, Record &record, std::string id, std::string service, std::string zone, bool isEngine,
                 Work work)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_isEngine(isEngine)
    , m_work(std::move(work))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_server(std::make_unique<Server>([this](Connection &connection, const Message &request) {
        return handle(connection, request);
    }))
{
    publish("ready");
}

std::string Replica::holdings() const
{
    Json adapters = Json::array();
    for (const std::string &adapter : m_adapters) {
        adapters.push_back(adapter + "@1");
    }
    return Json {{{"name", "base"}, {"version", 1}, {"adapters", adapters}}}.dump();
}

void Replica::publish(const std::string &state)
{
    Json entry {{"service", m_service},
                {"address", "127.0.0.1:" + std::to_string(port())},
                {"zone", m_zone},
                {"version", "v1"},
                {"slots", m_isEngine ? 24 : 6},
                {"state", state},
                {"cold_left_ms", 0},
                {"seqno", m_orders},
                {"born", m_born}};
    if (m_isEngine) {
        entry["phase"] = "both";
        entry["models"] = Json::parse(holdings());
    }
    m_store.put("servers", m_id, entry.dump());
}

void Replica::setAdapters(std::set<std::string> adapters)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_adapters = std::move(adapters);
    publish("ready");
}

void Replica::loadLate(const std::string &adapter, int64_t precondition)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isValid = m_orders == precondition && m_adapters.count(adapter) == 0 && m_adapters.size() < adapterSlots;
    m_record.line("replica " + m_id + (isValid ? " carries out late: load " : " doesn't carry out late: load ")
                  + adapter);
    if (isValid) {
        ++m_orders;
        m_adapters.insert(adapter);
        publish("ready");
    }
}

int64_t Replica::orderCount()
{
    return m_orders; // for hooks, which run under the lock
}

bool Replica::respond(Connection &connection, const Message &request, int status, const std::string &body,
                      const std::string &headers)
{
    return connection.write("HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\nRequest-Id: "
                            + request.header("request-id") + "\r\nResponse-Signature: s1\r\nKeep-Alive: timeout=5\r\n"
                            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Replica::onOrder(Connection &connection, const Message &request)
{
    const Json order = Json::parse(request.body);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_record.line("replica " + m_id + " order " + order.dump());
    const std::string adapter = order.value("adapter", std::string());
    const bool isLoad = order.value("opcode", std::string()) == "load";
    if (m_orderHook) {
        if (const std::optional<bool> isKept = m_orderHook(*this, adapter, isLoad)) {
            return *isKept;
        }
    }
    if (order.contains("precondition") && order["precondition"].get<int64_t>() != m_orders) {
        return connection.write(jsonResponse(409, "{}"));
    }
    const bool holdsAlready = adapter.empty() || (m_adapters.count(adapter) > 0) == isLoad;
    if (!holdsAlready) {
        ++m_orders;
        if (isLoad) {
            m_isOverfull = m_isOverfull || m_adapters.size() >= adapterSlots;
            if (m_isOverfull) {
                m_record.line("replica " + m_id + " holds " + std::to_string(m_adapters.size())
                              + " adapters and is ordered to load " + adapter + ": it crashes");
                m_server->end();
                return false;
            }
            m_adapters.insert(adapter);
        } else {
            m_adapters.erase(adapter);
        }
        publish("ready");
    }
    return connection.write(jsonResponse(holdsAlready || !isLoad ? 200 : 202, "{}"));
}

bool Replica::handle(Connection &connection, const Message &request)
{
    const std::string wanted = request.header("target-instance");
    if (!wanted.empty() && wanted != m_id) {
        return connection.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id
                                + "\r\nNot-Executed: 1\r\nRequest-Id: " + request.header("request-id")
                                + "\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.target() == "/-/order") {
        return onOrder(connection, request);
    }
    if (request.target() == "/-/report") {
        std::string report;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            report = R"({"phase":"both","models":)" + holdings() + R"(,"busy":false,"seqno":)"
                + std::to_string(m_orders) + R"(,"queued":0,"running":0,"kv_used":0,"kv_total":210412,"handles":0,)"
                + R"("born":)" + std::to_string(m_born) + "}";
        }
        return connection.write(jsonResponse(200, report));
    }
    m_record.line("replica " + m_id + " runs " + request.header("request-id") + " " + request.target());
    return m_work(*this, connection, request);
}

Host::Host(std::string folder, std::string name, std::string zone, int storePort, Record &record)
    : m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_record(record)
    , m_settingsPath(m_folder + "/" + m_name + ".yaml")
    , m_callerPort(freePort())
    , m_readyPort(freePort())
{
    const auto address = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    // deploy/entry.yaml.template with the figures of the sites.
    std::ofstream settings(m_settingsPath);
    settings << "host: \"" << m_name << "\"\n"
             << "domain: \"" << m_zone << "\"\n"
             << "peer-address: " << address(freePort()) << "metrics-address: " << address(freePort())
             << "caller-address: " << address(m_callerPort) << "readiness-address: " << address(m_readyPort)
             << "directory-address: " << address(freePort()) << "capacity: 0.25\n"
             << "store-address: " << address(storePort) << "cluster-secret: \"vanillaspar-entry-hosts\"\n"
             << "revoke-limit-ms: 5000\norder-lease-ms: 3000\nversion-limit-ms: 5000\nshutdown-grace-s: 8\n"
             << "retry-ratio: 0.2\nretry-allowance: 52\nretry-window-s: 10\nlog-format: json\n";
}

Host::~Host()
{
    kill();
}

void Host::start()
{
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the stand-ins, whatever ends them
        const rlimit limit {hostDescriptors, hostDescriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/vanillaspar-entry", "target/vanillaspar-entry", "--settings", m_settingsPath.c_str(), nullptr);
        _exit(127);
    }
    m_record.line("host " + m_name + " started, pid " + std::to_string(m_pid));
}

void Host::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Host::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

std::optional<int> Host::exited()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        return status;
    }
    return std::nullopt;
}

int64_t Host::memoryMb() const
{
    if (m_pid <= 0) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    int64_t total = 0;
    int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

bool Host::isReady() const
{
    const std::unique_ptr<Connection> connection = Connection::open(m_readyPort, 500);
    if (!connection || !connection->write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
        return false;
    }
    const std::optional<Message> answer = connection->read(1000);
    return answer && answer->status() == 200;
}

Answer call(Connection &connection, const std::string &method, const std::string &path, const std::string &id,
            int64_t deadlineMs, const std::string &headers, const std::string &body)
{
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: care.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-1\r\n" + headers;
    if (method != "GET") {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!connection.write(request + "\r\n" + body)) {
        return {};
    }
    const std::optional<Message> answer = connection.read(deadlineMs);
    if (!answer) {
        return {};
    }
    return {answer->status(), !answer->header("response-signature").empty(), answer->body};
}

void BookingClients::start(const Host &host, int count)
{
    for (int i = 0; i < count; ++i) {
        m_threads.emplace_back([this, &host] {
            run(host);
        });
    }
}

void BookingClients::run(const Host &host)
{
    std::unique_ptr<Connection> connection;
    bool isKept = false;
    while (!m_isStopped) {
        if (!connection) {
            isKept = false;
            connection = Connection::open(host.port(), 1000);
        }
        if (!connection) {
            sleepMs(50);
            continue;
        }
        const std::string id = newId();
        m_record.line("client sends booking " + id + " to " + host.name());
        const Answer answer = call(*connection, "POST", "/book/van", id, 1500, {}, "{}");
        m_record.line("booking " + id + " answered " + std::to_string(answer.status));
        if (answer.status == 0) {
            connection.reset();
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (isKept) {
                m_unanswered[host.name()].push_back(id);
            }
        } else {
            isKept = true;
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_answered;
        }
        sleepMs(5);
    }
}

void BookingClients::stop()
{
    m_isStopped = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

bool BookingClients::book(Connection &connection, const Message &request)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_run.insert(request.header("request-id"));
    }
    sleepMs(15);
    return Replica::respond(connection, request, 200, "booked");
}

int BookingClients::mostLost()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    int most = 0;
    for (const auto &[host, ids] : m_unanswered) {
        most = std::max(most, static_cast<int>(std::count_if(ids.begin(), ids.end(), [this](const std::string &id) {
                            return m_run.count(id) > 0;
                        })));
    }
    return most;
}

std::string BookingClients::summary()
{
    const int most = mostLost();
    const std::lock_guard<std::mutex> lock(m_mutex);
    return "bookings answered: " + std::to_string(m_answered)
        + "; on a kept connection, run and never answered, most of one host: " + std::to_string(most);
}

std::string configuration()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, const char *service, int attempts) {
        const bool isStream = std::string(kind) == "streaming";
        return Json {{"name", name},
                     {"host", "care.example"},
                     {"path_prefix", prefix},
                     {"kind", kind},
                     {"timeout_ms", isStream ? 10000 : 800},
                     {"slo_ms", isStream ? 1000 : 100},
                     {"priority", 0},
                     {"service", service},
                     {"max_attempts", attempts},
                     {"public", false},
                     {"sticky", isStream},
                     {"resumable", isStream && attempts > 1},
                     {"gap_target_ms", 600}};
    };
    const Json engine {
        {"slots", 24},
        {"kv_capacity", 210412},
        {"models",
         {{{"name", "base"}, {"weights_mb", 65100.0}, {"load_s", 1.9}, {"adapters", 3000}, {"adapter_mb", 12.0}}}},
        {"weights_mb", 66600.0},
        {"adapter_slots", 13},
        {"loads_per_s", 6.8}};
    return Json {
        {"version", 1},
        {"routes",
         {route("care", "/care/", "streaming", "scribe", 2), route("note", "/note/", "streaming", "scribe", 1),
          route("book", "/book/", "non_idempotent", "desk", 1), route("look", "/look/", "idempotent", "desk", 2)}},
        {"services",
         {{{"name", "scribe"}, {"health_path", "/health"}, {"max_conns", 200}, {"engine", engine}},
          {{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 96}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants",
         {{{"name", "team-1"},
           {"api_keys", {"key-1"}},
           {"unit", "tokens"},
           {"plain_tokens", 200},
           {"rate_per_s", 0},
           {"burst", 0}}}}}
        .dump();
}

std::string temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        std::exit(couldNotRun);
    }
    return name;
}

bool waitReady(const std::vector<std::unique_ptr<Host>> &hosts, int64_t timeoutMs)
{
    const int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        if (std::all_of(hosts.begin(), hosts.end(), [](const auto &host) {
                return host->isReady();
            })) {
            return true;
        }
        sleepMs(100);
    }
    return false;
}

std::string newId()
{
    static std::atomic<uint64_t> next {1};
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}
