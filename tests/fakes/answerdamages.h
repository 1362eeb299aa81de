#pragma once

#include <string>
#include <vector>

namespace vanillaspar
{

inline const std::string answerBody = "id: 1\ndata: a\n\n"; // 15 bytes, f in hexadecimal
inline const std::string chunked = "Transfer-Encoding: chunked\r\n";
inline const std::string answerChunks = "f\r\n" + answerBody + "\r\n0\r\n\r\n";

/** How an answer tells its length, or a line beside it, spoilt. */
struct Damage
{
    const char *name;
    std::string lines;
    std::string bytes; ///< What follows the head.
};

inline const std::vector<Damage> &damages()
{
    static const std::vector<Damage> all {
        {"no coding", "Transfer-Encoding:\r\n", answerChunks},
        {"unknown coding", "Transfer-Encoding: chunkex\r\n", answerChunks},
        {"coding cut", "Transfer-Encoding: chunke\r\n", answerChunks},
        {"another coding first", "Transfer-Encoding: gzip, chunked\r\n", answerChunks},
        {"another coding last", "Transfer-Encoding: chunked, gzip\r\n", answerChunks},
        {"coding twice", "Transfer-Encoding: chunked, chunked\r\n", answerChunks},
        {"coding repeated", chunked + chunked, answerChunks},
        {"coding with a parameter", "Transfer-Encoding: chunked;x\r\n", answerChunks},
    };
    return all;
}

/** Sound answers that look odd. */
inline const std::vector<Damage> &oddities()
{
    static const std::vector<Damage> all {
        {"names in any case", "cOnTeNt-lEnGtH: 15\r\n", answerBody},
        {"no space behind the colon", "Content-Length:15\r\n", answerBody},
        {"leading zeros", "Content-Length: 00015\r\n", answerBody},
        {"empty values", "X:\r\nContent-Length: 15\r\nY: \r\n", answerBody},
        {"bytes above 127", "X: \xc3\xa9\r\nContent-Length: 15\r\n", answerBody},
        {"chunks", chunked, answerChunks},
        {"extensions and trailers", "Transfer-Encoding: Chunked\r\n",
         "00F;x=\"y\"\r\n" + answerBody + "\r\n000\r\nT: x\r\n\r\n"},
        {"a long head", "X: " + std::string(30000, 'x') + "\r\nContent-Length: 15\r\n", answerBody},
        {"the end of the connection", "Connection: close\r\n", answerBody},
    };
    return all;
}

}
