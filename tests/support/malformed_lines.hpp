// Lines of responses that no response has.
#pragma once

#include <string>
#include <vector>

namespace tamarack::testing {

using namespace std::string_literals;

/// Status lines that RFC 9112 (4) or RFC 9110 (2.5, 15) don't allow, and 101, which only answers a
/// request to change the protocol.
inline const std::vector<std::string> MalformedStatusLines{
    "HTTP/1.1 000 ",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 020 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switch",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 620 Odd",
    "HTTP/1.1 700 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.1 20  OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 2OO OK",
    "HTTP/1.1 abc OK",
    "HTTP/1.1 0x2 OK",
    "HTTP/1.1 2.0 OK",
    "HTTP/1.1 \xb2\x30\x30 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200\tOK",
    "HTTP/1.1200 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1  OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1 200 OK",
    "HTTP/11 200 OK",
    "HTTP/1. 200 OK",
    "HTTP/.1 200 OK",
    "HTTP/1,1 200 OK",
    "HTTP/1.10 200 OK",
    "HTTP/01.1 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/2 200 OK",
    "HTTP/9.9 200 OK",
    "HTTP/a.b 200 OK",
    "HTTP/1.1x 200 OK",
    "http/1.1 200 OK",
    "HTTQ/1.1 200 OK",
    "HTTPS/1.1 200 OK",
    "HTTP 1.1 200 OK",
    "HTTP//1.1 200 OK",
    "ICY 200 OK",
    "RTSP/1.0 200 OK",
    " HTTP/1.1 200 OK",
    "\tHTTP/1.1 200 OK",
    "200 OK",
    "200",
    "HTTP/1.1 200 O\x01K",
    "HTTP/1.1 200 O\x7fK",
    "HTTP/1.1 200 O\rK",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.1 200 O\0K"s,
    "HTTP/1.1 \0\0\0 OK"s,
    "x",
    "\r\n\r\n\r\nHTTP/1.1 000 OK",
};

/// Responses that are whole and sound but for one malformed line.
inline std::vector<std::string> malformedResponses(const std::string &body)
{
    std::vector<std::string> responses;
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    for (const std::string &line : MalformedStatusLines)
        responses.push_back(line + "\r\n" + length + "\r\n" + body);
    return responses;
}

} // namespace tamarack::testing
