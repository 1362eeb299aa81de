#pragma once

#include "objects/objectapi.h"
#include "objects/objectreply.h"

#include <functional>
#include <string>

namespace vanillaspar
{

class HttpClient;

/** The platform's object API over HTTP. */
class HttpObjectApi : public ObjectApi
{
public:
    using Handler = std::function<void(const ObjectReply &)>;

    /** @param address IP number and port of the platform's service. */
    HttpObjectApi(HttpClient &client, std::string address, Handler onReply);

    void submit(const ObjectCall &call) override;

private:
    HttpClient &m_client;
    std::string m_address;
    Handler m_onReply;
};

}
