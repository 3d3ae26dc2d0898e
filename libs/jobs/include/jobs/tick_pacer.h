#pragma once

#include <algorithm>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Spaces the coordinator's ticks, so that placing takes a bounded share of its host, however large
/// the fleet and the queue are. Events that arrive in between are planned for together.
class tick_pacer {
 public:
  /// Shortest time between two ticks: far below what callers notice.
  static constexpr core::milliseconds kLeastPause{8};
  /// Longest one: a start may wait for it.
  static constexpr core::milliseconds kLongestPause{60};
  /// Pause after a tick, as a multiple of its time.
  static constexpr int kPauseFactor = 9;

  /// Records a tick.
  void Note(core::mono_time began, core::mono_time ended) {
    const core::nanoseconds pause = kPauseFactor * (ended - began);
    next_ = ended + std::clamp<core::nanoseconds>(pause, kLeastPause, kLongestPause);
  }
  /// @return how long the next tick has to wait; zero or less: it is due.
  core::nanoseconds Wait(core::mono_time now) const { return next_ - now; }

 private:
  core::mono_time next_;
};

}  // namespace coltsfoot::jobs
