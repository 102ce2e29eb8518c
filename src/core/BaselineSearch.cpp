#include "savorytrestle/core/BaselineSearch.h"

#include <iterator>

namespace savorytrestle::core {

BaselineSearch::BaselineSearch(Snapshot snapshot, TimePoint deadline)
    : PinnedSnapshot(std::move(snapshot)), Deadline(deadline),
      Answered(PinnedSnapshot.Replicas.size(), false) {
  Answer.Version = PinnedSnapshot.Version;
  Answer.ShardsTotal =
      static_cast<std::uint32_t>(PinnedSnapshot.Replicas.size());
}

std::vector<SearchAction> BaselineSearch::start(TimePoint /*now*/, Rng &rng) {
  std::vector<SearchAction> actions;
  for (ShardIndex shard = 0; shard < PinnedSnapshot.Replicas.size(); ++shard) {
    const auto &replicas = PinnedSnapshot.Replicas[shard];
    if (replicas.empty())
      continue;
    std::uniform_int_distribution<std::size_t> index(0, replicas.size() - 1);
    const AttemptId id = shard;
    Pending.emplace(id, shard);
    actions.emplace_back(SendAttempt{id, replicas[index(rng)], shard,
                                     PinnedSnapshot.Version, Deadline, false});
  }
  if (Pending.empty())
    return finishIfDone();
  return actions;
}

std::vector<SearchAction>
BaselineSearch::onReply(LeafReply reply, TimePoint /*now*/, Rng & /*rng*/) {
  const auto it = Pending.find(reply.Id);
  if (it == Pending.end())
    return {};
  const ShardIndex shard = it->second;
  Pending.erase(it);
  const bool matchesAttempt = reply.Shard == shard &&
                              reply.Version == PinnedSnapshot.Version &&
                              reply.RowCount == reply.Rows.size();
  if (matchesAttempt) {
    Answered[shard] = true;
    std::move(reply.Rows.begin(), reply.Rows.end(),
              std::back_inserter(Answer.Rows));
  }
  return finishIfDone();
}

std::vector<SearchAction> BaselineSearch::onFailure(AttemptId id,
                                                    AttemptFailure /*failure*/,
                                                    TimePoint /*now*/,
                                                    Rng & /*rng*/) {
  Pending.erase(id);
  return finishIfDone();
}

std::vector<SearchAction> BaselineSearch::onTimer(TimePoint now,
                                                  Rng & /*rng*/) {
  if (Finished || now < Deadline)
    return {};
  std::vector<SearchAction> actions;
  for (const auto &[id, shard] : Pending)
    actions.emplace_back(CancelAttempt{id});
  Pending.clear();
  for (auto &action : finishIfDone())
    actions.push_back(action);
  return actions;
}

std::optional<TimePoint> BaselineSearch::nextTimer() const {
  if (Finished)
    return std::nullopt;
  return Deadline;
}

SearchAnswer BaselineSearch::takeAnswer() {
  for (ShardIndex shard = 0; shard < Answered.size(); ++shard) {
    if (Answered[shard])
      ++Answer.ShardsAnswered;
    else
      Answer.MissingShards.push_back(shard);
  }
  return std::move(Answer);
}

std::vector<SearchAction> BaselineSearch::finishIfDone() {
  if (Finished || !Pending.empty())
    return {};
  Finished = true;
  return {FinishSearch{}};
}

} // namespace savorytrestle::core
