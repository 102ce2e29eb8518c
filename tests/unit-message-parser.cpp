#include "support/MessageParser.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <malloc.h>

#include "standins/HostileBytes.h"
#include "standins/ResponseHeads.h"

using namespace savorytrestle;
using support::MessageLimits;
using support::MessageParser;
namespace http = boost::beast::http;

namespace {

struct Outcome {
  boost::system::error_code Error;
  bool Done = false;
  /// Most bytes held that were not taken yet.
  std::size_t MostHeld = 0;
};

/// Feeds bytes in pieces until the message has ended or an error has come.
template <bool IsRequest>
Outcome feed(MessageParser<IsRequest> &parser, const std::string &bytes,
             std::size_t piece) {
  boost::beast::flat_buffer buf;
  Outcome outcome;
  for (std::size_t at = 0;
       at < bytes.size() && !outcome.Error && !parser.done(); at += piece) {
    const std::size_t n = std::min(piece, bytes.size() - at);
    std::copy_n(bytes.data() + at, n,
                static_cast<char *>(buf.prepare(n).data()));
    buf.commit(n);
    outcome.Error = parser.parse(buf);
    outcome.MostHeld = std::max(outcome.MostHeld, buf.size());
  }
  outcome.Done = parser.done();
  return outcome;
}

template <bool IsRequest>
Outcome feed(const std::string &bytes, std::size_t piece,
             const MessageLimits &limits = {}) {
  MessageParser<IsRequest> parser(limits);
  return feed(parser, bytes, piece);
}

template <bool IsRequest>
void expectBounded(const std::string &startLine, const MessageLimits &limits) {
  constexpr std::size_t Piece = 8192;
  for (const auto &[name, bytes] : tests::hostileMessages(startLine))
    for (const std::size_t piece : {Piece, Piece / 8 + 1}) {
      const auto outcome = feed<IsRequest>(bytes, piece, limits);
      // A head within its limit, of a response whose body ends at the close.
      const bool isHead =
          name == "head of many fields" && limits.MaxHead >= bytes.size();
      EXPECT_TRUE(outcome.Error || outcome.Done || isHead) << name;
      EXPECT_LE(outcome.MostHeld,
                MessageParser<IsRequest>::MaxUnparsed + limits.MaxHead + Piece)
          << name;
    }
}

/// Guards against bytes that end a process, by an exception of the HTTP
/// library, or that fill its memory.
TEST(MessageParser, HostileMessagesAreErrorsWithinBounds) {
  for (const std::size_t maxHead : {std::size_t{8192}, std::size_t{1} << 17}) {
    expectBounded<false>("HTTP/1.1 200 OK", {.MaxHead = maxHead});
    expectBounded<true>("POST /a HTTP/1.1", {.MaxHead = maxHead});
  }
}

/// Guards against the limit of a body that is forgotten if bytes of it come
/// with the head.
TEST(MessageParser, AClaimedLengthOverTheLimitIsAnError) {
  const std::string rest = "Content-Length: 101\r\n\r\nA: b\r\n\r\nx";
  for (const std::size_t piece : {std::size_t{1}, rest.size() * 2}) {
    EXPECT_EQ(
        feed<false>("HTTP/1.1 200 OK\r\n" + rest, piece, {8192, 100}).Error,
        http::error::body_limit);
    EXPECT_EQ(
        feed<true>("POST / HTTP/1.1\r\n" + rest, piece, {8192, 100}).Error,
        http::error::body_limit);
  }
}

/// Guards against memory that is reserved by what a sender claims.
TEST(MessageParser, ReservesNothingForAClaimedLength) {
  constexpr std::size_t Claimed = 900 << 20;
  MessageParser<false> parser({.MaxBody = Claimed});
  const auto before = mallinfo2();
  feed(parser,
       "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Claimed) +
           "\r\n\r\nx",
       4096);
  EXPECT_TRUE(parser.headDone());
  const auto after = mallinfo2();
  EXPECT_LT(after.hblkhd + after.uordblks,
            before.hblkhd + before.uordblks + Claimed / 100);
}

TEST(MessageParser, WholeMessagesAreReadInAnyPieces) {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;x=y\r\nhello\r\n3\r\n, w\r\n0\r\nC: d\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    MessageParser<false> parser({});
    const auto outcome = feed(parser, bytes, piece);
    ASSERT_TRUE(outcome.Done) << piece << " " << outcome.Error.message();
    const auto message = parser.release();
    EXPECT_EQ(message.body(), "hello, w");
    EXPECT_EQ(message["A"], "b");
  }
}

/// Guards against bytes that no table thought of: spoils messages at random.
TEST(MessageParser, SpoiltMessagesNeverThrow) {
  std::mt19937_64 random(20261207);
  std::vector<std::string> seeds = tests::malformedAnswers();
  for (const std::string &it : tests::interimResponses())
    seeds.push_back(it);
  seeds.push_back(
      "POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
  seeds.push_back("TRACE / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n0\r\nA: b\r\n\r\n");
  using namespace std::string_literals;
  const std::string alphabet = "\0\r\n :;,=0159afxHTP/.\x7f\xff"s;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = seeds[random() % seeds.size()];
    for (std::size_t n = random() % 6; n > 0; --n) {
      const std::size_t at = random() % bytes.size();
      const char c = alphabet[random() % alphabet.size()];
      switch (random() % 4) {
      case 0:
        bytes[at] = c;
        break;
      case 1:
        bytes.insert(at, random() % 40, c);
        break;
      case 2:
        bytes.insert(at, bytes.substr(random() % bytes.size(), 30));
        break;
      default:
        bytes.erase(at, random() % 4);
        break;
      }
      if (bytes.empty())
        bytes = "x";
    }
    const std::size_t piece = 1 + random() % 40;
    EXPECT_NO_THROW(feed<false>(bytes, piece, {200, 50})) << i;
    EXPECT_NO_THROW(feed<true>(bytes, piece, {200, 50})) << i;
  }
}

} // namespace
