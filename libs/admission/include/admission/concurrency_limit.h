#pragma once

#include <cstdint>

#include "core/clock.h"

namespace coltsfoot::admission {

/// Options of a concurrency limit.
struct concurrency_options {
  double initial = 4;  ///< requests in flight at the start
  double min = 1;      ///< the limit never falls below this
  double max = 64;     ///< a worker has 64 connections
  /// Latency above this multiple of the minimum means that requests wait inside the target.
  double tolerance = 2.0;
  /// Latency may exceed the minimum by this much before it counts; keeps services that answer
  /// within microseconds from reacting to timer noise.
  core::nanoseconds slack = core::milliseconds{2};
  /// Shortest time over which latency is averaged before the limit moves.
  core::nanoseconds window = core::milliseconds{100};
  /// Fewest answers in a window before the limit moves.
  std::uint32_t window_answers = 8;
  /// Time between measurements of the minimum. Under steady load the limit drops to a quarter for
  /// one window each time, because otherwise the latency that the limit itself causes would pass
  /// for the minimum.
  core::nanoseconds probe_interval = std::chrono::seconds{10};
  /// Part of the difference by which the minimum rises per measurement; it falls at once. It lets
  /// the limit follow a service that has become slower for good.
  double minimum_rise = 0.5;

  bool operator==(const concurrency_options&) const = default;
};

/// How an attempt ended, as far as the limit is concerned.
enum class attempt_end : std::uint8_t {
  answered,    ///< latency counts
  overloaded,  ///< the target refused for lack of capacity or did not answer in time
  ignored,     ///< says nothing about load, for example a cancelled attempt
};

/// Number of requests that one entry keeps in flight at one target. It rises by one per window
/// while latency stays near a slowly moving minimum and the limit is in use, and falls in
/// proportion when latency rises or the target refuses. The minimum rises only by measurements at
/// low concurrency.
class concurrency_limit {
 public:
  explicit concurrency_limit(concurrency_options options = {});

  /// Takes a place for one attempt.
  /// @return false if the limit is reached (`concurrency_limit`).
  bool TryAcquire() noexcept;
  /// @return true if `TryAcquire` would succeed.
  bool HasRoom() const noexcept;
  /// Gives a place back. Call once for each successful `TryAcquire`.
  /// @param latency time from dispatch to answer; used only for `answered`.
  void Release(attempt_end end, core::nanoseconds latency, core::mono_time now) noexcept;

  /// @return the present limit in whole requests.
  std::uint32_t limit() const noexcept { return static_cast<std::uint32_t>(limit_); }
  std::uint32_t in_flight() const noexcept { return in_flight_; }
  /// @return the slowly moving minimum of the latency; 0 while nothing is measured.
  core::nanoseconds minimum_latency() const noexcept;

 private:
  std::uint32_t ProbeLimit() const noexcept;
  void Count(attempt_end end, core::nanoseconds latency) noexcept;
  void CloseWindow(core::mono_time now) noexcept;
  void StartWindow(core::mono_time now) noexcept;
  void MoveMinimum(double average_ns, bool measured, core::mono_time now) noexcept;
  void Adjust(double average_ns) noexcept;

  concurrency_options options_;
  double limit_;
  std::uint32_t in_flight_ = 0;
  double minimum_ns_ = 0;
  core::mono_time window_start_{};
  double window_sum_ns_ = 0;
  std::uint32_t window_answers_ = 0;
  std::uint32_t window_overloads_ = 0;
  std::uint32_t window_peak_ = 0;
  core::mono_time next_probe_{};
  bool probing_ = false;
  std::uint32_t probe_skip_ = 0;  ///< answers to attempts from before the probe
};

}  // namespace coltsfoot::admission
