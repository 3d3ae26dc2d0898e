#pragma once

#include <algorithm>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Limits how often the coordinator plans, so that placement takes a bounded share of the processor
/// time regardless of the size of the fleet and of the queue. Changes between two plans are
/// batched.
class plan_pacer {
 public:
  /// Maximum pause between two plans, and so the delay that it may add to a start.
  static constexpr core::milliseconds kMaxPause{40};
  /// Pause after a plan, as a multiple of the plan's duration.
  static constexpr int kPauseFactor = 4;

  /// Records when a plan ran and schedules the next one.
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
