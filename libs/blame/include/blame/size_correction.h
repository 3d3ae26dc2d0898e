#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/clock.h"
#include "core/resources.h"

namespace coltsfoot::blame {

/// Rules of the size correction.
struct size_correction_options {
  double quantile = 0.95;      ///< of observed peaks per class
  double safety_factor = 1.2;  ///< on the quantile
  double min_ratio = 0.25;     ///< lowest corrected size relative to the declared one
  double max_ratio = 4;        ///< highest, unless more was observed
  /// Finished tasks before a size is lowered. Raising needs one observation, also of a running
  /// task; many observations of one task that has just started say little about its peak.
  std::uint32_t min_finished = 8;
  std::size_t max_classes = 512;  ///< the class that was observed longest ago is forgotten
};

/// Size and run time that placement uses.
struct task_size {
  core::resources need;
  std::uint32_t run_ms = 0;  ///< 0 if not known
  bool operator==(const task_size&) const = default;
};

/// Quantiles of positive values in logarithmic buckets of 10 % width, from 1 to about 1.5e8.
/// Older values lose weight: all counts are halved whenever their sum reaches `kMaxWeight`.
class decaying_quantile {
 public:
  void Add(double value);
  /// @return an upper bound of the quantile, at most 10 % above it; 0 if empty.
  double Quantile(double quantile) const;
  /// @return the largest value that is still remembered.
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

/// Corrects declared sizes and run times per task class from what was observed. Soft state.
class size_correction {
 public:
  explicit size_correction(size_correction_options options = {}) : options_(options) {}

  /// Records the peak use and run time of a finished task, or the use of a running one.
  /// @param observed zero components are not known and are ignored.
  /// @param run_ms 0 if the task has not finished.
  void Observe(std::string_view task_class, const core::resources& observed, std::uint32_t run_ms,
               core::mono_time now);
  /// The same for a task whose declared size is known. The class may hold tasks of different sizes;
  /// what counts then is how far the declarations are off.
  void ObserveTask(std::string_view task_class, const task_size& declared,
                   const core::resources& observed, std::uint32_t run_ms, core::mono_time now);
  /// @param largest_worker a size is not raised beyond it, so that no task stops fitting.
  /// @return the size to place a task of the class with. Accelerators are never changed. A size is
  /// lowered only once enough tasks have finished. Otherwise it is never below the largest
  /// remembered observation of the class, or, once a task of known declaration was observed, below
  /// the declared size times the largest remembered ratio between the two, if that is less.
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
    decaying_quantile cpu_ratio;  ///< observed to declared, in thousandths
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
