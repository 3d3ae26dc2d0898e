#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "placement/running_table.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Steps that take capacity from a running task, least disruptive first.
enum class preemption_step : std::uint8_t {
  throttle,  ///< the task keeps running with less processor time
  evict,     ///< checkpoint, then stop
  stop,      ///< stop without waiting for a checkpoint
};

/// Running task from which capacity is taken, and how.
struct victim {
  std::string task;
  worker_index worker = kNoWorker;
  preemption_step step = preemption_step::evict;
  bool operator==(const victim&) const = default;
};

/// Token bucket that limits evictions per minute. It refills continuously. A rate of zero forbids
/// evictions.
class eviction_budget {
 public:
  /// @param per_minute evictions per minute; also the capacity of the bucket.
  explicit eviction_budget(double per_minute) : per_minute_(per_minute), tokens_(per_minute) {}
  void SetRate(double per_minute) noexcept { per_minute_ = per_minute; }
  /// Takes one eviction from the budget.
  /// @param overdraw allows the eviction even if the bucket is empty, unless the rate is zero. The
  /// debt is limited to the evictions of one minute and delays later evictions.
  /// @return true if the eviction may happen.
  bool Take(core::mono_time now, bool overdraw = false);
  /// @return evictions that may happen now; infinity with `overdraw` unless they are forbidden.
  double Available(core::mono_time now, bool overdraw = false);

 private:
  double per_minute_;
  double tokens_;
  core::mono_time refilled_at_{};
};

/// Rules of preemption.
struct preemption_options {
  /// A batch task that was assigned less than this time ago is not a victim: its work so far would
  /// be wasted, and it could be evicted repeatedly.
  core::nanoseconds protect_after_start = std::chrono::seconds{30};
  /// The same for a task that was evicted before.
  core::nanoseconds protect_after_eviction = std::chrono::seconds{120};
  /// An urgent task that has waited this long ignores both protections, and the scheduler lets it
  /// overdraw the eviction budget, so that it starts within 6.4 s.
  core::nanoseconds urgent_override_after = std::chrono::milliseconds{1500};
  /// Percentage of a task's processors that an agent frees when the task is throttled. Zero means
  /// that the agent keeps the whole size committed; victims are then evicted without being
  /// throttled first.
  std::uint32_t throttle_frees_percent = 0;
  /// A step that has not freed the capacity within its timeout is followed by the next step.
  core::nanoseconds throttle_timeout = std::chrono::milliseconds{500};
  core::nanoseconds evict_timeout = std::chrono::milliseconds{2000};
  /// A plan that has not freed enough capacity within this time is dropped; the next plan may
  /// choose another worker.
  core::nanoseconds plan_timeout = std::chrono::milliseconds{4000};
  /// Limits per plan: workers whose victims are compared, and workers that are examined to find
  /// them.
  std::uint32_t max_compared_workers = 64;
  std::uint32_t max_examined_workers = 512;
  /// Maximum number of evictions per plan.
  std::uint32_t max_victims = 8;
};

/// Victims on one worker whose capacity is needed for one task.
struct preemption_plan {
  worker_index worker = kNoWorker;
  std::vector<victim> victims;
  /// Processor time since the victims' newest checkpoints, plus the overhead of each eviction.
  double wasted_cpu_seconds = 0;
  std::uint32_t evictions = 0;  ///< victims that are evicted, not throttled
  bool overrides_protection = false;
  bool operator==(const preemption_plan&) const = default;
};

/// Chooses the worker and the victims whose preemption wastes the least processor time.
/// @param waited how long `task` has been queued. @param budget evictions that may happen now.
/// @return nothing if no set of victims frees enough capacity or if `task` is batch, since batch
/// tasks never preempt. Only batch tasks that are not urgent are victims.
std::optional<preemption_plan> PlanPreemption(const task_spec& task, core::nanoseconds waited,
                                              double budget, const placement_view& view,
                                              const preemption_options& options,
                                              core::mono_time now);

/// Worker whose agent evicts batch tasks for one urgent task.
struct agent_eviction_plan {
  worker_index worker = kNoWorker;
  std::uint32_t evictions = 0;  ///< estimated from the mean size of the worker's tasks
  bool operator==(const agent_eviction_plan&) const = default;
};

/// Chooses a worker on which an urgent task fits into the free capacity plus that of the batch
/// tasks, of any entry, that the agent can evict. Prefers workers that need the fewest evictions.
/// @param budget evictions that may happen now.
/// @return nothing if the task is not urgent, has waited less than `urgent_override_after`, or no
/// worker qualifies.
std::optional<agent_eviction_plan> PlanAgentEvictions(const task_spec& task,
                                                      core::nanoseconds waited, double budget,
                                                      const placement_view& view,
                                                      const preemption_options& options,
                                                      core::mono_time now);

}  // namespace coltsfoot::placement
