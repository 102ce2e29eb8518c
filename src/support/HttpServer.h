#ifndef SAVORYTRESTLE_SUPPORT_HTTP_SERVER_H
#define SAVORYTRESTLE_SUPPORT_HTTP_SERVER_H

/// @file
/// @brief HTTP server over CivetWeb with typed requests and responses.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "savorytrestle/core/Error.h"

namespace savorytrestle::support {

/// @brief One HTTP request with its complete body.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
  /// Header values by lower-case name.
  std::map<std::string, std::string> Headers;

  /// @brief Looks a header up.
  /// @param lowerCaseName the header's name in lower case
  /// @return its value, or nothing
  std::optional<std::string> header(const std::string &lowerCaseName) const;

  /// @brief Looks a query parameter up and URL-decodes it.
  /// @param key the parameter's name
  /// @return its value, or nothing
  std::optional<std::string> parameter(const std::string &key) const;
};

/// @brief One HTTP response.
struct HttpResponse {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::map<std::string, std::string> Headers;
  /// Closes the connection without sending anything (stand-ins only).
  bool Abort = false;
};

/// @brief Limits of one listener.
struct HttpServerOptions {
  /// Address as "ip:port"; port 0 selects a free port.
  std::string Listen;
  /// Worker threads; each serves one connection at a time.
  unsigned Threads = 8;
  /// Larger bodies are answered with 413; a declared larger size is not read.
  std::size_t MaxBodyBytes = 1 << 20;
  /// Idle keep-alive connections are closed after this.
  std::chrono::milliseconds KeepAlive{30000};
  /// Answers a request whose body is incomplete or larger than the limit; if
  /// empty, a plain 413 is sent.
  std::function<HttpResponse(const HttpRequest &)> OnBodyRefused;
  /// Called with +1 when a connection opens and -1 when it has closed; may be
  /// empty.
  std::function<void(int)> OnConnection;
};

/// @brief An HTTP listener; stops when destroyed.
class HttpServer {
public:
  /// @brief Answers one request; runs on a worker thread.
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  /// @brief Starts listening.
  /// @param options address and limits
  /// @param handler answers each request
  /// @return the running server, or why it could not start
  static core::Result<std::unique_ptr<HttpServer>>
  start(const HttpServerOptions &options, Handler handler);

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// @brief The port in use, also when the options gave port 0.
  /// @return the port; 0 when the server has none
  int port() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> state);

  std::unique_ptr<Impl> State;
};

} // namespace savorytrestle::support

#endif
