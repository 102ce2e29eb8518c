#ifndef SAVORYTRESTLE_REVIEW_WIRE_H
#define SAVORYTRESTLE_REVIEW_WIRE_H

/// @file
/// @brief Blocking HTTP/1.1 over loopback sockets, for the stand-ins and
/// callers of the review's cases.

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// @brief A request or an answer.
struct Message {
  std::string StartLine;
  /// Values by lower-case name.
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string header(const std::string &name) const {
    const auto it = Headers.find(name);
    return it == Headers.end() ? "" : it->second;
  }
  /// The second word of the start line: a target or a status.
  std::string secondWord() const {
    const auto from = StartLine.find(' ') + 1;
    return StartLine.substr(from, StartLine.find(' ', from) - from);
  }
  int status() const { return std::atoi(secondWord().c_str()); }
};

/// @brief A socket that is closed at its end.
class Socket {
public:
  explicit Socket(int fd = -1) : Fd(fd) {}
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  Socket(Socket &&other) noexcept
      : Fd(std::exchange(other.Fd, -1)), Pending(std::move(other.Pending)) {}
  Socket &operator=(Socket &&other) noexcept {
    close();
    Fd = std::exchange(other.Fd, -1);
    Pending = std::move(other.Pending);
    return *this;
  }
  ~Socket() { close(); }

  bool isOpen() const { return Fd >= 0; }
  int fd() const { return Fd; }

  void close() {
    if (Fd >= 0)
      ::close(std::exchange(Fd, -1));
    Pending.clear();
  }

  void setReadTimeout(Milliseconds timeout) const {
    const timeval value{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
  }

  bool send(const std::string &bytes) const {
    for (std::size_t at = 0; at < bytes.size();) {
      const auto n =
          ::send(Fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// @brief Reads a whole message with a length, in chunks or without a body.
  std::optional<Message> read() {
    Message message;
    std::string line;
    if (!readLine(message.StartLine))
      return std::nullopt;
    for (;;) {
      if (!readLine(line))
        return std::nullopt;
      if (line.empty())
        break;
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const auto from = line.find_first_not_of(' ', colon + 1);
      message.Headers[name] =
          from == std::string::npos ? "" : line.substr(from);
    }
    const auto length =
        std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    if (!readBytes(length, message.Body))
      return std::nullopt;
    return message;
  }

private:
  bool fill() {
    char buffer[16384];
    const auto n = recv(Fd, buffer, sizeof buffer, 0);
    if (n <= 0)
      return false;
    Pending.append(buffer, static_cast<std::size_t>(n));
    return true;
  }
  bool readLine(std::string &line) {
    std::size_t end = 0;
    while ((end = Pending.find("\r\n")) == std::string::npos)
      if (!fill())
        return false;
    line = Pending.substr(0, end);
    Pending.erase(0, end + 2);
    return true;
  }
  bool readBytes(std::size_t n, std::string &bytes) {
    while (Pending.size() < n)
      if (!fill())
        return false;
    bytes = Pending.substr(0, n);
    Pending.erase(0, n);
    return true;
  }

  int Fd;
  std::string Pending;
};

/// @brief An IPv4 address; throws std::invalid_argument for another text.
inline sockaddr_in parseAddress(const std::string &address) {
  const auto colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

inline Socket connectTo(const std::string &address, Milliseconds timeout) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval value{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in to = parseAddress(address);
  if (connect(socket.fd(), reinterpret_cast<const sockaddr *>(&to),
              sizeof to) != 0)
    return Socket();
  return socket;
}

/// @brief Listens on an address, with a port that is free if none is named.
inline Socket listenOn(const std::string &address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = parseAddress(address);
  constexpr int Backlog = 512;
  if (bind(socket.fd(), reinterpret_cast<const sockaddr *>(&at), sizeof at) !=
          0 ||
      listen(socket.fd(), Backlog) != 0)
    return Socket();
  return socket;
}

inline int portOf(const Socket &socket) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&at), &size);
  return ntohs(at.sin_port);
}

/// @brief A port of an address that was free when checked.
inline int freePort(const std::string &ip) {
  return portOf(listenOn(ip + ":0"));
}

/// @brief Accepts connections and serves each on a thread of its own, until it
/// is shut down.
class Server {
public:
  using Handler = std::function<void(Socket &)>;

  /// @brief Listens; @ref port is 0 if the address is in use.
  Server(const std::string &address, Handler handler)
      : Serve(std::move(handler)), Listener(listenOn(address)),
        Port(Listener.isOpen() ? portOf(Listener) : 0),
        Acceptor([this] { accept(); }) {}
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server() { shutDown(); }

  int port() const { return Port; }

  /// @brief Closes the listener and all connections.
  /// @param reset whether connections are reset, as by the end of a process
  /// with unread bytes
  void shutDown(bool reset = false) {
    if (!Acceptor.joinable())
      return;
    ::shutdown(Listener.fd(), SHUT_RDWR);
    Acceptor.join();
    Listener.close();
    {
      const std::lock_guard lock(Mutex);
      for (const int fd : Open) {
        const linger none{1, 0};
        if (reset)
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    while (running() > 0)
      std::this_thread::sleep_for(Milliseconds(1));
  }

private:
  std::size_t running() {
    const std::lock_guard lock(Mutex);
    return Open.size();
  }
  void accept() {
    if (!Listener.isOpen())
      return;
    for (;;) {
      const int fd = accept4(Listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(Mutex);
        Open.insert(fd);
      }
      std::thread([this, fd] {
        Socket socket(fd);
        Serve(socket);
        const std::lock_guard lock(Mutex);
        Open.erase(fd);
        socket.close();
      }).detach();
    }
  }

  Handler Serve;
  Socket Listener;
  int Port;
  std::mutex Mutex;
  std::set<int> Open;
  std::thread Acceptor;
};

} // namespace review

#endif
