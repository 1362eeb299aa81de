#include "net/httphead.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace vanillaspar
{

bool isSameHeader(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
           });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isSameHeader(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

bool isConnectionHeader(std::string_view name)
{
    // RFC 9110, section 7.6.1, with the older Keep-Alive and Proxy-Connection.
    static constexpr std::array<std::string_view, 9> names {"connection", "keep-alive", "proxy-connection",
                                                            "te",         "trailer",    "transfer-encoding",
                                                            "upgrade",    "expect",     "proxy-authentication"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
        return isSameHeader(candidate, name);
    });
}

}
