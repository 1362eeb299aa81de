#pragma once

#include "backend/backendevent.h"
#include "backend/backendlink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace vanillaspar
{

class HttpClient;
struct HttpResult;

/** Backend servers over HTTP: engines with server-sent events, plain services with one body each way. */
class HttpBackendLink : public BackendLink
{
public:
    using Handler = std::function<void(const BackendEvent &)>;

    HttpBackendLink(HttpClient &client, Handler onEvent);

    void submit(const BackendCall &call) override;
    void cancel(uint64_t call) override;

private:
    /** A generation whose events are still coming. */
    struct Stream
    {
        std::string buffer;
        bool isComplete = false;
    };

    void generate(const BackendCall &call, const struct GenerateCall &work);
    void order(const BackendCall &call, const struct OrderCall &work);
    void readState(const BackendCall &call);
    void callService(const BackendCall &call, const struct ServiceCall &work);
    void onStreamData(const BackendCall &call, Stream &stream, const std::string &data);
    /** Ends a call whose server sends more than a line may hold. */
    void limitBuffer(const BackendCall &call, const Stream &stream);
    void onStreamLine(const BackendCall &call, Stream &stream, const std::string &line);
    bool reportFailure(const BackendCall &call, const HttpResult &result);
    void emit(const BackendCall &call, decltype(BackendEvent::what) what);

    HttpClient &m_client;
    Handler m_onEvent;
    std::map<uint64_t, uint64_t> m_httpCalls;
};

}
