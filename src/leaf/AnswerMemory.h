#ifndef SAVORYTRESTLE_LEAF_ANSWER_MEMORY_H
#define SAVORYTRESTLE_LEAF_ANSWER_MEMORY_H

/// @file
/// @brief Bounds on the bytes that unfinished answers of leaves take, so that
/// leaves that never end an answer don't fill the host's memory.

#include <algorithm>
#include <cstddef>

namespace savorytrestle::leaf {

/// @brief Limits on answers, in bytes.
struct AnswerLimits {
  /// Largest body of one answer.
  std::size_t MaxAnswer = 1 << 20;
  /// All unfinished answers together.
  std::size_t MaxUnfinished = 64 << 20;
};

/// @brief Counts the bytes of the unfinished answers of all connections.
class AnswerMemory {
public:
  explicit AnswerMemory(const AnswerLimits &limits) : Bounds(limits) {}

  const AnswerLimits &limits() const { return Bounds; }

  /// @brief Replaces the limits; they hold for answers that begin later.
  void setLimits(const AnswerLimits &limits) { Bounds = limits; }

  /// @brief Counts received bytes.
  /// @return false, without effect, if they exceed the limit
  bool tryAdd(std::size_t bytes) {
    if (Held + bytes > Bounds.MaxUnfinished)
      return false;
    Held += bytes;
    Peak = std::max(Peak, Held);
    return true;
  }

  /// @brief Ends the count of bytes, as their answer is finished or dropped.
  void release(std::size_t bytes) { Held -= bytes; }

  std::size_t held() const { return Held; }
  /// @brief Most bytes held at any time.
  std::size_t peak() const { return Peak; }

private:
  AnswerLimits Bounds;
  std::size_t Held = 0;
  std::size_t Peak = 0;
};

} // namespace savorytrestle::leaf

#endif
