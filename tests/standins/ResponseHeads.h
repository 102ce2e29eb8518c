#ifndef SAVORYTRESTLE_TESTS_RESPONSE_HEADS_H
#define SAVORYTRESTLE_TESTS_RESPONSE_HEADS_H

/// @file
/// @brief Responses that are no final answer, valid or not, as a peer may send
/// them.

#include <string>
#include <vector>

namespace savorytrestle::tests {

/// @brief Interim responses (1xx), as HTTP/1.1 allows them before the final
/// one. Some have headers that mean something in a final response.
inline std::vector<std::string> interimResponses() {
  return {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n"
          "Savorytrestle-Not-Executed: 1\r\nRetry-After: 9\r\n"
          "Savorytrestle-Server-Stamp: early\r\n\r\n",
          "HTTP/1.1 199 X\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"};
}

/// @brief Status lines that no response to a request may have.
inline std::vector<std::string> invalidHeads() {
  return {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
          "HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n",
          "HTTP/1.1 999 X\r\nSavorytrestle-Not-Executed: 1\r\n"};
}

/// @brief A text several times in a row.
inline std::string repeat(const std::string &text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += text;
  return all;
}

} // namespace savorytrestle::tests

#endif
