#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/result_code.h"

namespace coltsfoot::admission {

/// Moving average of a service's time to answer.
class service_time {
 public:
  /// Adds the measured time of one answered request.
  void Record(core::nanoseconds measured) noexcept;
  /// @return the expected time of the next request; 0 while nothing is measured.
  core::nanoseconds expected() const noexcept;
  /// @return the number of measurements.
  std::uint64_t count() const noexcept { return count_; }

 private:
  double average_ns_ = 0;
  std::uint64_t count_ = 0;
};

/// @param left time until the deadline; @param wait expected time in the queue;
/// @param service expected time to answer.
/// @return `ok`, or `deadline_unmeetable` if the request cannot finish in time.
core::result_code CheckDeadline(core::nanoseconds time_left, core::nanoseconds wait,
                                core::nanoseconds service) noexcept;

}  // namespace coltsfoot::admission
