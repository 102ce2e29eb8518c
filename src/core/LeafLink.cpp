#include "savorytrestle/core/LeafLink.h"

#include <algorithm>

namespace savorytrestle::core {

namespace {

using std::chrono::milliseconds;

/// Leaves that must have failed without a success in between.
constexpr std::size_t MinSuspects = 3;
/// Age from which a failure is ignored.
constexpr milliseconds MaxSuspectAge{3000};
/// Times between rounds of probes, under suspicion and while links are lost.
constexpr milliseconds SuspicionProbeInterval{1000};
constexpr milliseconds LostProbeInterval{300};
/// Less than it takes to notice that all links are silent.
constexpr milliseconds AnswerRecency{200};

} // namespace

void LeafLink::onConnected() {
  Unreachable.clear();
  Silent.clear();
}

void LeafLink::onAnswer(TimePoint now) {
  LastAnswer = now;
  Silent.clear();
}

void LeafLink::onConnectFailed(const std::string &leaf, TimePoint now) {
  Unreachable[leaf] = now;
}

void LeafLink::onSilence(const std::string &leaf, TimePoint sentAt,
                         TimePoint now) {
  if (LastAnswer <= sentAt)
    Silent[leaf] = now;
}

std::size_t LeafLink::countRecent(Suspects &suspects, TimePoint now) {
  std::erase_if(suspects, [now](const auto &it) {
    return now - it.second > MaxSuspectAge;
  });
  return suspects.size();
}

bool LeafLink::answersArrive(TimePoint now) const {
  return now - LastAnswer < AnswerRecency;
}

bool LeafLink::probeDue(TimePoint now) {
  if (now < NextProbe)
    return false;
  return Lost || countRecent(Unreachable, now) >= MinSuspects ||
         countRecent(Silent, now) >= MinSuspects;
}

void LeafLink::onProbesStarted(TimePoint now) {
  NextProbe = now + (Lost ? LostProbeInterval : SuspicionProbeInterval);
}

bool LeafLink::onProbesEnded(std::size_t connected, std::size_t failed) {
  const bool before = Lost;
  if (Lost)
    Lost = connected <= failed;
  else
    Lost = connected == 0 && failed >= MinSuspects;
  if (connected > 0)
    onConnected();
  return Lost != before;
}

} // namespace savorytrestle::core
