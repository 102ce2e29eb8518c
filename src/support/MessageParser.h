#ifndef SAVORYTRESTLE_SUPPORT_MESSAGE_PARSER_H
#define SAVORYTRESTLE_SUPPORT_MESSAGE_PARSER_H

/// @file
/// @brief Parses HTTP/1.1 messages from bytes of any kind within bounds.

#include <utility>

#include <cstddef>
#include <cstdint>
#include <exception>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace savorytrestle::support {

/// @brief A string body for received messages. Its memory grows with the bytes
/// that have come; string_body reserves the Content-Length at once.
struct ReceivedBody {
  using value_type = std::string;

  // The name is the library's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader : public boost::beast::http::string_body::reader {
    using Base = boost::beast::http::string_body::reader;

  public:
    using Base::Base;
    void init(const boost::optional<std::uint64_t> & /*length*/,
              boost::system::error_code &ec) {
      Base::init(boost::none, ec);
    }
  };
};

/// @brief Limits of one message, in bytes.
struct MessageLimits {
  std::size_t MaxHead = 8192;
  std::size_t MaxBody = 1 << 20;
};

/// @brief Parses one message.
/// @tparam IsRequest whether it is a request
template <bool IsRequest> class MessageParser {
  using Parser = boost::beast::http::parser<IsRequest, ReceivedBody>;

public:
  using Message =
      boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

  /// Bytes outside of head and body that are held until they are complete:
  /// chunk headers and trailers.
  static constexpr std::size_t MaxUnparsed = 64 << 10;

  explicit MessageParser(const MessageLimits &limits) {
    Input.header_limit(static_cast<std::uint32_t>(limits.MaxHead));
    Input.body_limit(limits.MaxBody);
  }

  /// @brief The message has no body, whatever its head says.
  void skipBody() { Input.skip(true); }

  /// @brief Parses bytes up to the end of the message, and removes those that
  /// it has taken. Doesn't throw.
  /// @param buf the bytes received, from the first that was not taken
  /// @return an error if they are no message within the limits; the parser is
  /// of no further use then. None if more bytes are needed
  boost::system::error_code parse(boost::beast::flat_buffer &buf) {
    namespace http = boost::beast::http;
    boost::system::error_code ec;
    // A step at a time: a parser that goes on by itself drops the error of a
    // Content-Length over the limit if bytes of the body follow the head.
    while (buf.size() > 0 && !done()) {
      std::size_t n = 0;
      try {
        n = Input.put(buf.data(), ec);
      } catch (const std::exception &) {
        // The library throws for fields of 64 KiB, which a trailer may hold.
        return http::error::header_limit;
      }
      buf.consume(n);
      if (ec == http::error::need_more || (!ec && n == 0))
        break;
      if (ec)
        return ec;
    }
    if (headDone() && !done() && buf.size() > MaxUnparsed)
      return http::error::header_limit;
    return {};
  }

  /// @brief The connection has been closed.
  /// @return whether that ends the message, which is complete
  bool parseEnd() {
    if (!Input.got_some() || done())
      return false;
    boost::system::error_code ec;
    Input.put_eof(ec);
    return !ec && done();
  }

  bool headDone() const { return Input.is_header_done(); }
  bool done() const { return Input.is_done(); }

  /// @brief The head. Requires @ref headDone.
  const boost::beast::http::header<IsRequest> &head() const {
    return Input.get().base();
  }

  /// @brief Whether the connection stays open. Requires @ref headDone.
  bool keepAlive() const { return Input.keep_alive(); }

  /// @brief Moves the message out. Requires @ref done.
  Message release() {
    auto received = Input.release();
    return Message(std::move(received.base()), std::move(received.body()));
  }

private:
  Parser Input;
};

} // namespace savorytrestle::support

#endif
