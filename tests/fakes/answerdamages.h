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
        {"length empty", "Content-Length:\r\n", answerBody},
        {"length of spaces", "Content-Length:  \r\n", answerBody},
        {"length not a number", "Content-Length: x\r\n", answerBody},
        {"length with a letter", "Content-Length: 1x\r\n", answerBody},
        {"length with a sign", "Content-Length: +15\r\n", answerBody},
        {"length below zero", "Content-Length: -15\r\n", answerBody},
        {"length beyond all numbers", "Content-Length: 99999999999999999999\r\n", answerBody},
        {"length too large", "Content-Length: 150\r\n", answerBody},
        {"length too small", "Content-Length: 1\r\n", answerBody},
        {"length zero", "Content-Length: 0\r\n", answerBody},
        {"two lengths in a line", "Content-Length: 15, 15\r\n", answerBody},
        {"two lengths with a space", "Content-Length: 1 5\r\n", answerBody},
        {"two lengths", "Content-Length: 15\r\nContent-Length: 1\r\n", answerBody},
        {"an empty length behind one", "Content-Length: 15\r\nContent-Length:\r\n", answerBody},
        {"length folded", "Content-Length:\r\n 15\r\n", answerBody},
        {"length continued", "Content-Length: 1\r\n 5\r\n", answerBody},
        {"length without its name's end", "Content-Lengt: 15\r\n", answerBody},
        {"length without a line end", "Content-Length: 15X-A: b\r\n", answerBody},
        {"length behind a bare CR", "X-A: b\rContent-Length: 15\r\n", answerBody},
        {"length and an empty coding", "Content-Length: 15\r\nTransfer-Encoding:\r\n", answerBody},
        {"length and chunks", "Content-Length: 1\r\n" + chunked, answerChunks},
        {"no coding", "Transfer-Encoding:\r\n", answerChunks},
        {"unknown coding", "Transfer-Encoding: chunkex\r\n", answerChunks},
        {"coding cut", "Transfer-Encoding: chunke\r\n", answerChunks},
        {"coding without its name's start", "ransfer-Encoding: chunked\r\n", answerChunks},
        {"another coding first", "Transfer-Encoding: gzip, chunked\r\n", answerChunks},
        {"another coding last", "Transfer-Encoding: chunked, gzip\r\n", answerChunks},
        {"coding twice", "Transfer-Encoding: chunked, chunked\r\n", answerChunks},
        {"coding repeated", chunked + chunked, answerChunks},
        {"coding folded", "Transfer-Encoding:\r\n chunked\r\n", answerChunks},
        {"coding with a parameter", "Transfer-Encoding: chunked;x\r\n", answerChunks},
        {"chunk too small", chunked, "3\r\n" + answerBody + "\r\n0\r\n\r\n"},
        {"chunk of nothing", chunked, "0\r\n" + answerBody + "\r\n0\r\n\r\n"},
        {"chunk too large", chunked, "ff\r\n" + answerBody + "\r\n0\r\n\r\n"},
        {"chunk size with a space", chunked, "0 f\r\n" + answerBody + "\r\n0\r\n\r\n"},
        {"chunk size not a number", chunked, "g\r\n" + answerBody + "\r\n0\r\n\r\n"},
        {"chunk with another end", chunked, "f\r\n" + answerBody + "xx0\r\n\r\n"},
        {"chunk size without LF", chunked, "f\rx" + answerBody + "\r\n0\r\n\r\n"},
        {"no last chunk", chunked, "f\r\n" + answerBody + "\r\n"},
        {"last chunk without its end", chunked, "f\r\n" + answerBody + "\r\n0\r\n\r"},
        {"line without a colon", "Content-Length: 15\r\nno field\r\n", answerBody},
        {"line of a colon", "Content-Length: 15\r\n: x\r\n", answerBody},
        {"line with a space before the colon", "Content-Length: 15\r\nX : x\r\n", answerBody},
        {"line that begins with a space", "Content-Length: 15\r\n x: y\r\n", answerBody},
        {"line that begins with a tab", "Content-Length: 15\r\n\tx\r\n", answerBody},
        {"line of spaces", "Content-Length: 15\r\n  \r\n", answerBody},
        {"line that ends with LF", "Content-Length: 15\r\nX: y\n", answerBody},
        {"empty line that is LF", "\nContent-Length: 15\r\n", answerBody},
        {"byte that no name holds", "Content-Length: 15\r\nX\x01: y\r\n", answerBody},
        {"byte that no value holds", "Content-Length: 15\r\nX: \x01y\r\n", answerBody},
        {"byte that no value holds, later", "Content-Length: 15\r\nX: y\x7f\r\n", answerBody},
    };
    return all;
}

/** Sound answers that look odd. */
inline const std::vector<Damage> &oddities()
{
    static const std::vector<Damage> all {
        {"names in any case", "cOnTeNt-lEnGtH: 15\r\n", answerBody},
        {"no space behind the colon", "Content-Length:15\r\n", answerBody},
        {"white space around the value", "Content-Length: \t15 \t\r\n", answerBody},
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
