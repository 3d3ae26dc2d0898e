#include "admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::admission {
namespace {

// Lower bound of the factor that high latency applies per window, so that a single slow window does
// not cut off a target.
constexpr double kMinDecreaseFactor = 0.5;
// Factor applied after a window in which too many attempts were overloaded.
constexpr double kOverloadDecreaseFactor = 0.8;
// The limit increases only if at least this fraction of it was in use; at a lower utilization,
// latency says nothing about a higher limit.
constexpr double kMinUtilization = 0.8;
// Fraction of the limit at which the minimum latency is measured. With a tolerance of 2, the limit
// stays below three times the concurrency of the target, so no request queues at a quarter of it.
constexpr double kProbeFraction = 0.25;
// Number of windows between the first answer and the first probe.
constexpr int kFirstProbeWindows = 10;

}  // namespace

concurrency_limit::concurrency_limit(concurrency_options options)
    : options_(options), limit_(options.initial) {}

std::uint32_t concurrency_limit::ProbeLimit() const noexcept {
  return static_cast<std::uint32_t>(std::max(options_.min, limit_ * kProbeFraction));
}

bool concurrency_limit::CanAcquire() const noexcept {
  return in_flight_ < (probing_ ? ProbeLimit() : limit());
}

bool concurrency_limit::TryAcquire() noexcept {
  if (!CanAcquire()) return false;
  in_flight_ += 1;
  window_peak_ = std::max(window_peak_, in_flight_);
  return true;
}

core::nanoseconds concurrency_limit::minimum_latency() const noexcept {
  return core::nanoseconds{static_cast<std::int64_t>(minimum_latency_ns_)};
}

void concurrency_limit::Release(load_signal signal, core::nanoseconds latency,
                                core::mono_time now) noexcept {
  if (in_flight_ > 0) in_flight_ -= 1;
  if (window_start_ == core::mono_time{}) {
    window_start_ = now;
    next_probe_ = now + options_.window * kFirstProbeWindows;
  }
  if (attempts_before_probe_ > 0) {
    attempts_before_probe_ -= 1;
    if (attempts_before_probe_ == 0) StartWindow(now);
    return;
  }
  CountAttempt(signal, latency);
  const bool enough_samples = window_answers_ >= options_.min_window_samples ||
                              window_overloads_ >= options_.min_window_samples;
  if (enough_samples && now - window_start_ >= options_.window) EndWindow(now);
}

void concurrency_limit::CountAttempt(load_signal signal, core::nanoseconds latency) noexcept {
  if (signal == load_signal::answered) {
    latency_sum_ns_ += static_cast<double>(latency.count());
    window_answers_ += 1;
  } else if (signal == load_signal::overloaded) {
    window_overloads_ += 1;
  }
}

void concurrency_limit::EndWindow(core::mono_time now) noexcept {
  const bool low_concurrency = probing_ || window_peak_ <= ProbeLimit();
  const bool was_probing = std::exchange(probing_, false);
  if (window_answers_ > 0) UpdateMinimum(latency_sum_ns_ / window_answers_, low_concurrency, now);
  if (window_overloads_ > window_answers_ / options_.min_window_samples) {
    limit_ = std::max(options_.min, limit_ * kOverloadDecreaseFactor);
  } else if (window_answers_ > 0 && !was_probing) {
    AdjustLimit(latency_sum_ns_ / window_answers_);
  }
  if (now >= next_probe_) {
    next_probe_ = now + options_.probe_interval;
    probing_ = true;
    attempts_before_probe_ = in_flight_;
  }
  StartWindow(now);
}

void concurrency_limit::StartWindow(core::mono_time now) noexcept {
  window_start_ = now;
  latency_sum_ns_ = 0;
  window_answers_ = 0;
  window_overloads_ = 0;
  window_peak_ = in_flight_;
}

void concurrency_limit::UpdateMinimum(double average_ns, bool low_concurrency,
                                      core::mono_time now) noexcept {
  // The sample is the average over a window, because the fastest single answer of a service with
  // heterogeneous requests says little about its load.
  if (minimum_latency_ns_ == 0 || average_ns < minimum_latency_ns_) {
    minimum_latency_ns_ = average_ns;
  } else if (low_concurrency) {
    minimum_latency_ns_ += options_.minimum_rise_factor * (average_ns - minimum_latency_ns_);
  }
  if (low_concurrency) next_probe_ = now + options_.probe_interval;
}

void concurrency_limit::AdjustLimit(double average_ns) noexcept {
  const double tolerated_ns = minimum_latency_ns_ * options_.tolerance +
                              static_cast<double>(options_.latency_slack.count());
  if (average_ns > tolerated_ns) {
    limit_ =
        std::max(options_.min, limit_ * std::max(kMinDecreaseFactor, tolerated_ns / average_ns));
  } else if (window_peak_ >= limit() * kMinUtilization) {
    limit_ = std::min(options_.max, limit_ + 1);
  }
}

}  // namespace coltsfoot::admission
