#include "admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::admission {
namespace {

// Strongest reduction per window, so that one slow window does not stop a target.
constexpr double kStrongestCut = 0.5;
// Reduction for a window in which the target refused.
constexpr double kOverloadCut = 0.8;
// The limit rises only while at least this part of it is in use; otherwise latency says nothing
// about a higher limit.
constexpr double kInUse = 0.8;
// Part of the limit at which the minimum is measured. With a tolerance of 2 the limit stays below
// three times what the target serves at once, so that at a quarter of it nothing waits.
constexpr double kProbePart = 0.25;
// The first probe comes this many windows after the first answer.
constexpr int kFirstProbeWindows = 10;

}  // namespace

concurrency_limit::concurrency_limit(concurrency_options options)
    : options_(options), limit_(options.initial) {}

std::uint32_t concurrency_limit::ProbeLimit() const noexcept {
  return static_cast<std::uint32_t>(std::max(options_.min, limit_ * kProbePart));
}

bool concurrency_limit::HasRoom() const noexcept {
  return in_flight_ < (probing_ ? ProbeLimit() : limit());
}

bool concurrency_limit::TryAcquire() noexcept {
  if (!HasRoom()) return false;
  in_flight_ += 1;
  window_peak_ = std::max(window_peak_, in_flight_);
  return true;
}

core::nanoseconds concurrency_limit::minimum_latency() const noexcept {
  return core::nanoseconds{static_cast<std::int64_t>(minimum_ns_)};
}

void concurrency_limit::Release(attempt_end end, core::nanoseconds latency,
                                core::mono_time now) noexcept {
  if (in_flight_ > 0) in_flight_ -= 1;
  if (window_start_ == core::mono_time{}) {
    window_start_ = now;
    next_probe_ = now + options_.window * kFirstProbeWindows;
  }
  if (probe_skip_ > 0) {
    probe_skip_ -= 1;
    if (probe_skip_ == 0) StartWindow(now);
    return;
  }
  Count(end, latency);
  const bool enough =
      window_answers_ >= options_.window_answers || window_overloads_ >= options_.window_answers;
  if (enough && now - window_start_ >= options_.window) CloseWindow(now);
}

void concurrency_limit::Count(attempt_end end, core::nanoseconds latency) noexcept {
  if (end == attempt_end::answered) {
    window_sum_ns_ += static_cast<double>(latency.count());
    window_answers_ += 1;
  } else if (end == attempt_end::overloaded) {
    window_overloads_ += 1;
  }
}

void concurrency_limit::CloseWindow(core::mono_time now) noexcept {
  const bool measured = probing_ || window_peak_ <= ProbeLimit();
  const bool probed = std::exchange(probing_, false);
  if (window_answers_ > 0) MoveMinimum(window_sum_ns_ / window_answers_, measured, now);
  if (window_overloads_ > window_answers_ / options_.window_answers) {
    limit_ = std::max(options_.min, limit_ * kOverloadCut);
  } else if (window_answers_ > 0 && !probed) {
    Adjust(window_sum_ns_ / window_answers_);
  }
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_interval;
    probing_ = true;
    probe_skip_ = in_flight_;
  }
  StartWindow(now);
}

void concurrency_limit::StartWindow(core::mono_time now) noexcept {
  window_start_ = now;
  window_sum_ns_ = 0;
  window_answers_ = 0;
  window_overloads_ = 0;
  window_peak_ = in_flight_;
}

void concurrency_limit::MoveMinimum(double average_ns, bool measured,
                                    core::mono_time now) noexcept {
  // The average of a window serves as a sample because the fastest single answer of a service with
  // varied requests says little about its load.
  if (minimum_ns_ == 0 || average_ns < minimum_ns_) {
    minimum_ns_ = average_ns;
  } else if (measured) {
    minimum_ns_ += options_.minimum_rise * (average_ns - minimum_ns_);
  }
  if (measured) next_probe_ = now + options_.probe_interval;
}

void concurrency_limit::Adjust(double average_ns) noexcept {
  const double tolerated =
      minimum_ns_ * options_.tolerance + static_cast<double>(options_.slack.count());
  if (average_ns > tolerated) {
    limit_ = std::max(options_.min, limit_ * std::max(kStrongestCut, tolerated / average_ns));
  } else if (window_peak_ >= limit() * kInUse) {
    limit_ = std::min(options_.max, limit_ + 1);
  }
}

}  // namespace coltsfoot::admission
