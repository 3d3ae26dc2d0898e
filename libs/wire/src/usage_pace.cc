#include "wire/usage_pace.h"

#include <algorithm>

#include "wire/frame.h"

namespace coltsfoot::wire {
namespace {

// Reports become rare as tasks become many, so few of them must be enough to follow a change.
constexpr double kNewWeight = 0.1;
constexpr double kMsPerSecond = 1000;
// Lengths of strings and lists on the wire.
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kResourcesBytes = 3 * sizeof(std::int64_t);
constexpr std::size_t kSampleBytes = 2 * kLengthBytes + kResourcesBytes + sizeof(std::uint32_t);
constexpr std::size_t kReportBytes =
    kFrameHeaderBytes + 2 * kLengthBytes + kResourcesBytes + sizeof(std::uint32_t);
// Shorter intervals than this save nothing, since targets measure about once a second.
constexpr core::milliseconds kShortestInterval{1000};

}  // namespace

void usage_pace::Observe(const usage_report& report) {
  std::size_t bytes = kReportBytes + report.worker.size();
  for (const usage_sample& sample : report.samples) {
    bytes += kSampleBytes + sample.task_class.size() + sample.task.size();
  }
  mean_bytes_ += (static_cast<double>(bytes) - mean_bytes_) * kNewWeight;
}

core::milliseconds usage_pace::Interval(std::size_t workers) const {
  const double ms =
      static_cast<double>(workers) * mean_bytes_ / kUsageBytesPerSecond * kMsPerSecond;
  const core::milliseconds interval{
      static_cast<std::int64_t>(std::min(ms, static_cast<double>(kLongestInterval.count())))};
  return interval <= kShortestInterval ? core::milliseconds{0} : interval;
}

}  // namespace coltsfoot::wire
