#include "savorytrestle/core/rates/LentShare.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

/// Part of the owned share that is kept for borrowers without a loan. Its
/// credit is handed over on request, so it isn't lost to a single borrower.
constexpr double Reserve = 0.2;

/// Part that a borrower gets: what it wants, at most its part in proportion to
/// the wants of all if these exceed the pool.
double shareOut(double pool, double lentToOthers, double wanted,
                double allWanted) {
  const double fair =
      allWanted > pool ? pool * wanted / std::max(allWanted, 1e-12) : wanted;
  return std::max(0.0, std::min(fair, pool - lentToOthers));
}

} // namespace

void LentShare::setQuota(const RateQuota &quota, TimePoint now) {
  if (quota == Quota)
    return;
  Quota = quota;
  updateUnlent(now);
}

void LentShare::setOwned(double share, Duration wait, TimePoint now) {
  updateUnlent(now);
  Owned.set(share, wait, now);
  updateUnlent(now);
}

void LentShare::dropExpired(TimePoint now) {
  std::erase_if(Loans,
                [now](const auto &loan) { return loan.second.Until <= now; });
}

LentShare::Totals LentShare::totals() const {
  Totals sum;
  for (const auto &[borrower, loan] : Loans) {
    sum.Rate += loan.Rate;
    sum.Size += loan.Size;
    sum.WantedRate += loan.WantedRate;
    sum.WantedSize += loan.WantedSize;
  }
  return sum;
}

void LentShare::updateUnlent(TimePoint now) {
  const double owned = Owned.usable(now);
  dropExpired(now);
  const Totals lent = totals();
  Unlent.setRule(std::max(0.0, owned - lent.Rate) * Quota.Rate,
                 std::max(0.0, owned - lent.Size) * Quota.Size, now);
  if (FillPending && Unlent.size() > 0) {
    FillPending = false;
    Unlent.add(Unlent.size(), now);
  }
}

double LentShare::lent(TimePoint now) {
  dropExpired(now);
  return totals().Rate;
}

RateGrant LentShare::grant(const std::string &borrower, std::uint64_t sequence,
                           const RateAsk &ask, bool mayLend, TimePoint now) {
  RateGrant grant{ask.Workspace};
  updateUnlent(now);
  const bool isNew = Loans.count(borrower) == 0;
  if (!isNew && sequence <= Loans[borrower].Sequence)
    return grant;
  if (Quota.Rate <= 0 || Quota.Size <= 0)
    return grant;
  const double owned = Owned.usable(now);
  if ((!mayLend || owned <= 0) && isNew)
    return grant;
  Loan &loan = Loans[borrower];
  loan.Sequence = sequence;
  // The borrower has cut what it holds before it asked, and late replies to
  // earlier messages are not used.
  loan.Rate = std::min(loan.Rate, ask.HoldsRate);
  loan.Size = std::min(loan.Size, ask.HoldsSize);
  loan.WantedRate = std::min(1.0, ask.Rate / Quota.Rate);
  loan.WantedSize = std::min(1.0, ask.Size / Quota.Size);
  if (mayLend)
    loan.Until = now + RateLease + RateLeaseMargin;
  updateUnlent(now);
  Unlent.add(ask.Returned, now);
  if (!mayLend)
    return grant;
  grant.Lends = true;
  const Totals all = totals();
  const double pool = isNew ? owned : owned * (1 - Reserve);
  grant.Rate =
      shareOut(pool, all.Rate - loan.Rate, loan.WantedRate, all.WantedRate);
  grant.Size =
      shareOut(pool, all.Size - loan.Size, loan.WantedSize, all.WantedSize);
  // Less than one request can't be spent.
  const double one = 1 / Quota.Size;
  if (ask.Size >= 1 && grant.Size < one)
    grant.Size = owned - (all.Size - loan.Size) >= one ? one : 0;
  if (grant.Size <= 0)
    grant.Rate = 0;
  loan.Rate = std::max(loan.Rate, grant.Rate);
  loan.Size = std::max(loan.Size, grant.Size);
  if (grant.Size <= 0)
    return grant;
  const double credit = Unlent.credit(now);
  const bool scarce = all.WantedRate > pool;
  const double most =
      scarce ? std::max(1.0, credit * loan.WantedRate / all.WantedRate)
             : credit;
  // Credit for which no room is left here goes along with the room.
  const double excess =
      credit - std::max(0.0, owned - totals().Size) * Quota.Size;
  grant.Credit = Unlent.take(std::max(std::min(ask.Credit, most), excess), now);
  updateUnlent(now);
  return grant;
}

} // namespace savorytrestle::core
