#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/clock.h"
#include "core/resources.h"

namespace coltsfoot::blame {

/// Parameters of the size correction.
struct size_correction_options {
  double quantile = 0.95;      ///< quantile of the observed peaks per class
  double safety_factor = 1.2;  ///< factor applied to the quantile
  double min_ratio = 0.25;     ///< minimum corrected size relative to the declared size
  double max_ratio = 4;        ///< maximum corrected size, unless more was observed
  /// Number of finished tasks before a size is lowered. Samples of running tasks do not count,
  /// because many samples of a task that has just started say little about its peak. A size is
  /// raised after a single sample, including one of a running task.
  std::uint32_t min_finished = 8;
  std::size_t max_classes = 512;  ///< beyond it, the least recently observed class is erased
};

/// Resource requirements and run time of a task, as used by placement.
struct task_size {
  core::resources need;
  std::uint32_t run_ms = 0;  ///< 0 if unknown
  bool operator==(const task_size&) const = default;
};

/// Quantile estimator for positive values, with logarithmic buckets of 10 % width from 1 to about
/// 1.5e8. Older values lose weight: all counts are halved when their sum reaches `kMaxWeight`.
class decaying_quantile {
 public:
  void Add(double value);
  /// @return an upper bound of the quantile, at most 10 % above it; 0 without values.
  double Quantile(double quantile) const;
  /// @return the largest value that has not yet decayed.
  double max() const noexcept { return max_; }
  double weight() const noexcept { return weight_; }

 private:
  void Halve();

  static constexpr std::size_t kBucketCount = 200;
  static constexpr double kMaxWeight = 256;
  std::array<float, kBucketCount> counts_{};
  double weight_ = 0;
  double max_ = 0;
};

/// Corrects declared sizes and run times per task class, based on observed usage. The state is in
/// memory only.
class size_correction {
 public:
  explicit size_correction(size_correction_options options = {}) : options_(options) {}

  /// Records the peak usage and run time of a finished task, or the current usage of a running one.
  /// @param observed usage; components that are zero are unknown and ignored.
  /// @param run_ms run time; 0 if the task has not finished.
  void Observe(std::string_view task_class, const core::resources& observed, std::uint32_t run_ms,
               core::mono_time now);
  /// Like `Observe`, for a task whose declared size is known. In addition, records the ratio of
  /// observed to declared size, because a class may contain tasks of different sizes.
  void ObserveTask(std::string_view task_class, const task_size& declared,
                   const core::resources& observed, std::uint32_t run_ms, core::mono_time now);
  /// Computes the size with which a task of the class is placed. Accelerators are never changed. A
  /// size is lowered only after `min_finished` tasks have finished. The corrected size is at least
  /// the largest observation of the class that has not decayed. Once a task with a known
  /// declaration was observed, the bound is the declared size times the largest ratio of observed
  /// to declared size that has not decayed, if that is less.
  /// @param largest_worker upper bound for raising a size, so that a task that fits on some worker
  /// still does.
  /// @return the corrected size.
  task_size Correct(std::string_view task_class, const task_size& declared,
                    const core::resources& largest_worker) const;
  std::size_t classes() const noexcept { return classes_.size(); }

 private:
  struct class_row {
    std::uint32_t finished = 0;
    decaying_quantile cpu_millis;
    decaying_quantile memory_mb;
    decaying_quantile run_ms;
    std::uint32_t finished_with_declared_size = 0;
    decaying_quantile cpu_ratio;  ///< observed to declared size, in thousandths
    decaying_quantile memory_ratio;
    decaying_quantile run_ratio;
    core::mono_time observed_at{};
  };
  std::int64_t CorrectValue(const decaying_quantile& observed, std::int64_t declared,
                            bool may_lower) const;
  std::int64_t ScaleDeclared(const decaying_quantile& ratio, std::int64_t declared,
                             std::int64_t corrected, bool may_lower) const;
  void EraseOldestClass();

  size_correction_options options_;
  std::unordered_map<std::string, class_row> classes_;
};

}  // namespace coltsfoot::blame
