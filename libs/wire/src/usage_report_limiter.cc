#include "wire/usage_report_limiter.h"

#include <algorithm>

namespace coltsfoot::wire {
namespace {

// Reports become rarer as the number of tasks grows, so the mean must follow a change within few
// reports.
constexpr double kSmoothingFactor = 0.1;
constexpr double kMsPerSecond = 1000;
// A shorter interval saves no traffic, since targets measure about once a second.
constexpr core::milliseconds kMinInterval{1000};

}  // namespace

void usage_report_limiter::Observe(std::size_t frame_bytes) {
  mean_bytes_ += (static_cast<double>(frame_bytes) - mean_bytes_) * kSmoothingFactor;
}

core::milliseconds usage_report_limiter::Interval(std::size_t workers) const {
  const double ms =
      static_cast<double>(workers) * mean_bytes_ / kUsageBytesPerSecond * kMsPerSecond;
  const core::milliseconds interval{
      static_cast<std::int64_t>(std::min(ms, static_cast<double>(kMaxInterval.count())))};
  return interval <= kMinInterval ? core::milliseconds{0} : interval;
}

}  // namespace coltsfoot::wire
