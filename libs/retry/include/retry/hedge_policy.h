#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "retry/retry_budget.h"

namespace coltsfoot::retry {

/// Histogram with exponential buckets that estimates percentiles of a service's latency over
/// roughly the last thousand answers.
class latency_histogram {
 public:
  /// Adds one sample.
  void Record(core::nanoseconds latency) noexcept;
  /// @param percentile in the open interval (0, 100).
  /// @return an upper bound within 10 % of the percentile; `nullopt` with fewer than 50 samples.
  std::optional<core::nanoseconds> Percentile(double percentile) const noexcept;

 private:
  static constexpr std::size_t kBucketCount = 160;

  std::array<std::uint32_t, kBucketCount> counts_{};
  std::uint32_t total_ = 0;
};

/// Properties of a request that determine whether it may be hedged.
struct hedge_candidate {
  bool idempotent = false;
  bool latency_critical = false;
  core::nanoseconds time_left{0};  ///< until the deadline

  bool operator==(const hedge_candidate&) const = default;
};

/// Hedging policy of one service. A hedge is a second attempt at another target, sent when the
/// first has not been answered within the configured percentile of the latency. Each hedge takes a
/// token from the retry budget.
class hedge_policy {
 public:
  /// Applies the settings `hedge.enabled` and `hedge.after_percentile`.
  void Configure(bool enabled, double after_percentile) noexcept;
  /// Records the latency of a first attempt that was answered.
  void Record(core::nanoseconds latency) noexcept { latencies_.Record(latency); }

  /// Counts a request and computes its hedge delay.
  /// @return the delay after which to call `TryHedge`; `nullopt` if the request must not be hedged.
  std::optional<core::nanoseconds> PlanHedge(const hedge_candidate& request) noexcept;

  /// Takes a token for a hedge whose delay has elapsed.
  /// @return false if hedging is disabled or the budget is exhausted.
  bool TryHedge(retry_budget& budget) noexcept;

  /// Counts a hedge that was answered before the first attempt.
  void RecordWin() noexcept { wins_ += 1; }

  std::uint64_t requests() const noexcept { return requests_; }
  std::uint64_t hedges() const noexcept { return hedges_; }
  std::uint64_t wins() const noexcept { return wins_; }
  /// @return the number of hedges per request; 0 before the first request.
  double hedge_ratio() const noexcept;

 private:
  latency_histogram latencies_;
  bool enabled_ = false;
  double after_percentile_ = 95;
  std::uint64_t requests_ = 0;
  std::uint64_t hedges_ = 0;
  std::uint64_t wins_ = 0;
};

}  // namespace coltsfoot::retry
