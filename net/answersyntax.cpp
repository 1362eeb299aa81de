#include "net/answersyntax.h"

#include <algorithm>

namespace vanillaspar
{

namespace
{

constexpr std::string_view protocol = "HTTP/1.";
constexpr std::string_view whiteSpace = " \t";
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isHexDigit(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/** @return whether a field's name may hold a byte. */
bool isTokenByte(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || marks.find(c) != std::string_view::npos;
}

/** @return whether there is no control character but tabs. */
bool isText(std::string_view text)
{
    constexpr char firstPrintable = ' ';
    constexpr char deleteCharacter = 0x7f;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c == '\t' || (static_cast<unsigned char>(c) >= firstPrintable && c != deleteCharacter);
    });
}

std::string_view withoutPrefix(std::string_view text, bool (*isPart)(char))
{
    const auto end = std::find_if_not(text.begin(), text.end(), isPart);
    return text.substr(static_cast<size_t>(end - text.begin()));
}

}

bool isStatusLine(std::string_view line)
{
    constexpr std::string_view form = "HTTP/1.x 200";
    if (!canStartStatusLine(line) || line.size() < form.size() || !isDigit(line[protocol.size()])
        || line[protocol.size() + 1] != ' ') {
        return false;
    }
    const std::string_view status = line.substr(form.size() - 3, 3);
    const std::string_view reason = line.substr(form.size());
    const bool isStatus = std::all_of(status.begin(), status.end(), isDigit) && status[0] >= '1' && status[0] <= '5';
    return isStatus && (reason.empty() || reason[0] == ' ') && isText(reason);
}

bool canStartStatusLine(std::string_view bytes)
{
    const size_t common = std::min(bytes.size(), protocol.size());
    return bytes.substr(0, common) == protocol.substr(0, common);
}

bool isFieldLine(std::string_view line)
{
    const std::string_view rest = withoutPrefix(line, isTokenByte);
    return rest.size() < line.size() && !rest.empty() && rest[0] == ':' && isText(rest);
}

bool isChunkSizeLine(std::string_view line)
{
    std::string_view extensions = withoutPrefix(line, isHexDigit);
    if (extensions.size() == line.size()) {
        return false;
    }
    extensions.remove_prefix(std::min(extensions.find_first_not_of(whiteSpace), extensions.size()));
    return extensions.empty() || (extensions[0] == ';' && isText(extensions));
}

bool isBodyless(int status)
{
    return status < firstFinalStatus || status == noContent || status == notModified;
}

bool hasValidFraming(const HttpHead &head, int minorVersion)
{
    int lengths = 0;
    int codings = 0;
    bool isChunked = false;
    for (const HttpHeader &header : head.headers) {
        if (isSameHeader(header.name, "content-length")) {
            ++lengths;
        } else if (isSameHeader(header.name, "transfer-encoding")) {
            ++codings;
            isChunked = isSameHeader(header.value, "chunked"); // the only coding that is decoded
        }
    }
    if (codings > 0) {
        return codings == 1 && lengths == 0 && isChunked && minorVersion > 0 && !isBodyless(head.status);
    }
    // Only a 304 may state the length of a body that it doesn't have.
    const bool mayHaveLength = head.length == 0 || !isBodyless(head.status) || head.status == notModified;
    return lengths == 0 || (lengths == 1 && head.hasLength && mayHaveLength);
}

}
