#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "interference/history.h"
#include "wire/messages.h"

namespace coltsfoot::interference {

/// Parameters of the model.
struct model_options {
  /// Maximum number of classes with their own estimates; further classes share `kOtherClass`. The
  /// estimates take 8 bytes times the square of this number.
  std::uint32_t max_classes = 128;
  /// Time in which the mean of an estimate halves if no reports arrive.
  core::nanoseconds half_life = std::chrono::minutes{10};
  /// The id of a class that was neither run nor reported for this long may be reused for a new
  /// class.
  core::nanoseconds class_idle_timeout = std::chrono::hours{1};
};

/// Estimate of how one class slows another down.
struct pair_estimate {
  double slowdown = 1;     ///< factor applied to the victim's run time; 1 means no effect
  double uncertainty = 1;  ///< standard deviation of the natural logarithm of `slowdown`
};

/// Effect of placing one more task of a class on a worker.
struct placement_effect {
  double own_slowdown = 1;  ///< predicted factor applied to the new task's run time
  double harm = 0;          ///< sum of the log slowdowns that it adds to the running tasks
  std::uint32_t co_located_classes = 0;  ///< number of classes on the worker
};

/// Counters of received reports and of those that could not be used.
struct model_counters {
  std::uint64_t reports = 0;
  std::uint64_t samples = 0;
  std::uint64_t too_old = 0;  ///< measured before the start of the worker's history
};

/// Interference model: estimates from delayed usage reports how much task classes slow each other
/// down when they run on the same worker.
///
/// The logarithm of a victim's slowdown is modelled as the sum of one term per co-located class.
/// For each term, the model keeps a mean and a variance. The error of a prediction is distributed
/// over the classes that were co-located at measurement time in proportion to their variances, so
/// that the most uncertain pair is adjusted most.
///
/// After 3 reports, the estimate of a pair that has become harmful exceeds half of the effect;
/// after 6 reports, that of a pair that has stopped being harmful is below half. Both hold for a
/// new pair co-located with known ones and for a changed pair on its own. If a changed pair is
/// co-located with others, the change is attributed to all of them until they are measured
/// separately.
class model {
 public:
  explicit model(model_options options = {});

  /// Finds or adds a class.
  /// @param name task class or name of a service.
  /// @return the id of the class, valid until the class has been idle for `class_idle_timeout`;
  /// `kOtherClass` if the limit of classes is reached and no class is idle.
  class_id FindOrAddClass(std::string_view name, core::mono_time now);

  /// @return the id of a known class, or `kOtherClass`.
  class_id FindClass(std::string_view name) const;

  /// Records that a task of `task_class`, or the service of that name, starts on `worker`.
  void OnStarted(std::uint32_t worker, class_id task_class, core::mono_time now);
  /// Records the end of a task or service whose start was recorded with `OnStarted`. Ignores an end
  /// without a start.
  void OnEnded(std::uint32_t worker, class_id task_class, core::mono_time now);
  /// Discards the history of a worker, for example because its agent restarted or was removed.
  void ResetWorker(std::uint32_t worker, core::mono_time now);
  /// Updates the estimates from a usage report. Classes that are sampled in the report but missing
  /// in the history (tasks of other entries) are treated as co-located at measurement time.
  void OnUsage(std::uint32_t worker, const wire::usage_report& report, core::mono_time now);

  /// @return the estimate of the slowdown of `victim` by `aggressor`.
  pair_estimate Estimate(class_id victim, class_id aggressor, core::mono_time now) const;
  /// Predicts the effect of placing one task of `task_class` on `worker`, next to the tasks and
  /// services that this entry knows to run there. Does not allocate memory.
  placement_effect Predict(std::uint32_t worker, class_id task_class) const noexcept;
  /// @return the predicted slowdown of `task_class`, which is already running on `worker`.
  double CurrentSlowdown(std::uint32_t worker, class_id task_class) const noexcept;
  /// Applies the decay to all estimates. Call it about once a second. The cost is quadratic in the
  /// number of classes, which `max_classes` limits.
  void Decay(core::mono_time now);

  const model_counters& counters() const noexcept { return counters_; }

 private:
  struct pair_state {
    float mean = 0;  ///< mean of the logarithm of the slowdown
    float variance = 0;
  };
  struct class_row {
    std::string name;
    std::uint32_t running = 0;  ///< tasks between `OnStarted` and `OnEnded`
    core::mono_time last_used;
  };
  struct worker_row {
    worker_history history;
    /// Classes of other entries' tasks, from the most recently measured report.
    class_counts other_entries;
    core::mono_time other_entries_at{};
  };

  pair_state& Pair(class_id victim, class_id aggressor);
  const pair_state& Pair(class_id victim, class_id aggressor) const;
  void ResetClass(class_id id);
  class_id RecycleClass(core::mono_time now);
  class_counts CountSamples(const wire::usage_report& report, core::mono_time now);
  void Learn(class_id victim, const class_counts& co_located, double log_slowdown);
  worker_row& Row(std::uint32_t worker);
  template <class Visitor>
  void ForEachPresent(std::uint32_t worker, Visitor visit) const;

  model_options options_;
  model_counters counters_;
  std::vector<class_row> classes_;
  std::unordered_map<std::string, class_id> ids_;
  std::vector<pair_state> pairs_;
  std::vector<worker_row> workers_;
  core::mono_time decayed_at_{};
};

}  // namespace coltsfoot::interference
