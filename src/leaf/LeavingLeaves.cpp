#include "leaf/LeavingLeaves.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace savorytrestle::leaf {

std::string formatLeavingLeaves(const std::vector<core::LeafRun> &runs) {
  return absl::StrJoin(runs, ",", [](std::string *out, const auto &run) {
    absl::StrAppend(out, run.Id, " ", run.Address, " ", run.StartedAt);
  });
}

std::vector<core::LeafRun> parseLeavingLeaves(std::string_view text) {
  std::vector<core::LeafRun> runs;
  for (const std::string &entry : std::vector<std::string>(
           absl::StrSplit(std::string(text), ',', absl::SkipEmpty()))) {
    const std::vector<std::string> fields = absl::StrSplit(entry, ' ');
    core::LeafRun run;
    if (fields.size() != 3 || fields[0].empty() ||
        !absl::SimpleAtoi(fields[2], &run.StartedAt))
      continue;
    run.Id = fields[0];
    run.Address = fields[1];
    runs.push_back(std::move(run));
  }
  return runs;
}

} // namespace savorytrestle::leaf
