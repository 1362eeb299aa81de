// Load tool and demo caller: sends real requests, checks every answer against what the stand-ins must have produced.

#include "config/yamldocument.h"
#include "core/error.h"
#include "core/random.h"
#include "main/commandline.h"
#include "main/configclient.h"
#include "net/httpclient.h"
#include "net/loop.h"
#include "tests/loadtool/sampledocument.h"
#include "tests/standins/enginemodel.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;

std::string expectedText(const std::string &adapter, const std::string &prompt, int64_t maxTokens)
{
    const AdapterRef ref(adapter);
    std::string text;
    for (uint64_t i = 0; i < EngineModel::pieceCount(ref, prompt, Tokens(maxTokens)); ++i) {
        text += EngineModel::pieceText(ref, prompt, i);
    }
    return text;
}

/** @return the text of a streamed answer; empty if its end marker is missing. */
std::string streamedText(const std::string &body)
{
    std::string text;
    size_t start = 0;
    while (start < body.size()) {
        const size_t end = body.find('\n', start);
        const std::string line = body.substr(start, end - start);
        start = end == std::string::npos ? body.size() : end + 1;
        if (line == "data: [DONE]") {
            return text;
        }
        if (line.compare(0, 6, "data: ") == 0) {
            const Json json = Json::parse(line.substr(6), nullptr, false);
            if (json.contains("choices")) {
                text += json["choices"][0].value("text", "");
            }
        }
    }
    return {};
}

std::string codeOf(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("code", "") : std::string();
}

/** @return the time in milliseconds after which a refusal lets its caller return. */
int64_t retryAfterOf(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("retry_after_ms", int64_t {0}) : 0;
}

HttpCall completion(const std::string &host, const std::string &secret, const std::string &model,
                    const std::string &prompt, int64_t maxTokens, bool isStream)
{
    const Json body {{"model", model}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", isStream}};
    return {"POST", host, "/v1/completions", body.dump(), secret.empty() ? std::string() : "Bearer " + secret, {}};
}

std::vector<std::string> askAddresses(const std::string &host, const std::string &model)
{
    const HttpResult result = callOnce({"GET", host, "/v1/address?model=" + model, {}, {}, {}});
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() ? json.value("hosts", std::vector<std::string>()) : std::vector<std::string>();
}

/** The demo: one request of each kind, each checked. */
class Demo
{
public:
    Demo(std::vector<std::string> hosts, std::vector<std::string> services)
        : m_hosts(std::move(hosts)), m_services(std::move(services))
    {
    }

    int run()
    {
        std::cout << std::left << std::setw(58) << "request" << std::setw(34) << "answer"
                  << "right\n";
        checkAnswers();
        checkRefusals();
        checkBookings();
        std::cout << (m_wrong == 0 ? "every answer was right\n" : std::to_string(m_wrong) + " answers were wrong\n");
        return m_wrong == 0 ? 0 : 1;
    }

private:
    void report(const std::string &what, const std::string &answer, bool isRight)
    {
        std::cout << std::setw(58) << what << std::setw(34) << answer << (isRight ? "yes" : "NO") << "\n";
        m_wrong += isRight ? 0 : 1;
    }

    const std::string &host(size_t index) const
    {
        return m_hosts[index % m_hosts.size()];
    }

    void checkAnswers()
    {
        const std::string adapter = sampleAdapter(0);
        const std::vector<std::string> addresses = askAddresses(host(0), adapter);
        report("address for " + adapter, std::to_string(addresses.size()) + " hosts",
               addresses.size() == m_hosts.size());
        const std::string best = addresses.empty() ? host(0) : addresses.front();
        const HttpResult whole = callOnce(completion(best, sampleSecret(0), adapter, "recast a tenor bell", 64, false));
        const Json json = Json::parse(whole.body, nullptr, false);
        const bool isRight = whole.status == statusOk
            && json["choices"][0].value("text", "") == expectedText(adapter, "recast a tenor bell", 64);
        report("completion on " + adapter, std::to_string(whole.status), isRight);
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            const std::string prompt = "casting record " + std::to_string(i);
            const HttpResult stream = callOnce(completion(host(i), sampleSecret(0), adapter, prompt, 64, true));
            report("streamed completion through host " + std::to_string(i), std::to_string(stream.status),
                   streamedText(stream.body) == expectedText(adapter, prompt, 64));
        }
        const HttpResult route = callOnce(completion(host(1), sampleSecret(0), "enquiry", "fittings", 16, true));
        report("streamed completion by the route enquiry", std::to_string(route.status),
               streamedText(route.body) == expectedText(adapter, "fittings", 16));
        const HttpResult open = callOnce(completion(host(2), "", "public", "opening hours", 16, true));
        report("open route without a key", std::to_string(open.status),
               streamedText(open.body) == expectedText(sampleAdapter(1), "opening hours", 16));
    }

    void checkRefusal(const std::string &what, const HttpCall &call, const std::string &code)
    {
        const HttpResult result = callOnce(call);
        const bool isRight = codeOf(result) == code && result.body.find("\"not_run\"") != std::string::npos;
        report(what, std::to_string(result.status) + " " + codeOf(result), isRight);
    }

    void checkRefusals()
    {
        checkRefusal("no key", completion(host(0), "", sampleAdapter(0), "x", 8, false), "unauthenticated");
        checkRefusal("wrong key", completion(host(1), "nonsense", sampleAdapter(0), "x", 8, false), "unauthenticated");
        checkRefusal("another team's adapter", completion(host(2), sampleSecret(1), sampleAdapter(0), "x", 8, false),
                     "unknown_model");
        checkRefusal("unknown version", completion(host(3), sampleSecret(0), "adapter-0@9", "x", 8, false),
                     "unknown_model");
        checkRefusal("route of another team", completion(host(4), sampleSecret(1), "enquiry", "x", 8, false),
                     "forbidden");
        checkRefusal("bad JSON", {"POST", host(5), "/v1/completions", "{\"model\": \xff", "Bearer x", {}},
                     "bad_request");
        checkRefusal("unknown field",
                     {"POST", host(5), "/v1/completions", R"({"model":"a@1","prompt":"x","colour":1})", "Bearer x", {}},
                     "bad_request");
    }

    HttpCall booking(size_t hostIndex, const std::string &body, const std::string &key) const
    {
        return {"POST", host(hostIndex), "/v1/services/booking", body, "Bearer " + sampleSecret(0), key};
    }

    void checkBookings()
    {
        const std::string body = R"({"furnace":3,"day":"2026-12-11"})";
        const std::string key = "demo-" + std::to_string(std::time(nullptr));
        const HttpResult first = callOnce(booking(0, body, key));
        report("booking with an idempotency key", std::to_string(first.status), first.status == statusOk);
        const HttpResult again = repeatBooking(booking(3, body, key));
        report("the same booking again, at another host", std::to_string(again.status),
               again.status == statusOk && again.body == first.body);
        checkRefusal("the same key with another booking", booking(4, R"({"furnace":4})", key), "idempotency_mismatch");
        const int runs = runsOf("/booking " + body);
        report("runs of the booking at the services", std::to_string(runs), runs == 1);
        const HttpResult stock = callOnce(
            {"POST", host(1), "/v1/services/stock", R"({"item":"clapper"})", "Bearer " + sampleSecret(2), {}});
        report("idempotent stock look-up", std::to_string(stock.status), stock.status == statusOk);
    }

    /** Sends a booking again for as long as the outcome of its first attempt is being recorded. */
    static HttpResult repeatBooking(const HttpCall &call)
    {
        constexpr int maxTries = 20;
        HttpResult result = callOnce(call);
        for (int tries = 1; tries < maxTries && codeOf(result) == "in_progress"; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(retryAfterOf(result)));
            result = callOnce(call);
        }
        return result;
    }

    /** @return how often the plain services ran the call. */
    int runsOf(const std::string &call) const
    {
        int runs = 0;
        for (const std::string &service : m_services) {
            const HttpResult result = callOnce({"GET", service, "/admin/runs", {}, {}, {}});
            const Json json = Json::parse(result.body, nullptr, false);
            runs += json.is_object() ? json.value(call, 0) : 0;
        }
        return runs;
    }

    std::vector<std::string> m_hosts;
    std::vector<std::string> m_services;
    int m_wrong = 0;
};

