#pragma once

#include <cstdint>

#include "core/clock.h"

namespace coltsfoot::admission {

/// Parameters of the adaptive concurrency limit.
struct concurrency_options {
  double initial = 4;  ///< limit at the start
  double min = 1;      ///< lower bound of the limit
  double max = 64;     ///< upper bound of the limit; a worker has 64 connections
  /// Latency above this multiple of the minimum latency indicates queueing inside the target.
  double tolerance = 2.0;
  /// Absolute excess over the minimum latency that is tolerated in addition to `tolerance`.
  /// Prevents timer noise from lowering the limit of a service that answers within microseconds.
  core::nanoseconds latency_slack = core::milliseconds{2};
  /// Minimum time over which latency is averaged before the limit is adjusted.
  core::nanoseconds window = core::milliseconds{100};
  /// Minimum number of answers, or of overloaded attempts, before the limit is adjusted. The limit
  /// decreases after a window with more than one overloaded attempt per this many answers.
  std::uint32_t min_window_samples = 8;
  /// Time between measurements of the minimum latency. Under steady load, each measurement reduces
  /// the limit to a quarter for one window; otherwise, queueing that the limit itself allows would
  /// be mistaken for the minimum.
  core::nanoseconds probe_interval = std::chrono::seconds{10};
  /// Fraction of the difference by which a measurement raises the minimum latency, so that the
  /// limit adapts to a service that has become permanently slower. A lower measurement replaces the
  /// minimum immediately.
  double minimum_rise_factor = 0.5;

  bool operator==(const concurrency_options&) const = default;
};

/// Outcome of an attempt, classified by what it tells the limit about the load of the target.
enum class load_signal : std::uint8_t {
  answered,    ///< the latency is a sample
  overloaded,  ///< the target refused for lack of capacity or timed out
  ignored,     ///< no information about the load, for example a cancelled attempt
};

/// Adaptive limit on the requests that one entry has in flight at one target. The limit increases
/// by one per window while latency stays near a slowly adapting minimum and most of the limit is in
/// use. It decreases multiplicatively when latency rises or attempts are overloaded. Only
/// measurements at low concurrency raise the minimum.
class concurrency_limit {
 public:
  explicit concurrency_limit(concurrency_options options = {});

  /// Reserves capacity for one attempt.
  /// @return false if the limit is reached (result code `concurrency_limit`).
  bool TryAcquire() noexcept;
  /// @return true if `TryAcquire` would succeed.
  bool CanAcquire() const noexcept;
  /// Releases the capacity of one attempt. Call once for each successful `TryAcquire`.
  /// @param latency time from dispatch to answer; used only for `answered`.
  void Release(load_signal signal, core::nanoseconds latency, core::mono_time now) noexcept;

  /// @return the current limit, rounded down to whole requests.
  std::uint32_t limit() const noexcept { return static_cast<std::uint32_t>(limit_); }
  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// @return the estimated latency without queueing; 0 before the first measurement.
  core::nanoseconds minimum_latency() const noexcept;

 private:
  std::uint32_t ProbeLimit() const noexcept;
  void CountAttempt(load_signal signal, core::nanoseconds latency) noexcept;
  void EndWindow(core::mono_time now) noexcept;
  void StartWindow(core::mono_time now) noexcept;
  void UpdateMinimum(double average_ns, bool low_concurrency, core::mono_time now) noexcept;
  void AdjustLimit(double average_ns) noexcept;

  concurrency_options options_;
  double limit_;
  std::uint32_t in_flight_ = 0;
  double minimum_latency_ns_ = 0;
  core::mono_time window_start_{};
  double latency_sum_ns_ = 0;
  std::uint32_t window_answers_ = 0;
  std::uint32_t window_overloads_ = 0;
  std::uint32_t window_peak_ = 0;
  core::mono_time next_probe_{};
  bool probing_ = false;
  std::uint32_t attempts_before_probe_ = 0;  ///< in flight since before the probe; not sampled
};

}  // namespace coltsfoot::admission
