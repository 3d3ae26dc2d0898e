#include "retry/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::retry {
namespace {

// Bucket bounds grow by 10 % from 50 microseconds; 160 buckets cover more than 3 minutes.
constexpr double kLowestBucketNs = 50'000;
constexpr double kBucketGrowth = 1.1;
constexpr std::uint32_t kMinSamples = 50;
// All counts are halved at this total, so that old samples lose weight.
constexpr std::uint32_t kHalvingTotal = 2000;
constexpr double kPercent = 100;

std::size_t BucketOf(core::nanoseconds latency, std::size_t buckets) {
  const auto ns = static_cast<double>(latency.count());
  if (ns <= kLowestBucketNs) return 0;
  const double index = std::ceil(std::log(ns / kLowestBucketNs) / std::log(kBucketGrowth));
  return std::min(buckets - 1, static_cast<std::size_t>(index));
}

}  // namespace

void latency_histogram::Record(core::nanoseconds latency) noexcept {
  counts_[BucketOf(latency, kBucketCount)] += 1;
  total_ += 1;
  if (total_ < kHalvingTotal) return;
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

std::optional<core::nanoseconds> latency_histogram::Percentile(double percentile) const noexcept {
  if (total_ < kMinSamples) return std::nullopt;
  const double target_rank = percentile / kPercent * total_;
  double cumulative = 0;
  std::size_t index = 0;
  for (; index + 1 < kBucketCount; ++index) {
    cumulative += counts_[index];
    if (cumulative >= target_rank) break;
  }
  const double upper = kLowestBucketNs * std::pow(kBucketGrowth, static_cast<double>(index));
  return core::nanoseconds{static_cast<std::int64_t>(upper)};
}

void hedge_policy::Configure(bool enabled, double after_percentile) noexcept {
  enabled_ = enabled;
  after_percentile_ = after_percentile;
}

std::optional<core::nanoseconds> hedge_policy::PlanHedge(const hedge_candidate& request) noexcept {
  requests_ += 1;
  if (!enabled_ || !request.idempotent || !request.latency_critical) return std::nullopt;
  const auto delay = latencies_.Percentile(after_percentile_);
  if (!delay || *delay >= request.time_left) return std::nullopt;
  return delay;
}

bool hedge_policy::TryHedge(retry_budget& budget) noexcept {
  if (!enabled_ || !budget.TryWithdraw()) return false;
  hedges_ += 1;
  return true;
}

double hedge_policy::hedge_ratio() const noexcept {
  return requests_ == 0 ? 0 : static_cast<double>(hedges_) / static_cast<double>(requests_);
}

}  // namespace coltsfoot::retry