/** Sends many requests side by side and reports what came back. */
class LoadRun
{
public:
    LoadRun(std::vector<std::string> hosts, size_t total, size_t parallel, double skew, bool isDirect)
        : m_hosts(std::move(hosts))
        , m_total(total)
        , m_parallel(parallel)
        , m_isDirect(isDirect)
        , m_client(m_loop)
        , m_random(7)
    {
        double sum = 0;
        for (int i = 0; i < m_shape.adapters; ++i) {
            sum += 1.0 / std::pow(i + 1, skew);
            m_cumulative.push_back(sum);
        }
    }

    int run()
    {
        const Millis start = m_loop.now();
        for (size_t i = 0; i < std::min(m_parallel, m_total); ++i) {
            sendNext();
        }
        m_loop.run();
        const double seconds = static_cast<double>((m_loop.now() - start).value) / 1000.0;
        std::sort(m_firstPiece.begin(), m_firstPiece.end());
        const Json report {{"requests", m_done},
                           {"complete", m_complete},
                           {"refused", m_refused},
                           {"broken", m_broken},
                           {"wrong", m_wrong},
                           {"seconds", seconds},
                           {"per_second", static_cast<double>(m_done) / seconds},
                           {"first_p50_ms", percentile(0.5)},
                           {"first_p99_ms", percentile(0.99)},
                           {"refusals", m_codes}};
        std::cout << report.dump() << "\n";
        return m_wrong == 0 ? 0 : 1;
    }

private:
    int64_t percentile(double part) const
    {
        return m_firstPiece.empty()
            ? 0
            : m_firstPiece[static_cast<size_t>(part * static_cast<double>(m_firstPiece.size() - 1))];
    }

