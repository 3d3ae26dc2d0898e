#include "blame/size_correction.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::blame {

namespace {

constexpr double kBucketGrowth = 1.1;
/// Buckets below this weight are cleared; a single value falls below it after five halvings.
constexpr float kMinBucketWeight = 0.05F;

/// Ratios are stored in thousandths, because `decaying_quantile` resolves only values from 1 up.
constexpr double kRatioUnit = 1000;

void AddRatio(decaying_quantile& ratios, std::int64_t observed, std::int64_t declared) {
  if (declared <= 0) return;
  ratios.Add(kRatioUnit * static_cast<double>(observed) / static_cast<double>(declared));
}

double UpperBound(std::size_t bucket) {
  return std::pow(kBucketGrowth, static_cast<double>(bucket + 1));
}

}  // namespace

void decaying_quantile::Add(double value) {
  if (value <= 0) return;
  const double exponent = std::max(0.0, std::log(value) / std::log(kBucketGrowth));
  const std::size_t bucket = std::min(kBucketCount - 1, static_cast<std::size_t>(exponent));
  counts_[bucket] += 1;
  weight_ += 1;
  max_ = std::max(max_, value);
  if (weight_ >= kMaxWeight) Halve();
}

void decaying_quantile::Halve() {
  weight_ = 0;
  std::size_t highest = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    float& count = counts_[bucket];
    count /= 2;
    if (count < kMinBucketWeight) count = 0;
    if (count > 0) highest = bucket;
    weight_ += count;
  }
  if (highest + 1 < kBucketCount) max_ = std::min(max_, UpperBound(highest));
}

double decaying_quantile::Quantile(double quantile) const {
  const double target_weight = weight_ * quantile;
  double cumulative = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative > 0 && cumulative >= target_weight) return std::min(UpperBound(bucket), max_);
  }
  return max_;
}

void size_correction::Observe(std::string_view task_class, const core::resources& observed,
                              std::uint32_t run_ms, core::mono_time now) {
  class_row& row = classes_[std::string(task_class)];
  row.cpu_millis.Add(static_cast<double>(observed.cpu_millis));
  row.memory_mb.Add(static_cast<double>(observed.memory_mb));
  row.run_ms.Add(run_ms);
  if (run_ms > 0) ++row.finished;
  row.observed_at = now;
  if (classes_.size() > options_.max_classes) EraseOldestClass();
}

void size_correction::ObserveTask(std::string_view task_class, const task_size& declared,
                                  const core::resources& observed, std::uint32_t run_ms,
                                  core::mono_time now) {
  class_row& row = classes_[std::string(task_class)];
  AddRatio(row.cpu_ratio, observed.cpu_millis, declared.need.cpu_millis);
  AddRatio(row.memory_ratio, observed.memory_mb, declared.need.memory_mb);
  AddRatio(row.run_ratio, run_ms, declared.run_ms);
  if (run_ms > 0) ++row.finished_with_declared_size;
  Observe(task_class, observed, run_ms, now);
}

task_size size_correction::Correct(std::string_view task_class, const task_size& declared,
                                   const core::resources& largest_worker) const {
  const auto entry = classes_.find(std::string(task_class));
  if (entry == classes_.end()) return declared;
  const class_row& row = entry->second;
  const core::resources& need = declared.need;
  const bool may_lower = row.finished >= options_.min_finished;
  task_size corrected = declared;
  corrected.need.cpu_millis = std::min(CorrectValue(row.cpu_millis, need.cpu_millis, may_lower),
                                       std::max(need.cpu_millis, largest_worker.cpu_millis));
  corrected.need.memory_mb = std::min(CorrectValue(row.memory_mb, need.memory_mb, may_lower),
                                      std::max(need.memory_mb, largest_worker.memory_mb));
  corrected.run_ms =
      static_cast<std::uint32_t>(CorrectValue(row.run_ms, declared.run_ms, may_lower));
  const bool may_scale_down = row.finished_with_declared_size >= options_.min_finished;
  corrected.need.cpu_millis =
      ScaleDeclared(row.cpu_ratio, need.cpu_millis, corrected.need.cpu_millis, may_scale_down);
  corrected.need.memory_mb =
      ScaleDeclared(row.memory_ratio, need.memory_mb, corrected.need.memory_mb, may_scale_down);
  corrected.run_ms = static_cast<std::uint32_t>(
      ScaleDeclared(row.run_ratio, declared.run_ms, corrected.run_ms, may_scale_down));
  return corrected;
}

std::int64_t size_correction::CorrectValue(const decaying_quantile& observed, std::int64_t declared,
                                           bool may_lower) const {
  if (observed.weight() <= 0) return declared;
  const double size = static_cast<double>(declared);
  double estimate =
      std::max(observed.Quantile(options_.quantile) * options_.safety_factor, observed.max());
  if (declared > 0) {
    if (estimate < size && !may_lower) return declared;
    estimate = std::clamp(estimate, size * options_.min_ratio, size * options_.max_ratio);
  }
  return static_cast<std::int64_t>(std::ceil(std::max(estimate, observed.max())));
}

std::int64_t size_correction::ScaleDeclared(const decaying_quantile& ratio, std::int64_t declared,
                                            std::int64_t corrected, bool may_lower) const {
  if (declared <= 0 || ratio.weight() <= 0) return corrected;
  const double largest = ratio.max() / kRatioUnit;
  double scale =
      std::max(ratio.Quantile(options_.quantile) / kRatioUnit * options_.safety_factor, largest);
  // A declaration that was never exceeded needs no safety factor.
  if (largest <= 1) scale = std::min(scale, 1.0);
  scale = std::max(std::clamp(scale, options_.min_ratio, options_.max_ratio), largest);
  if (!may_lower) scale = std::max(scale, 1.0);
  return std::min(corrected,
                  static_cast<std::int64_t>(std::ceil(static_cast<double>(declared) * scale)));
}

void size_correction::EraseOldestClass() {
  const auto oldest =
      std::min_element(classes_.begin(), classes_.end(), [](const auto& left, const auto& right) {
        return left.second.observed_at < right.second.observed_at;
      });
  classes_.erase(oldest);
}

}  // namespace coltsfoot::blame
