#include "support/HttpServer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

#include <absl/strings/str_cat.h>
#include <civetweb.h>

#include "support/Log.h"

namespace savorytrestle::support {

namespace {

constexpr int PayloadTooLarge = 413;
constexpr int InternalError = 500;

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

HttpRequest readHead(const mg_request_info &info) {
  HttpRequest request;
  request.Method = info.request_method ? info.request_method : "";
  request.Path = info.local_uri ? info.local_uri : "";
  request.Query = info.query_string ? info.query_string : "";
  for (int n = 0; n < info.num_headers; ++n)
    request.Headers[lowerCase(info.http_headers[n].name)] =
        info.http_headers[n].value;
  return request;
}

/// Reads the body up to the limit; false when it is larger or incomplete.
bool readBody(mg_connection *connection, long long declared, std::size_t limit,
              std::string &body) {
  if (declared > static_cast<long long>(limit))
    return false;
  std::array<char, 16384> buf;
  for (;;) {
    const int n = mg_read(connection, buf.data(), buf.size());
    if (n < 0)
      return false;
    if (n == 0)
      break;
    body.append(buf.data(), static_cast<std::size_t>(n));
    if (body.size() > limit)
      return false;
  }
  return declared < 0 || body.size() == static_cast<std::size_t>(declared);
}

const char *reasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

// Sends head and body in one write: with two small writes, delayed
// acknowledgements would add tens of milliseconds.
void send(mg_connection *connection, const HttpResponse &response) {
  std::string out = "HTTP/1.1 " + std::to_string(response.Status) + " " +
                    reasonPhrase(response.Status) + "\r\n";
  out += "Content-Type: " + response.ContentType + "\r\n";
  out += "Content-Length: " + std::to_string(response.Body.size()) + "\r\n";
  for (const auto &[key, value] : response.Headers)
    absl::StrAppend(&out, key, ": ", value, "\r\n");
  out += "\r\n";
  out += response.Body;
  mg_write(connection, out.data(), out.size());
}

/// Calls the handler. An exception must not reach the library's C code, where
/// it would end the process.
HttpResponse handle(const HttpServer::Handler &handler,
                    const HttpRequest &request) {
  try {
    return handler(request);
  } catch (const std::exception &ex) {
    LogLine("request_failed").with("path", request.Path).with("why", ex.what());
  }
  HttpResponse response;
  response.Status = InternalError;
  // The handler may have run the request before it failed.
  response.Body = R"({"error":{"code":"internal","run":"unknown",)"
                  R"("message":"unexpected error"}})";
  return response;
}

} // namespace

struct HttpServer::Impl {
  HttpServerOptions Options;
  Handler RequestHandler;
  mg_context *Context = nullptr;

  static int onRequest(mg_connection *connection, void *data);
  static void countConnection(const mg_connection *connection, int change) {
    const auto *self =
        static_cast<const Impl *>(mg_get_user_data(mg_get_context(connection)));
    if (self->Options.OnConnection)
      self->Options.OnConnection(change);
  }
  static int onOpen(const mg_connection *connection, void ** /*data*/) {
    countConnection(connection, 1);
    return 0;
  }
  static void onClosed(const mg_connection *connection) {
    countConnection(connection, -1);
  }
};

int HttpServer::Impl::onRequest(mg_connection *connection, void *data) {
  const auto &self = *static_cast<Impl *>(data);
  const mg_request_info &info = *mg_get_request_info(connection);
  HttpRequest request = readHead(info);
  HttpResponse response;
  if (!readBody(connection, info.content_length, self.Options.MaxBodyBytes,
                request.Body)) {
    if (self.Options.OnBodyRefused)
      response = self.Options.OnBodyRefused(request);
    response.Status = PayloadTooLarge;
    response.Headers["Connection"] = "close";
  } else {
    response = handle(self.RequestHandler, request);
  }
  if (!response.Abort)
    send(connection, response);
  if (response.Abort || response.Headers.count("Connection"))
    mg_disable_connection_keep_alive(connection);
  return response.Status;
}

std::optional<std::string>
HttpRequest::header(const std::string &lowerCaseName) const {
  if (const auto it = Headers.find(lowerCaseName); it != Headers.end())
    return it->second;
  return std::nullopt;
}

std::optional<std::string>
HttpRequest::parameter(const std::string &key) const {
  std::vector<char> buf(Query.size() + 1);
  const int n = mg_get_var(Query.data(), Query.size(), key.c_str(), buf.data(),
                           buf.size());
  if (n < 0)
    return std::nullopt;
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

HttpServer::HttpServer(std::unique_ptr<Impl> state) : State(std::move(state)) {}

HttpServer::~HttpServer() {
  if (State && State->Context)
    mg_stop(State->Context);
}

int HttpServer::port() const {
  mg_server_port info{};
  if (mg_get_server_ports(State->Context, 1, &info) < 1)
    return 0;
  return info.port;
}

core::Result<std::unique_ptr<HttpServer>>
HttpServer::start(const HttpServerOptions &options, Handler handler) {
  auto state = std::make_unique<Impl>();
  state->Options = options;
  state->RequestHandler = std::move(handler);
  const std::string threads = std::to_string(options.Threads);
  const std::string keepAlive = std::to_string(options.KeepAlive.count());
  std::array<const char *, 13> settings = {"listening_ports",
                                           options.Listen.c_str(),
                                           "num_threads",
                                           threads.c_str(),
                                           "enable_keep_alive",
                                           "yes",
                                           "keep_alive_timeout_ms",
                                           keepAlive.c_str(),
                                           "tcp_nodelay",
                                           "1",
                                           "enable_directory_listing",
                                           "no",
                                           nullptr};
  mg_callbacks callbacks{};
  callbacks.init_connection = &Impl::onOpen;
  callbacks.connection_closed = &Impl::onClosed;
  state->Context = mg_start(&callbacks, state.get(), settings.data());
  if (!state->Context)
    return core::makeError(core::ErrorCode::Internal,
                           "cannot listen on " + options.Listen);
  mg_set_request_handler(state->Context, "/", &Impl::onRequest, state.get());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

} // namespace savorytrestle::support
