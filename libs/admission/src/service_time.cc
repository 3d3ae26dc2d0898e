#include "admission/service_time.h"

#include <algorithm>

namespace coltsfoot::admission {
namespace {

// The average covers roughly the last 32 answers.
constexpr double kMinSampleWeight = 1.0 / 32;

}  // namespace

void service_time::Record(core::nanoseconds measured) noexcept {
  count_ += 1;
  // The first answers have equal weight, so that one outlier does not dominate the initial average.
  const double weight = std::max(kMinSampleWeight, 1.0 / static_cast<double>(count_));
  average_ns_ += weight * (static_cast<double>(measured.count()) - average_ns_);
}

core::nanoseconds service_time::expected() const noexcept {
  return core::nanoseconds{static_cast<std::int64_t>(average_ns_)};
}

core::result_code CheckDeadline(core::nanoseconds time_left, core::nanoseconds wait,
                                core::nanoseconds service) noexcept {
  const bool in_time = time_left.count() > 0 && wait + service <= time_left;
  return in_time ? core::result_code::ok : core::result_code::deadline_unmeetable;
}

}  // namespace coltsfoot::admission
