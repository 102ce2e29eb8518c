#include "savorytrestle/core/rates/BorrowedCredit.h"

#include <algorithm>
#include <cmath>

namespace savorytrestle::core {

namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

constexpr double FastAverage = 1;
constexpr double SlowAverage = 5;
/// Rate asked for in relation to the average, so that most changes of demand
/// find a grant with room.
constexpr double Headroom = 1.4;
/// Seconds of the wanted rate that may come at once.
constexpr double BurstSeconds = 1.5;
/// Seconds of the wanted rate for which credit is kept in hand.
constexpr double CreditSeconds = 0.7;
/// A single caller's requests often come in pairs.
constexpr double MinSize = 2;
/// A missing rate below this is not asked of a further lender, where the loan's
/// size of a whole request would be missed by other hosts.
constexpr double MinRate = 0.5;
/// Grants are kept for a while without requests, so that an occasional caller
/// doesn't wait each time.
constexpr milliseconds Linger{10000};
/// A quarter of the lease: three renewals may fail.
constexpr milliseconds RenewInterval{1000};
constexpr milliseconds UrgentInterval{250};
constexpr milliseconds DeniedBackoff{500};
constexpr milliseconds UnreachableBackoff{1000};
/// Longest wait told to refused callers; their deadlines are shorter.
constexpr milliseconds MaxRetryAfter{5000};
constexpr milliseconds MinRetryAfter{50};

Duration seconds(double count) {
  return std::chrono::duration_cast<Duration>(Seconds(count));
}

} // namespace

void BorrowedCredit::setQuota(const RateQuota &quota, TimePoint now) {
  if (quota == Quota)
    return;
  advance(now);
  Quota = quota;
  applyGrants(now);
}

void BorrowedCredit::setLenders(const std::vector<std::string> &lenders) {
  std::vector<Slot> slots;
  for (const std::string &lender : lenders) {
    const Slot *const old = find(lender);
    slots.push_back(old ? *old : Slot{.Lender = lender});
    slots.back().Current = true;
  }
  for (Slot &slot : Slots)
    if (std::find(lenders.begin(), lenders.end(), slot.Lender) ==
            lenders.end() &&
        (slot.Rate > 0 || slot.Size > 0)) {
      slot.Current = false;
      slots.push_back(std::move(slot));
    }
  Slots = std::move(slots);
}

void BorrowedCredit::setFloor(double share, TimePoint now) {
  Floor.set(Quota.Rate, now);
  Floor.setShare(share);
}

void BorrowedCredit::average(double arrivals, TimePoint now) {
  if (now > AveragedAt) {
    const double passed = Seconds(now - AveragedAt).count();
    FastRate *= std::exp(-passed / FastAverage);
    SlowRate *= std::exp(-passed / SlowAverage);
    AveragedAt = now;
  }
  FastRate += arrivals / FastAverage;
  SlowRate += arrivals / SlowAverage;
}

void BorrowedCredit::onArrival(TimePoint now) {
  average(1, now);
  LastArrival = now;
}

void BorrowedCredit::advance(TimePoint now) {
  // Each grant ends at its time, also if the host was suspended then.
  while (true) {
    Slot *first = nullptr;
    for (Slot &slot : Slots)
      if ((slot.Rate > 0 || slot.Size > 0) && slot.Until <= now &&
          (!first || slot.Until < first->Until))
        first = &slot;
    if (first == nullptr)
      break;
    first->Rate = 0;
    first->Size = 0;
    applyGrants(first->Until);
  }
  std::erase_if(Slots, [](const Slot &slot) {
    return !slot.Current && slot.Rate <= 0 && slot.Size <= 0;
  });
}

void BorrowedCredit::applyGrants(TimePoint now) {
  double rate = 0;
  double size = 0;
  for (const Slot &slot : Slots) {
    rate += slot.Rate;
    size += slot.Size;
  }
  Bucket.setRule(rate * Quota.Rate, size * Quota.Size, now);
}

BorrowedCredit::Slot *BorrowedCredit::find(const std::string &lender) {
  const auto it =
      std::find_if(Slots.begin(), Slots.end(),
                   [&](const Slot &slot) { return slot.Lender == lender; });
  return it == Slots.end() ? nullptr : &*it;
}

CreditSource BorrowedCredit::trySpend(double draw, TimePoint now) {
  advance(now);
  if (Bucket.trySpend(now))
    return CreditSource::Grant;
  const double chance = Floor.sendChance(now);
  if (chance > 0 && draw < chance) {
    Floor.onSend(now);
    return CreditSource::Floor;
  }
  Floor.onDrawLost(now);
  return CreditSource::None;
}

void BorrowedCredit::refund(CreditSource source, TimePoint now) {
  advance(now);
  if (source == CreditSource::Grant)
    Bucket.refund(now);
}

void BorrowedCredit::settle(CreditSource source) {
  if (source == CreditSource::Grant)
    Bucket.settle();
}

RateQuota BorrowedCredit::wanted(std::size_t waiting, TimePoint now) {
  average(0, now);
  if (LastArrival == TimePoint{} || now - LastArrival > Linger)
    return {};
  RateQuota need;
  need.Rate = std::min(Quota.Rate, Headroom * std::max(FastRate, SlowRate));
  need.Size =
      std::min(Quota.Size, std::max({MinSize, BurstSeconds * need.Rate,
                                     static_cast<double>(waiting) + 1}));
  return need;
}

