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

/// Limits and rates of the model.
struct model_options {
  /// Classes with estimates of their own; further ones share `kOtherClass`. The state of the
  /// estimates is 8 bytes times the square of this number.
  std::uint32_t max_classes = 128;
  /// Time in which an estimate that gets no reports loses half of its mean.
  core::nanoseconds half_life = std::chrono::minutes{10};
  /// A class that nobody runs or reports for this long gives its number to a new class.
  core::nanoseconds class_idle_timeout = std::chrono::hours{1};
};

/// Estimate of how one class slows another down.
struct pair_estimate {
  double slowdown = 1;     ///< factor on the victim's run time; 1 means no effect
  double uncertainty = 1;  ///< standard deviation of the natural logarithm of `slowdown`
};

/// Effect of placing one more task of a class on a worker.
struct placement_effect {
  double own_slowdown = 1;   ///< predicted factor on the new task's run time
  double harm = 0;           ///< sum of the logarithms of the slowdowns that it adds to the others
  std::uint32_t others = 0;  ///< classes on the worker
};

/// Counters of reports that could not be used.
struct model_counters {
  std::uint64_t reports = 0;
  std::uint64_t samples = 0;
  std::uint64_t too_old = 0;  ///< measured before the start of the worker's history
};

/// Learns from delayed usage reports how task classes slow each other down on one worker.
///
/// The logarithm of a victim's slowdown is taken as the sum of one term per co-located class. Each
/// term is estimated with its variance; a report is shared among the classes that were co-located
/// when it was measured in proportion to their variances, so that an uncertain pair learns most.
/// A pair that turns harmful is predicted with more than half of its effect after 3 reports, and
/// one that stops being harmful with less than half after 6. These figures hold for a new pair
/// beside known ones and for a changed pair on its own; a changed pair beside others shares the
/// change with them until they are measured apart.
class model {
 public:
  explicit model(model_options options = {});

  /// @return the number of a class, which is a task class or the name of a service. Valid until
  /// the class has been idle for `class_idle`.
  class_id Class(std::string_view name, core::mono_time now);

  /// @return the number of a known class, or `kOtherClass`.
  class_id FindClass(std::string_view name) const;

  /// Records that one task of `task_class`, or the service of that name, starts on `worker`.
  void OnStarted(std::uint32_t worker, class_id task_class, core::mono_time now);
  /// Records the end of what `OnStarted` recorded.
  void OnEnded(std::uint32_t worker, class_id task_class, core::mono_time now);
  /// Forgets the history of a worker, for example because its agent restarted or is forgotten.
  void ResetWorker(std::uint32_t worker, core::mono_time now);
  /// Learns from a report. Classes that are sampled in the report but not in the history (tasks of
  /// other entries) count as co-located at that time.
  void OnUsage(std::uint32_t worker, const wire::usage_report& report, core::mono_time now);

  /// @return the estimate of the slowdown of `victim` by `aggressor`.
  pair_estimate Estimate(class_id victim, class_id aggressor, core::mono_time now) const;
  /// Predicts the effect of placing one task of `task_class` on `worker` beside what this entry
  /// knows to run there. Does not allocate.
  placement_effect Predict(std::uint32_t worker, class_id task_class) const noexcept;
  /// @return the predicted slowdown of `task_class`, already running on `worker`.
  double CurrentSlowdown(std::uint32_t worker, class_id task_class) const noexcept;
  /// Applies the decay to all estimates; call it about once a second. Bounded by `max_classes`.
  void Decay(core::mono_time now);

  const model_counters& counters() const noexcept { return counters_; }

 private:
  struct pair_state {
    float mean = 0;  ///< logarithm of the slowdown
    float variance = 0;
  };
  struct class_row {
    std::string name;
    std::uint32_t running = 0;  ///< tasks between `OnStarted` and `OnEnded`
    core::mono_time last_used;
  };
  struct worker_row {
    worker_history history;
    /// Classes of other entries' tasks in the newest report.
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
