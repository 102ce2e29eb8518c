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
  recordWarmUp();
}

void Leaf::update(core::LeafEntry entry) {
  // A list repeats entries that were read before, whose times have passed.
  const bool isNew = entry.Revision == 0 || entry.Revision != Entry.Revision;
  Entry = std::move(entry);
  Score.setWarmUpEnd(SteadyClock::now() + Entry.WarmUpLeft);
  if (isNew)
    recordWarmUp();
  if (Entry.Draining)
    retire();
}

void Leaf::retire() {
  Retired = true;
  cancelUnsent();
}

void Leaf::recordWarmUp() {
  const auto now = SteadyClock::now();
  if (Entry.StatesWarmUp)
    return Demands.Cold.onStated(now + Entry.WarmUpLeft);
  if (Entry.StartedAt == 0)
    return;
  // Without a statement, the time since the start is all that is known. The
  // clocks of hosts and leaves may differ: a later start counts as one just
  // now.
  const auto sinceStart = std::chrono::system_clock::now().time_since_epoch() -
                          std::chrono::milliseconds(Entry.StartedAt);
  Demands.Cold.onUnknownSince(
      now - std::max(core::Duration::zero(),
                     std::chrono::duration_cast<core::Duration>(sinceStart)));
}

bool Leaf::setEvacuated(bool evacuated, core::TimePoint now) {
  if (evacuated == Evacuated)
    return false;
  Evacuated = evacuated;
  if (!evacuated)
    Demands.Cold.onUnknownSince(now);
  return true;
}

void Leaf::cancelUnsent() {
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

std::shared_ptr<SuspectedLeaf> Leaf::watchEnding() {
  auto ending = Ending.lock();
  if (!ending) {
    ending = std::make_shared<SuspectedLeaf>(
        SuspectedLeaf{.Run = run(), .Sign = LeafSign::None});
    Ending = ending;
  }
  return ending;
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
  connection->onUnexpectedClose([weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && self->OnUnexpectedClose)
      self->OnUnexpectedClose();
  });
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
  if (!acceptsRequests())
    return connection->close();
  Idle.push_back(std::move(connection));
}

} // namespace savorytrestle::leaf
