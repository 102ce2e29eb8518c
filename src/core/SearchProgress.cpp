#include "savorytrestle/core/SearchProgress.h"

#include <algorithm>
#include <iterator>

namespace savorytrestle::core {

void SearchProgress::reset(const Snapshot &snapshot) {
  Version = snapshot.Version;
  Shards.assign(snapshot.Replicas.size(), {});
  for (ShardIndex shard = 0; shard < Shards.size(); ++shard)
    Shards[shard].UntriedReplicas = snapshot.Replicas[shard];
  UnfinishedCount = size();
  AnsweredCount = 0;
}

double SearchProgress::coverage() const {
  return Shards.empty() ? 0.0 : static_cast<double>(AnsweredCount) / size();
}

void SearchProgress::markSent(ShardIndex shard, LeafIndex leaf) {
  ShardProgress &progress = Shards[shard];
  std::erase(progress.UntriedReplicas, leaf);
  progress.State = ShardState::Pending;
  progress.FirstAttemptSent = true;
  ++progress.ActiveAttempts;
}

void SearchProgress::markAnswered(ShardIndex shard,
                                  std::vector<nlohmann::json> rows) {
  Shards[shard].State = ShardState::Answered;
  Shards[shard].Rows = std::move(rows);
  --UnfinishedCount;
  ++AnsweredCount;
}

void SearchProgress::markFailed(ShardIndex shard) {
  Shards[shard].State = ShardState::Failed;
  --UnfinishedCount;
}

SearchAnswer SearchProgress::takeAnswer(std::uint32_t extraAttempts) {
  SearchAnswer answer;
  answer.Version = Version;
  answer.ShardsTotal = size();
  answer.ShardsAnswered = AnsweredCount;
  answer.ExtraAttempts = extraAttempts;
  for (ShardIndex shard = 0; shard < Shards.size(); ++shard) {
    ShardProgress &progress = Shards[shard];
    if (progress.State != ShardState::Answered)
      answer.MissingShards.push_back(shard);
    std::move(progress.Rows.begin(), progress.Rows.end(),
              std::back_inserter(answer.Rows));
  }
  return answer;
}

std::optional<AttemptFailure> validateReply(const LeafReply &reply,
                                            ShardIndex shard,
                                            const SearchProgress &progress) {
  if (reply.Version != progress.version() ||
      reply.ShardCount != progress.size()) {
    // Version 0 and shard count 0 mean that the reply lacks the field.
    if (reply.Version == 0 || reply.ShardCount == 0)
      return AttemptFailure::Malformed;
    return AttemptFailure::WrongVersion;
  }
  const bool emptyRow =
      std::any_of(reply.Rows.begin(), reply.Rows.end(),
                  [](const nlohmann::json &row) { return row.is_null(); });
  if (reply.Shard != shard || reply.RowCount != reply.Rows.size() || emptyRow)
    return AttemptFailure::Malformed;
  return std::nullopt;
}

bool provesNotExecuted(AttemptFailure failure) {
  switch (failure) {
  case AttemptFailure::ConnectionRefused:
  case AttemptFailure::Shed:
  case AttemptFailure::Draining:
  case AttemptFailure::WrongVersion:
    return true;
  case AttemptFailure::ConnectionLost:
  case AttemptFailure::Malformed:
  case AttemptFailure::Expired:
    return false;
  }
  return false;
}

} // namespace savorytrestle::core