    int pickAdapter()
    {
        const double point = m_random.unit() * m_cumulative.back();
        return static_cast<int>(std::lower_bound(m_cumulative.begin(), m_cumulative.end(), point)
                                - m_cumulative.begin());
    }

    void sendNext()
    {
        const int index = pickAdapter();
        const std::string adapter = sampleAdapter(index);
        const std::string prompt = "request " + std::to_string(m_sent++);
        const std::string &host = m_hosts[m_random.below(m_hosts.size())];
        const auto sentAt = m_loop.now();
        const auto firstAt = std::make_shared<Millis>(-1);
        const auto body = std::make_shared<std::string>();
        HttpCall call = completion(host, sampleSecret(teamOfAdapter(m_shape, index)), adapter, prompt, 32, true);
        if (m_isDirect) {
            call.path = "/v1/generate";
            call.body = Json {{"adapter", adapter}, {"prompt", prompt}, {"max_tokens", 32}}.dump();
        }
        m_client.call(
            call,
            [this, adapter, prompt, sentAt, firstAt, body](const HttpResult &result) {
                judge(result, *body, adapter, prompt);
                if (firstAt->value >= 0) {
                    m_firstPiece.push_back((*firstAt - sentAt).value);
                }
                if (++m_done == m_total) {
                    m_loop.stop();
                } else if (m_sent < m_total) {
                    sendNext();
                }
            },
            [this, firstAt, body](int, const std::string &data) {
                if (firstAt->value < 0) {
                    *firstAt = m_loop.now();
                }
                *body += data;
            });
    }

    void judge(const HttpResult &result, const std::string &body, const std::string &adapter, const std::string &prompt)
    {
        if (result.status == statusOk) {
            const std::string text = streamedText(body);
            if (m_isDirect || text == expectedText(adapter, prompt, 32)) {
                ++m_complete;
            } else if (body.find("event: error") != std::string::npos) {
                ++m_refused;
                ++m_codes["in_stream"];
            } else {
                ++m_wrong;
            }
        } else if (result.kind == HttpResult::Kind::Complete) {
            const Json json = Json::parse(body, nullptr, false);
            ++m_refused;
            ++m_codes[json.is_object() && json.contains("error") ? json["error"].value("code", "")
                                                                 : std::to_string(result.status)];
        } else {
            ++m_broken;
        }
    }

    std::vector<std::string> m_hosts;
    size_t m_total;
    size_t m_parallel;
    bool m_isDirect;
    DeploymentShape m_shape;
    Loop m_loop;
    HttpClient m_client;
    Random m_random;
    std::vector<double> m_cumulative;
    std::vector<int64_t> m_firstPiece;
    std::map<std::string, int> m_codes;
    size_t m_sent = 0;
    size_t m_done = 0;
    size_t m_complete = 0;
    size_t m_refused = 0;
    size_t m_broken = 0;
    size_t m_wrong = 0;
};

std::vector<std::string> split(const std::string &list)
{
    std::vector<std::string> parts;
    size_t start = 0;
    while (start <= list.size()) {
        const size_t end = std::min(list.find(',', start), list.size());
        parts.push_back(list.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

int run(int argc, const char **argv)
{
    std::string hosts;
    std::string services;
    std::string requests = "1000";
    std::string parallel = "32";
    std::string skew = "0.9";
    std::string basePort = "9100";
    std::string shapeName = "klangnett";
    bool isDirect = false;
    CommandLine line("sample | demo | load");
    line.addValue("hosts", hosts, "caller addresses of entry hosts, with commas");
    line.addValue("services", services, "addresses of the plain services, with commas");
    line.addValue("requests", requests, "number of requests");
    line.addValue("parallel", parallel, "requests at once");
    line.addValue("skew", skew, "exponent of the Zipf popularity");
    line.addValue("engine-port", basePort, "port of the first engine in the sample document");
    line.addValue("shape", shapeName, "klangnett or curtain");
    line.addFlag("direct", isDirect, "call an engine itself, for comparison");
    line.parse(argc, argv);
    const std::string command = line.arguments().empty() ? std::string() : line.arguments().front();
    if (command == "sample") {
        DeploymentShape shape = shapeName == "curtain" ? DeploymentShape::curtainFirm() : DeploymentShape::klangnett();
        shape.enginePort = std::stoi(basePort);
        shape.servicePort = shape.enginePort + 200;
        std::cout << writeYamlDocument(sampleDocument(shape));
        return 0;
    }
    if (command == "demo") {
        return Demo(split(hosts), split(services)).run();
    }
    if (command == "load") {
        return LoadRun(split(hosts), std::stoul(requests), std::stoul(parallel), std::stod(skew), isDirect).run();
    }
    throw DocumentError("no such command; --help lists them");
}

}

}

int main(int argc, char **argv)
{
    try {
        return vanillaspar::run(argc, const_cast<const char **>(argv));
    } catch (const std::exception &error) {
        std::cerr << "vanillaspar-load: " << error.what() << "\n";
        return 2;
    }
}
