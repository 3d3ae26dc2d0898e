#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "retry/retry_budget.h"

namespace coltsfoot::retry {

/// Estimates percentiles of a service's latency over roughly the last thousand answers.
class latency_histogram {
 public:
  /// Adds one latency.
  void Record(core::nanoseconds latency) noexcept;
  /// @param percentile in (0, 100).
  /// @return an upper bound within 10 % of the percentile; nothing with fewer than 50 latencies.
  std::optional<core::nanoseconds> Percentile(double percentile) const noexcept;

 private:
  static constexpr std::size_t kBucketCount = 160;

  std::array<std::uint32_t, kBucketCount> counts_{};
  std::uint32_t total_ = 0;
};

/// What decides whether a request may be hedged.
struct hedge_candidate {
  bool idempotent = false;
  bool latency_critical = false;
  core::nanoseconds time_left{0};  ///< until the deadline

  bool operator==(const hedge_candidate&) const = default;
};

/// Hedging of one service: a second attempt at another target when the first has not answered
/// after the given percentile of the latency. Hedges are paid from the retry budget.
class hedge_policy {
 public:
  /// Sets `hedge.enabled` and `hedge.after_percentile`.
  void Configure(bool enabled, double after_percentile) noexcept;
  /// Adds the latency of a first attempt that was answered.
  void Record(core::nanoseconds latency) noexcept { latencies_.Record(latency); }

  /// Counts a request and says when to hedge it.
  /// @return the delay after which to call `TryHedge`; nothing if the request is not to be hedged.
  std::optional<core::nanoseconds> Plan(const hedge_candidate& request) noexcept;

  /// Takes a token for a hedge whose delay has passed.
  /// @return false if the budget is used up.
  bool TryHedge(retry_budget& budget) noexcept;

  /// Counts a hedge whose answer came before that of the first attempt.
  void RecordWin() noexcept { wins_ += 1; }

  std::uint64_t requests() const noexcept { return requests_; }
  std::uint64_t hedges() const noexcept { return hedges_; }
  std::uint64_t wins() const noexcept { return wins_; }
  /// @return hedges per request; 0 without requests.
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
