#include "net/callerapi.h"

#include "cluster/messages/fetch.h"
#include "config/activeconfig.h"
#include "core/error.h"
#include "core/hash.h"
#include "node/callerrequest.h"
#include "node/node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillaspar
{

namespace
{

using Json = nlohmann::json;

constexpr size_t maxBody = 256UL * 1024; // bytes
constexpr int64_t maxOutputTokens = 32'768;
constexpr int addressMillis = 5000; // how long a caller may keep an address
constexpr int statusOk = 200;

const char *const jsonType = "application/json";

std::string bearer(const std::string &authorization)
{
    const std::string prefix = "Bearer ";
    return authorization.compare(0, prefix.size(), prefix) == 0 ? authorization.substr(prefix.size()) : std::string();
}

std::string hashOfKey(const HttpRequest &request)
{
    if (request.authorization.empty()) {
        return {};
    }
    return sha256Hex(bearer(request.authorization));
}

/** Fields of other model services that change nothing here. */
const std::set<std::string> &ignoredFields()
{
    static const std::set<std::string> fields {
        "temperature", "top_p", "n", "user", "stop", "seed", "presence_penalty", "frequency_penalty", "stream_options"};
    return fields;
}

std::string promptOf(const Json &body, bool isChat)
{
    if (!isChat) {
        return body.at("prompt").get<std::string>();
    }
    std::string prompt;
    for (const Json &message : body.at("messages")) {
        prompt += message.at("role").get<std::string>() + ": " + message.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

CallerRequest parseCompletion(const HttpRequest &request, bool isChat, bool &isStream)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        throw DocumentError("the body is not a JSON object in UTF-8");
    }
    static const std::set<std::string> known {"model", "prompt", "messages", "max_tokens", "stream"};
    for (const auto &item : body.items()) {
        if (known.count(item.key()) == 0 && ignoredFields().count(item.key()) == 0) {
            throw DocumentError("field \"" + item.key() + "\" is not known");
        }
    }
    try {
        CallerRequest parsed;
        parsed.target = body.at("model").get<std::string>();
        parsed.payload = promptOf(body, isChat);
        parsed.maxTokens = Tokens(body.value("max_tokens", int64_t(256)));
        isStream = body.value("stream", false);
        if (parsed.maxTokens.value < 1 || parsed.maxTokens.value > maxOutputTokens) {
            throw DocumentError("field \"max_tokens\" must be in 1 to 32768");
        }
        return parsed;
    } catch (const Json::exception &error) {
        throw DocumentError(std::string("a field is missing or has the wrong type: ") + error.what());
    }
}

Json refusalToJson(const Refusal &refusal)
{
    return {{"error",
             {{"code", std::string(refusalName(refusal.code))},
              {"ran", std::string(runStateName(refusal.runState))},
              {"retry_after_ms", refusal.retryAfter.value},
              {"message", refusal.detail}}}};
}

std::string dumpSafely(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void fillCommon(const HttpRequest &request, CallerRequest &parsed)
{
    parsed.caller = request.exchange;
    parsed.keyHash = hashOfKey(request);
    parsed.idempotencyKey = request.idempotencyKey;
    parsed.timeout = Millis(std::max(0LL, std::strtoll(request.deadlineMs.c_str(), nullptr, 10)));
}

}

CallerApi::CallerApi(Loop &loop, const Endpoint &endpoint, std::string operatorHash, MetricsPage metrics)
    : m_server(loop, endpoint, maxBody,
               {[this](const HttpRequest &request) {
                    onRequest(request);
                },
                [this](uint64_t exchange) {
                    onClosed(exchange);
                }})
    , m_operatorHash(std::move(operatorHash))
    , m_metrics(std::move(metrics))
{
}

void CallerApi::setNode(Node *node)
{
    m_node = node;
}

bool CallerApi::isOperator(const HttpRequest &request) const
{
    return !m_operatorHash.empty() && sha256Hex(bearer(request.authorization)) == m_operatorHash;
}

void CallerApi::onRequest(const HttpRequest &request)
{
    static const std::string servicePrefix = "/v1/services/";
    if (request.path == "/v1/completions" && request.method == "POST") {
        onCompletion(request, false);
    } else if (request.path == "/v1/chat/completions" && request.method == "POST") {
        onCompletion(request, true);
    } else if (request.path.compare(0, servicePrefix.size(), servicePrefix) == 0 && request.method == "POST") {
        onService(request);
    } else if (request.path == "/v1/address" && request.method == "GET") {
        onAddress(request);
    } else if (request.path == "/v1/config" && request.method == "POST") {
        onConfig(request);
    } else if (request.path == "/v1/drain" && request.method == "POST") {
        onDrain(request);
    } else if (request.path == "/healthz") {
        m_server.respond(request.exchange, statusOk, "text/plain", "ok\n");
    } else if (request.path == "/readyz") {
        const bool isReady = m_node->isReady();
        m_server.respond(request.exchange, isReady ? statusOk : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        m_server.respond(request.exchange, statusOk, "text/plain; version=0.0.4", m_metrics());
    } else if (request.path == "/v1/status" && isOperator(request)) {
        m_server.respond(request.exchange, statusOk, jsonType, m_node->status());
    } else {
        m_server.respond(request.exchange, 404, jsonType,
                         R"({"error":{"code":"not_found","ran":"not_run","message":"no such page"}})");
    }
}

void CallerApi::onClosed(uint64_t exchange)
{
    if (m_exchanges.erase(exchange) > 0) {
        m_node->onCallerGone(exchange);
    }
}

void CallerApi::refuseInput(uint64_t exchange, const std::string &detail)
{
    refuse(exchange, {RefusalCode::BadRequest, RunState::NotRun, Millis(0), detail});
}

void CallerApi::onCompletion(const HttpRequest &request, bool isChat)
{
    Exchange &exchange = m_exchanges[request.exchange];
    exchange.isChat = isChat;
    try {
        CallerRequest parsed = parseCompletion(request, isChat, exchange.isStream);
        exchange.model = parsed.target;
        fillCommon(request, parsed);
        m_node->onCallerRequest(parsed);
    } catch (const DocumentError &error) {
        refuseInput(request.exchange, error.what());
    }
}

void CallerApi::onService(const HttpRequest &request)
{
    m_exchanges[request.exchange];
    if (!Json::accept(request.body)) {
        refuseInput(request.exchange, "the body is not JSON in UTF-8");
        return;
    }
    CallerRequest parsed;
    fillCommon(request, parsed);
    parsed.isService = true;
    parsed.target = request.path.substr(std::string("/v1/services/").size());
    parsed.payload = request.body;
    m_node->onCallerRequest(parsed);
}

void CallerApi::onAddress(const HttpRequest &request)
{
    const auto model = request.query.find("model");
    Json body {{"keep_ms", addressMillis},
               {"hosts", m_node->addressesFor(model == request.query.end() ? "" : model->second)}};
    m_server.respond(request.exchange, statusOk, jsonType, body.dump());
}

void CallerApi::refuseStranger(uint64_t exchange)
{
    m_server.respond(
        exchange, 403, jsonType,
        R"({"error":{"code":"forbidden","ran":"not_run","message":"an operator's credential is needed"}})");
}

void CallerApi::onConfig(const HttpRequest &request)
{
    if (!isOperator(request)) {
        refuseStranger(request.exchange);
        return;
    }
    const Json body = Json::parse(request.body, nullptr, false);
    try {
        ConfigResponse offer;
        offer.manifest = body.at("manifest").get<std::string>();
        offer.parts = body.at("parts").get<std::map<std::string, std::string>>();
        m_node->onOperatorConfig(offer);
        const Json answer {{"version", m_node->config() == nullptr ? 0 : m_node->config()->version().value}};
        m_server.respond(request.exchange, statusOk, jsonType, answer.dump());
    } catch (const Json::exception &error) {
        m_server.respond(
            request.exchange, 400, jsonType,
            dumpSafely({{"error", {{"code", "bad_request"}, {"ran", "not_run"}, {"message", error.what()}}}}));
    }
}

void CallerApi::onDrain(const HttpRequest &request)
{
    if (!isOperator(request)) {
        refuseStranger(request.exchange);
        return;
    }
    m_server.respond(request.exchange, 202, jsonType, R"({"draining":true})");
    m_node->beginDrain();
}

void CallerApi::sendPiece(uint64_t caller, const std::string &text)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    Exchange &exchange = found->second;
    if (!exchange.isStream) {
        exchange.text += text;
        return;
    }
    if (!exchange.isStarted) {
        exchange.isStarted = true;
        m_server.startStream(caller, statusOk, "text/event-stream");
    }
    const Json choice
        = exchange.isChat ? Json {{"index", 0}, {"delta", {{"content", text}}}} : Json {{"index", 0}, {"text", text}};
    m_server.write(caller,
                   "data: " + dumpSafely({{"model", exchange.model}, {"choices", Json::array({choice})}}) + "\n\n");
}

void CallerApi::finish(uint64_t caller, Tokens used)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    const Exchange exchange = std::move(found->second);
    m_exchanges.erase(found);
    if (exchange.isStream) {
        if (!exchange.isStarted) {
            m_server.startStream(caller, statusOk, "text/event-stream");
        }
        m_server.write(caller, "data: [DONE]\n\n");
        m_server.endStream(caller);
        return;
    }
    const Json content = exchange.isChat ? Json {{"index", 0},
                                                 {"finish_reason", "stop"},
                                                 {"message", {{"role", "assistant"}, {"content", exchange.text}}}}
                                         : Json {{"index", 0}, {"finish_reason", "stop"}, {"text", exchange.text}};
    const Json body {{"object", exchange.isChat ? "chat.completion" : "text_completion"},
                     {"model", exchange.model},
                     {"choices", Json::array({content})},
                     {"usage", {{"total_tokens", used.value}}}};
    m_server.respond(caller, statusOk, jsonType, dumpSafely(body));
}

void CallerApi::refuse(uint64_t caller, const Refusal &refusal)
{
    const auto found = m_exchanges.find(caller);
    if (found == m_exchanges.end()) {
        return;
    }
    const bool isStarted = found->second.isStarted;
    m_exchanges.erase(found);
    const std::string body = dumpSafely(refusalToJson(refusal));
    if (isStarted) {
        // The status is already sent, so the refusal is the stream's last event; [DONE] never follows it.
        m_server.write(caller, "event: error\ndata: " + body + "\n\n");
        m_server.endStream(caller);
    } else {
        m_server.respond(caller, refusalStatus(refusal.code), jsonType, body);
    }
}

void CallerApi::sendAnswer(uint64_t caller, int status, const std::string &body)
{
    if (m_exchanges.erase(caller) > 0) {
        m_server.respond(caller, status, jsonType, body);
    }
}

}
