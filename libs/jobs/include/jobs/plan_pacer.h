#pragma once

#include <algorithm>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Spaces the coordinator's plans, so that placing takes a bounded share of its host, however large
/// the fleet and the queue are. What arrives in between is planned for together.
class plan_pacer {
 public:
  /// Longest pause between two plans: a start may wait for it.
  static constexpr core::milliseconds kMaxPause{40};
  /// Pause after a plan, as a multiple of its time.
  static constexpr int kPauseFactor = 4;

  /// Records a plan.
  void Record(core::mono_time began, core::mono_time ended) {
    const core::nanoseconds pause = kPauseFactor * (ended - began);
    next_ = ended + std::min<core::nanoseconds>(pause, kMaxPause);
  }
  /// @return true if the next plan is due.
  bool IsDue(core::mono_time now) const { return now >= next_; }

 private:
  core::mono_time next_;
};

}  // namespace coltsfoot::jobs
