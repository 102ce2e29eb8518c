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

/// @brief Answers whose head, length or chunks no reader can trust, and that
/// hold a stamp and a body all the same.
inline std::vector<std::string> malformedAnswers() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nSavorytrestle-Server-Stamp: s\r\n"
      "Savorytrestle-Request-Id: r1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  std::vector<std::string> answers;
  for (const char *line :
       {"HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 abc", "HTTP/1.1200 OK",
        "HTTP/9.9 200 OK", "HTP/1.1 200 OK", "200 OK"})
    answers.push_back(std::string(line) + head.substr(head.find('\r')) +
                      "Content-Length: 5\r\n\r\nhello");
  for (const char *field : {"No colon", ": no name", "Na me: x", "Name : x",
                            "N\x01: x", "Name: \x01"})
    answers.push_back(head + field + "\r\nContent-Length: 5\r\n\r\nhello");
  for (const char *length : {"", "-5", "+5", "5x", "0x5", "5.0", "5, 6", "5;",
                             "18446744073709551616", "99999999999999999999999"})
    answers.push_back(head + "Content-Length: " + length + "\r\n\r\nhello");
  answers.push_back(head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n" +
                    "hello!");
  answers.push_back(head +
                    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" +
                    "\r\n5\r\nhello\r\n0\r\n\r\n");
  for (const char *chunk :
       {"x\r\nhello\r\n", "-5\r\nhello\r\n", "\r\nhello\r\n", "5\r\nhelloX\r\n",
        "5\rhello\r\n", "11111111111111111\r\nhello\r\n"})
    answers.push_back(chunked + chunk + "0\r\n\r\n");
  return answers;
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
