#pragma once

#include "net/httpserver.h"
#include "node/callerlink.h"

#include <functional>
#include <map>
#include <string>

namespace vanillaspar
{

class EventLog;
class Loop;
class Node;

/** What callers and operators reach over HTTP; turns exchanges into the node's requests and answers back. */
class CallerApi : public CallerLink
{
public:
    /** @return the text of the metrics page. */
    using MetricsPage = std::function<std::string()>;

    CallerApi(Loop &loop, const Endpoint &endpoint, std::string operatorHash, MetricsPage metrics);

    /** Tells whom to pass requests to. */
    void setNode(Node *node);

    void sendPiece(uint64_t caller, const std::string &text) override;
    void finish(uint64_t caller, Tokens used) override;
    void refuse(uint64_t caller, const Refusal &refusal) override;
    void sendAnswer(uint64_t caller, int status, const std::string &body) override;

private:
    struct Exchange
    {
        std::string model;
        bool isStream = false;
        bool isChat = false;
        bool isStarted = false;
        std::string text; ///< Gathered for an answer in one piece.
    };

    void onRequest(const HttpRequest &request);
    void onClosed(uint64_t exchange);
    void onCompletion(const HttpRequest &request, bool isChat);
    void onService(const HttpRequest &request);
    void onAddress(const HttpRequest &request);
    void onConfig(const HttpRequest &request);
    void onDrain(const HttpRequest &request);
    void refuseStranger(uint64_t exchange);
    bool isOperator(const HttpRequest &request) const;
    void refuseInput(uint64_t exchange, const std::string &detail);

    HttpServer m_server;
    std::string m_operatorHash;
    MetricsPage m_metrics;
    Node *m_node = nullptr;
    std::map<uint64_t, Exchange> m_exchanges;
};

}
