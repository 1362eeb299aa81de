#include "tests/fakes/strictanswer.h"

#include <algorithm>
#include <cctype>
#include <regex>

namespace vanillaspar
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return std::tolower(c);
    });
    return text;
}

/** @return the bytes before the next CRLF, which are taken; nothing if a line ends otherwise. */
std::optional<std::string> takeLine(std::string_view &bytes)
{
    const size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos || bytes.substr(end, 2) != "\r\n") {
        return std::nullopt;
    }
    const std::string line(bytes.substr(0, end));
    bytes.remove_prefix(end + 2);
    return line;
}

bool isText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c == '\t' || (c >= 0x20 && c != 0x7f);
    });
}

/** Takes field lines up to the empty one. */
bool takeFields(std::string_view &bytes, std::vector<std::pair<std::string, std::string>> &fields)
{
    const std::string marks = "!#$%&'*+.^_`|~-";
    for (;;) {
        const std::optional<std::string> line = takeLine(bytes);
        if (!line || line->empty()) {
            return line.has_value();
        }
        const size_t colon = line->find(':');
        const std::string name = line->substr(0, colon);
        const bool isName = std::all_of(name.begin(), name.end(), [&](unsigned char c) {
            return (c < 0x80 && std::isalnum(c) != 0) || marks.find(static_cast<char>(c)) != std::string::npos;
        });
        if (colon == std::string::npos || name.empty() || !isName || !isText(*line)) {
            return false;
        }
        std::string value = line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t") + 1);
        fields.emplace_back(name, value);
    }
}

bool takeChunks(std::string_view &bytes, std::string &body)
{
    static const std::regex form("([0-9A-Fa-f]{1,15})[ \t]*(;.*)?");
    for (;;) {
        const std::optional<std::string> line = takeLine(bytes);
        std::smatch parts;
        if (!line || !isText(*line) || !std::regex_match(*line, parts, form)) {
            return false;
        }
        const size_t size = std::stoull(parts[1], nullptr, 16);
        if (size == 0) {
            std::vector<std::pair<std::string, std::string>> trailers;
            return takeFields(bytes, trailers);
        }
        if (bytes.size() < size + 2 || bytes.substr(size, 2) != "\r\n") {
            return false;
        }
        body += bytes.substr(0, size);
        bytes.remove_prefix(size + 2);
    }
}

}

std::optional<StrictAnswer> readStrictly(std::string_view bytes)
{
    static const std::regex form("HTTP/1\\.([0-9]) ([1-5][0-9][0-9])( .*)?");
    const std::string afterwards = "HTTP/1.";
    StrictAnswer answer;
    const std::optional<std::string> line = takeLine(bytes);
    std::smatch parts;
    if (!line || !isText(*line) || !std::regex_match(*line, parts, form) || !takeFields(bytes, answer.headers)) {
        return std::nullopt;
    }
    answer.status = std::stoi(parts[2]);
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (const auto &[name, value] : answer.headers) {
        const std::string key = lower(name);
        if (key == "content-length") {
            lengths.push_back(value);
        } else if (key == "transfer-encoding") {
            codings.push_back(lower(value));
        }
    }
    const bool hasNoBody = answer.status < 200 || answer.status == 204 || answer.status == 304;
    const bool hasLength = lengths.size() == 1 && std::regex_match(lengths[0], std::regex("[0-9]{1,18}"));
    const bool isChunked = codings.size() == 1 && codings[0] == "chunked" && parts[1] != "0";
    if (lengths.size() + codings.size() > 1 || hasLength != (lengths.size() == 1) || isChunked != (codings.size() == 1)
        || (answer.status < 205 && hasNoBody && (isChunked || (hasLength && std::stoull(lengths[0]) > 0)))) {
        return std::nullopt;
    }
    if (hasNoBody) {
        // Only the head.
    } else if (isChunked) {
        if (!takeChunks(bytes, answer.body)) {
            return std::nullopt;
        }
    } else if (hasLength) {
        const size_t length = std::stoull(lengths[0]);
        if (bytes.size() < length) {
            return std::nullopt;
        }
        answer.body = bytes.substr(0, length);
        bytes.remove_prefix(length);
    } else {
        answer.body = bytes;
        const size_t end = answer.body.find("\r\n");
        if (end <= 16 && std::regex_match(answer.body.substr(0, end), std::regex("[0-9A-Fa-f]+[ \t]*(;.*)?"))
            && bytes.size() >= 5 && bytes.substr(bytes.size() - 5) == "0\r\n\r\n") {
            return std::nullopt;
        }
        bytes = {};
    }
    const size_t common = std::min(bytes.size(), afterwards.size());
    answer.isAmbiguous = bytes.substr(0, common) != afterwards.substr(0, common);
    return answer;
}

}
