#ifndef SAVORYTRESTLE_TESTS_HOSTILE_BYTES_H
#define SAVORYTRESTLE_TESTS_HOSTILE_BYTES_H

/// @file
/// @brief Messages that have ended or filled processes that read them.

#include <string>
#include <vector>

namespace savorytrestle::tests {

/// @brief A message by what is wrong with it.
struct HostileMessage {
  std::string Name;
  std::string Bytes;
};

/// @brief Messages with a start line and ill-meant headers, bodies, chunks or
/// trailers.
/// @param startLine a status or request line without its end
/// @param headers lines of headers that all of them have
inline std::vector<HostileMessage>
hostileMessages(const std::string &startLine, const std::string &headers = "") {
  // The HTTP library throws for a field of 65,534 bytes.
  const std::string large(67000, 'x');
  const std::string endless(4 << 20, 'x');
  const std::string head = startLine + "\r\n" + headers;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string manyFields;
  for (int i = 0; i < 20000; ++i)
    manyFields += "A: b\r\n";
  return {
      {"large trailer", chunked + "0\r\nA: " + large + "\r\n\r\n"},
      {"large trailer after a chunk",
       chunked + "1\r\nx\r\n0\r\nA: " + large + "\r\n\r\n"},
      {"large name of a trailer", chunked + "0\r\n" + large + ": a\r\n\r\n"},
      {"trailer of many fields", chunked + "0\r\n" + manyFields + "\r\n"},
      {"trailer without end", chunked + "0\r\nA: " + endless},
      {"chunk extension without end", chunked + "1;" + endless},
      {"chunk size without end", chunked + std::string(endless.size(), '0')},
      {"chunk of a terabyte", chunked + "e8d4a50fff\r\nx"},
      {"length of a terabyte", head + "Content-Length: 999999999999\r\n\r\nx"},
      {"length near the largest number",
       head + "Content-Length: 18446744073709551615\r\n\r\nx"},
      {"length of a terabyte, more headers in the body",
       head + "Content-Length: 999999999999\r\n\r\nA: b\r\n\r\nx"},
      {"large field", head + "A: " + large + "\r\n\r\n"},
      {"large name of a field", head + large + ": a\r\n\r\n"},
      {"head of many fields", head + manyFields + "\r\n"},
      {"head without end", head + "A: " + endless},
      {"start line without end", startLine + endless},
      {"no message, without end", endless},
      {"null bytes without end", std::string(endless.size(), '\0')},
  };
}

} // namespace savorytrestle::tests

#endif
