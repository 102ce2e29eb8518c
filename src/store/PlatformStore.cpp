#include "store/PlatformStore.h"

#include <algorithm>

#include "platform/StoreProtocol.h"
#include "support/SocketOptions.h"

namespace savorytrestle::store {

using core::ErrorCode;
using core::makeError;
using core::Result;
using std::chrono::milliseconds;

namespace {

/// Longest wait that the store accepts for a watch.
constexpr milliseconds MaxWatchWait{30000};
/// Time allowed for a call in addition to the wait that it requests.
constexpr milliseconds CallAllowance{1000};

constexpr unsigned ServerErrors = 500;

} // namespace

PlatformStore::PlatformStore(const std::string &address)
    : Io(std::make_unique<boost::asio::io_context>()) {
  boost::asio::ip::tcp::endpoint endpoint;
  if (support::parseEndpoint(address, endpoint))
    Connection = std::make_shared<StoreConnection>(*Io, endpoint, Eras);
}

PlatformStore::~PlatformStore() {
  if (Connection)
    Connection->close();
}

Result<StoreReply> PlatformStore::call(const StoreCall &call,
                                       milliseconds timeout) {
  if (!Connection)
    return makeError(ErrorCode::StoreUnavailable,
                     "the store's address is not of the form \"ip:port\"");
  std::optional<StoreReply> reply;
  Connection->call(call, timeout,
                   [&reply](StoreReply got) { reply = std::move(got); });
  Io->restart();
  while (!reply)
    Io->run_one();
  if (reply->Status == 0)
    return makeError(reply->MayHaveExecuted ? ErrorCode::OutcomeUnknown
                                            : ErrorCode::StoreUnavailable,
                     "no reply from the store: " + reply->Error);
  if (reply->Status == platform::StatusRateLimited ||
      reply->Status == platform::StatusUnavailable)
    return makeError(ErrorCode::StoreUnavailable,
                     "the store refused the call with status " +
                         std::to_string(reply->Status));
  if (reply->Status >= ServerErrors)
    return makeError(ErrorCode::OutcomeUnknown,
                     "the store reported a server error: " + reply->Body);
  return std::move(*reply);
}

Result<bool> PlatformStore::write(const StoreTransaction &transaction,
                                  milliseconds timeout) {
  const auto reply = call(platform::encodeTransaction(transaction), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  if (reply->Status == platform::StatusOk)
    return true;
  if (reply->Status == platform::StatusPreconditionFailed ||
      reply->Status == platform::StatusNotFound)
    return false;
  return makeError(ErrorCode::StoreUnavailable,
                   "the store refused the write: " + reply->Body);
}

Result<std::optional<StoredItem>> PlatformStore::get(const std::string &key,
                                                     milliseconds timeout) {
  const auto reply = call(platform::encodeReadKey(key), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  if (reply->Status == platform::StatusNotFound)
    return std::optional<StoredItem>();
  auto page = platform::decodeItem(reply->Body);
  if (!page)
    return tl::unexpected(page.error());
  return std::optional<StoredItem>(std::move(page->Items.front()));
}

Result<StorePage> PlatformStore::readPages(const std::string &prefix,
                                           milliseconds timeout) {
  StorePage all;
  std::string after;
  do {
    const auto reply = call(platform::encodeReadRange(prefix, after), timeout);
    if (!reply)
      return tl::unexpected(reply.error());
    auto page = platform::decodeRange(reply->Body);
    if (!page)
      return tl::unexpected(page.error());
    // The pages are not a snapshot. A watch from the first page's revision
    // returns all changes made since.
    if (after.empty())
      all.At = page->At;
    std::move(page->Items.begin(), page->Items.end(),
              std::back_inserter(all.Items));
    all.HasMore = page->HasMore && !page->Items.empty();
    if (all.HasMore)
      after = all.Items.back().Key;
  } while (all.HasMore);
  return all;
}

Result<std::vector<StoredItem>> PlatformStore::list(const std::string &prefix,
                                                    milliseconds timeout) {
  auto all = readPages(prefix, timeout);
  if (!all)
    return tl::unexpected(all.error());
  return std::move(all->Items);
}

Result<bool> PlatformStore::compareAndSet(const std::string &key,
                                          const std::string &value,
                                          Revision revision,
                                          milliseconds timeout) {
  StoreTransaction transaction{{{key, revision}}, {{key, value, NoLease}}, {}};
  if (Guard)
    transaction.Expects.push_back(*Guard);
  return write(transaction, timeout);
}

Result<bool> PlatformStore::compareAndDelete(const std::string &key,
                                             Revision revision,
                                             milliseconds timeout) {
  return write({{{key, revision}}, {}, {key}}, timeout);
}

Result<StorePage> PlatformStore::watch(const std::string &prefix,
                                       Revision after, milliseconds wait) {
  if (after != 0) {
    const auto held = std::min(wait, MaxWatchWait);
    const auto reply =
        call(platform::encodeWatch(prefix, after, held), held + CallAllowance);
    if (!reply)
      return tl::unexpected(reply.error());
  }
  // Reads all items whatever the watch returned: it may have missed changes
  // that the store no longer has in its history.
  return readPages(prefix, CallAllowance);
}

Result<LeaseId> PlatformStore::openLease(milliseconds timeToLive,
                                         milliseconds timeout) {
  const auto reply = call(platform::encodeGrantLease(timeToLive), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  const auto lease = platform::decodeLease(reply->Body);
  if (!lease)
    return tl::unexpected(lease.error());
  return lease->Id;
}

Result<bool> PlatformStore::renewLease(LeaseId lease, milliseconds timeout) {
  const auto reply = call(platform::encodeRenewLease(lease), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  return reply->Status == platform::StatusOk;
}

Result<bool> PlatformStore::endLease(LeaseId lease, milliseconds timeout) {
  const auto reply = call(platform::encodeEndLease(lease), timeout);
  if (!reply)
    return tl::unexpected(reply.error());
  return reply->Status == platform::StatusOk;
}

Result<bool> PlatformStore::acquire(const std::string &key,
                                    const std::string &value, LeaseId lease,
                                    milliseconds timeout) {
  const auto held = get(key, timeout);
  if (!held)
    return tl::unexpected(held.error());
  const StoredItem *item = *held ? &**held : nullptr;
  if (item != nullptr && item->Lease != NoLease && item->Lease != lease)
    return false;
  return write({{{key, item != nullptr ? item->ModRevision : NoItem}},
                {{key, value, lease}},
                {}},
               timeout);
}

} // namespace savorytrestle::store