RateAsk BorrowedCredit::makeAsk(Slot &slot, const RateQuota &need,
                                double credit, TimePoint now) {
  slot.InFlight = true;
  slot.AskedAt = now;
  slot.Rate = std::min(slot.Rate, need.Rate / Quota.Rate);
  slot.Size = std::min(slot.Size, need.Size / Quota.Size);
  const double before = Bucket.credit(now);
  applyGrants(now);
  RateAsk ask;
  // At a small rate, credit that no longer fits would be missed elsewhere.
  ask.Returned = before - Bucket.credit(now);
  ask.HoldsRate = slot.Rate;
  ask.HoldsSize = slot.Size;
  ask.Rate = need.Rate;
  ask.Size = need.Size;
  ask.Credit = need.Size > 0 ? credit : 0;
  return ask;
}

bool BorrowedCredit::isDue(const Slot &slot, bool urgent, bool wanted,
                           TimePoint now) {
  const bool holds = slot.Rate > 0 || slot.Size > 0;
  if (!slot.Current || slot.InFlight || now < slot.AskAfter ||
      (!wanted && !holds))
    return false;
  if (!holds)
    return true;
  return now - slot.AskedAt >=
         (urgent && wanted ? UrgentInterval : RenewInterval);
}

std::vector<std::pair<std::string, RateAsk>>
BorrowedCredit::takeDue(std::size_t waiting, TimePoint now) {
  std::vector<std::pair<std::string, RateAsk>> asks;
  if (Quota.Rate <= 0 || Quota.Size <= 0 || idle(now))
    return asks;
  const RateQuota all = wanted(waiting, now);
  const bool none = !hasGrant(now);
  const double inHand = Bucket.credit(now);
  const double target =
      std::min(all.Size, std::max(static_cast<double>(waiting) + 1,
                                  1 + CreditSeconds * all.Rate));
  const bool urgent = waiting > 0 || inHand < target / 2;
  RateQuota left = all;
  for (Slot &slot : Slots) {
    if (!slot.Current)
      continue;
    RateQuota need{left.Rate > std::max(all.Rate / 20, MinRate) ? left.Rate : 0,
                   left.Size >= 1 ? left.Size : 0};
    if (none)
      need = all;
    // The others may have credit that the lenders before them lack.
    if (need.Size <= 0 && waiting > 0)
      need.Size = std::min(1.0, Quota.Size);
    if (need.Rate > 0)
      need.Size = std::max(need.Size, std::min(1.0, Quota.Size));
    // Each of the lenders asked at once may bring the credit that is missing.
    const double credit = none ? std::max(1.0, static_cast<double>(waiting))
                               : std::max(0.0, target - inHand);
    if (isDue(slot, urgent, need.Size > 0, now))
      asks.emplace_back(slot.Lender, makeAsk(slot, need, credit, now));
    // The first request of a workspace asks all lenders at once, since any of
    // them may be unreachable and the caller waits only shortly.
    if (none)
      continue;
    left.Rate -= slot.Rate * Quota.Rate;
    left.Size -= slot.Size * Quota.Size;
  }
  return asks;
}

void BorrowedCredit::onGrant(const std::string &lender, const RateGrant &grant,
                             TimePoint askedAt, TimePoint now) {
  advance(now);
  Slot *const slot = find(lender);
  if (slot == nullptr)
    return;
  slot->InFlight = false;
  slot->Unreachable = false;
  slot->AskAfter = now;
  if (!grant.Lends || grant.Size <= 0)
    slot->AskAfter = now + DeniedBackoff;
  if (!grant.Lends || now >= askedAt + RateLease)
    return;
  slot->Rate = grant.Rate;
  slot->Size = grant.Size;
  slot->Until = askedAt + RateLease;
  applyGrants(now);
  if (grant.Size <= 0)
    return;
  Bucket.add(grant.Credit, now);
  LastGrant = now;
}

void BorrowedCredit::onNoReply(const std::string &lender, TimePoint now) {
  if (Slot *const slot = find(lender)) {
    slot->InFlight = false;
    slot->Unreachable = true;
    slot->AskAfter = now + UnreachableBackoff;
  }
}

bool BorrowedCredit::expectsGrant() const {
  return std::any_of(Slots.begin(), Slots.end(), [](const Slot &slot) {
    return slot.InFlight && !slot.Unreachable;
  });
}

bool BorrowedCredit::hasGrant(TimePoint now) {
  advance(now);
  return std::any_of(Slots.begin(), Slots.end(),
                     [](const Slot &slot) { return slot.Size > 0; });
}

Duration BorrowedCredit::retryAfter(TimePoint now) {
  advance(now);
  // Other hosts' grants may serve the retry, so the wait needn't be as long as
  // this host's rate alone has it.
  const double rate = std::max({Bucket.rate(), Quota.Rate / 10, 0.1});
  BookedUntil = std::min(std::max(BookedUntil, now) + seconds(1 / rate),
                         now + MaxRetryAfter);
  return std::max<Duration>(BookedUntil - now, MinRetryAfter);
}

bool BorrowedCredit::idle(TimePoint now) {
  return now - LastArrival > Linger && !hasGrant(now);
}

double BorrowedCredit::credit(TimePoint now) {
  advance(now);
  return Bucket.credit(now);
}

double BorrowedCredit::heldRate() const {
  double rate = 0;
  for (const Slot &slot : Slots)
    rate += slot.Rate;
  return rate;
}

std::optional<Duration> BorrowedCredit::grantAge(TimePoint now) const {
  if (LastGrant == TimePoint{})
    return std::nullopt;
  return now - LastGrant;
}

} // namespace savorytrestle::core
