// Lines of responses that no response has.
#pragma once

#include <absl/strings/str_cat.h>

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

/// Field lines that RFC 9112 (5) and RFC 9110 (5.1, 5.5) don't allow. A line that begins with a
/// blank continues the line in front of it, which only the oldest form of the protocol allowed.
inline const std::vector<std::string> MalformedFieldLines{
    "X-Odd : v",
    "X-Odd\t: v",
    "X Odd: v",
    "X\tOdd: v",
    " X-Odd: v",
    "\tX-Odd: v",
    " ",
    "\t",
    "X\x01Odd: v",
    "\x01X-Odd: v",
    "X-Odd\x1f: v",
    "X\x7fOdd: v",
    "X\0Odd: v"s,
    "\0: v"s,
    "X\x0bOdd: v",
    "X\x80Odd: v",
    "X-Odd\xa0: v",
    "\xffX-Odd: v",
    "X\xc3\xa4Odd: v",
    ": v",
    ":",
    " : v",
    "X-Odd",
    "X-Odd v",
    "X-Odd\r\n : v",
    "X-Odd: a\r\n b",
    "X-Odd: a\r\n\tb",
    "X-Odd:\r\n b",
    "X-Odd: a\r\n ",
    "X-Odd: a\r\n b\r\n c",
    "X-Odd: a\rb",
    "X-Odd: a\nb: c",
    "X\nOdd: v",
    "X\rOdd: v",
    "X-Odd: a\n",
    "X-Odd: a\r",
    "\nX-Odd: v",
    "\rX-Odd: v",
    "X-Odd: a\x01z",
    "X-Odd: a\0z"s,
    "X-Odd: \x7f",
    "X-Odd: \x1b[0m",
    "X-Odd: a\x0bz",
    "X(Odd: v",
    "X\"Odd: v",
    "X/Odd: v",
    "X@Odd: v",
    "X[Odd]: v",
    "X{Odd}: v",
    "X=Odd: v",
    "X;Odd: v",
    "X,Odd: v",
    "X\\Odd: v",
    "X?Odd: v",
    "X<Odd>: v",
    "Content-Length : 3",
    "Content-Length\t: 3",
    " Content-Length: 3",
    "Content Length: 3",
    "Transfer-Encoding : chunked",
    "Connection : close",
    "Not-Executed : 1",
    "Request-Id : r2",
};

/// Responses that are whole and sound but for one malformed line, of a head or of trailers.
inline std::vector<std::string> malformedResponses(const std::string &body)
{
    std::vector<std::string> responses;
    responses.reserve(MalformedStatusLines.size() + 2 * MalformedFieldLines.size());
    const std::string rest = absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n", body);
    for (const std::string &line : MalformedStatusLines)
        responses.push_back(absl::StrCat(line, "\r\n", rest));
    const std::string chunked =
        absl::StrCat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n");
    for (const std::string &line : MalformedFieldLines) {
        responses.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n", line, "\r\n", rest));
        responses.push_back(absl::StrCat(chunked, line, "\r\n\r\n"));
    }
    return responses;
}

} // namespace tamarack::testing
