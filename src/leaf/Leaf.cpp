#include "leaf/Leaf.h"

#include <algorithm>

namespace savorytrestle::leaf {

using SteadyClock = std::chrono::steady_clock;

namespace {

/// Share of the leaf's idle time-out after which a connection isn't reused: the
/// leaf might close it while a request is in flight.
constexpr double MaxIdleShare = 0.7;

bool idleTooLong(const LeafConnection &connection,
                 SteadyClock::time_point now) {
  return now - connection.idleSince() > connection.keepAlive() * MaxIdleShare;
}

} // namespace

Leaf::Leaf(boost::asio::io_context &io, core::LeafEntry entry,
           const boost::asio::ip::tcp::endpoint &address,
           core::LeafDistance distance, std::shared_ptr<AnswerMemory> memory,
           std::string region)
    : Io(io), Entry(std::move(entry)), Address(address),
      Region(std::move(region)), Score(distance, Entry.Slots),
      Memory(std::move(memory)) {
  update(Entry);
}

void Leaf::update(core::LeafEntry entry) {
  Entry = std::move(entry);
  Score.setWarmUpEnd(SteadyClock::now() + Entry.WarmUpLeft);
  if (Entry.Draining)
    retire();
}

void Leaf::retire() {
  Retired = true;
  closeIdleConnections();
  cancelConnecting();
}

void Leaf::closeIdleConnections() {
  const auto idle = std::move(Idle);
  Idle.clear();
  for (const auto &connection : idle)
    connection->close();
}

void Leaf::pause(core::TimePoint now, core::Duration wait, double draw) {
  Demands.Silence.onRetryAfter(now, wait, draw);
  cancelConnecting();
}

void Leaf::cancelConnecting() {
  const auto connecting = std::move(Connecting);
  Connecting.clear();
  for (const auto &weak : connecting)
    if (const auto connection = weak.lock())
      connection->cancelConnect();
}

bool Leaf::hasFreeConnection() const {
  return !Idle.empty() || ConnectionCount < MaxConnections;
}

std::shared_ptr<LeafConnection> Leaf::acquireConnection() {
  const auto now = SteadyClock::now();
  while (!Idle.empty()) {
    auto connection = std::move(Idle.back());
    Idle.pop_back();
    if (connection->ready() && !idleTooLong(*connection, now))
      return connection;
    connection->close();
  }
  if (ConnectionCount >= MaxConnections)
    return nullptr;
  ++ConnectionCount;
  auto connection = std::make_shared<LeafConnection>(
      Io,
      [weak = weak_from_this()] {
        if (const auto self = weak.lock())
          --self->ConnectionCount;
      },
      Memory);
  std::erase_if(Connecting, [](const auto &it) {
    const auto other = it.lock();
    return !other || !other->connecting();
  });
  Connecting.push_back(connection);
  return connection;
}

void Leaf::releaseConnection(std::shared_ptr<LeafConnection> connection) {
  if (!connection->ready())
    return;
  if (Retired)
    return connection->close();
  Idle.push_back(std::move(connection));
}

} // namespace savorytrestle::leaf
