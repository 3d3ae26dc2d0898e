#pragma once

#include <cstddef>

#include "core/clock.h"

namespace coltsfoot::wire {

/// Bytes per second of usage reports that one entry requests from all its agents together: a third
/// of what the design allows a node for control traffic.
inline constexpr double kUsageBytesPerSecond = 10'000;

/// Computes how often agents should report usage, so that the traffic at an entry stays within
/// `kUsageBytesPerSecond` for any number of workers and tasks.
class usage_report_limiter {
 public:
  /// Updates the mean report size.
  /// @param frame_bytes size of a received report, frame header included.
  void Observe(std::size_t frame_bytes);
  /// @return the minimum time between two reports of each of `workers` workers; zero if no limit is
  /// needed, at most `kMaxInterval`.
  core::milliseconds Interval(std::size_t workers) const;

  /// Estimates of interference need some reports an hour even from the largest fleet.
  static constexpr core::milliseconds kMaxInterval{120'000};

 private:
  double mean_bytes_ = 0;
};

}  // namespace coltsfoot::wire
