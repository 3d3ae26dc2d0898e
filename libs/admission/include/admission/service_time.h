#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/result_code.h"

namespace coltsfoot::admission {

/// Exponential moving average of the service time: the time that a service takes to answer.
class service_time {
 public:
  /// Adds the measured service time of one answered request.
  void Record(core::nanoseconds measured) noexcept;
  /// @return the expected service time of the next request; 0 before the first measurement.
  core::nanoseconds expected() const noexcept;
  std::uint64_t count() const noexcept { return count_; }

 private:
  double average_ns_ = 0;
  std::uint64_t count_ = 0;
};

/// Checks whether a request can finish before its deadline.
/// @param time_left time until the deadline.
/// @param wait expected time in the queue.
/// @param service expected service time.
/// @return `ok`, or `deadline_unmeetable` if the request cannot finish in time.
core::result_code CheckDeadline(core::nanoseconds time_left, core::nanoseconds wait,
                                core::nanoseconds service) noexcept;

}  // namespace coltsfoot::admission
