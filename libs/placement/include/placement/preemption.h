#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "placement/running_table.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// How capacity is taken from a running task, mildest first.
enum class preemption_step : std::uint8_t {
  throttle,  ///< the task runs on with less processor time
  evict,     ///< checkpoint, then stop
  stop,      ///< stop without waiting for a checkpoint
};

/// Command to take capacity from one task.
struct victim {
  std::string task;
  worker_index worker = kNoWorker;
  preemption_step step = preemption_step::evict;
  bool operator==(const victim&) const = default;
};

/// Limits evictions per minute. The budget refills continuously. A rate of zero forbids them.
class eviction_budget {
 public:
  /// @param per_minute evictions per minute; also the most that can be saved up.
  explicit eviction_budget(double per_minute) : per_minute_(per_minute), tokens_(per_minute) {}
  void SetRate(double per_minute) noexcept { per_minute_ = per_minute; }
  /// Takes one eviction from the budget.
  /// @param overdraw takes it even if the budget is empty. The debt, at most one minute's worth,
  /// delays later evictions.
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
  /// A batch task that was assigned within this time is not a victim: what it did so far would be
  /// wasted and it could be evicted again and again.
  core::nanoseconds protect_started = std::chrono::seconds{30};
  /// The same for a task that was evicted before.
  core::nanoseconds protect_evicted = std::chrono::seconds{120};
  /// An urgent task that has waited this long overrides both protections, and the scheduler lets
  /// it overdraw the eviction budget, so that it starts within 6.4 s.
  core::nanoseconds urgent_override = std::chrono::milliseconds{1500};
  /// Share of a task's processors that an agent frees when the task is throttled. Zero means that
  /// agents keep the whole size committed; victims are then evicted at once.
  std::uint32_t throttle_frees_percent = 0;
  /// A step that has not freed the capacity within this time is followed by the next one.
  core::nanoseconds throttle_patience = std::chrono::milliseconds{500};
  core::nanoseconds evict_patience = std::chrono::milliseconds{2000};
  /// Capacity that is still missing this long after the plan is looked for on another worker.
  core::nanoseconds plan_patience = std::chrono::milliseconds{4000};
  /// Workers whose victims are compared per plan, and workers that are looked at for that.
  std::uint32_t max_candidates = 64;
  std::uint32_t max_examined = 512;
  /// Evictions per plan.
  std::uint32_t max_victims = 8;
};

/// Victims on one worker that make room for one task.
struct preemption_plan {
  worker_index worker = kNoWorker;
  std::vector<victim> victims;
  double wasted_cpu_seconds = 0;  ///< processor time since the victims' newest checkpoints
  std::uint32_t evictions = 0;    ///< victims that are not merely throttled
  bool overrides_protection = false;
  bool operator==(const preemption_plan&) const = default;
};

/// Chooses the worker and the victims that waste the least work.
/// @param waited how long `task` has been queued. @param budget evictions that may happen now.
/// @return nothing if no set of victims makes room: batch tasks make room for nobody, and only
/// batch tasks that are not urgent are victims.
std::optional<preemption_plan> PlanPreemption(const task_spec& task, core::nanoseconds waited,
                                              double budget, const placement_view& view,
                                              const preemption_options& options,
                                              core::mono_time now);

/// Worker whose agent makes room for one urgent task.
struct room_plan {
  worker_index worker = kNoWorker;
  std::uint32_t evictions = 0;  ///< estimated from the mean size of the worker's tasks
  bool operator==(const room_plan&) const = default;
};

/// Chooses a worker for an urgent task whose room must come from batch tasks of any owner: what is
/// free and what its agent can evict cover the need. Workers that need the fewest evictions come
/// first.
/// @param budget evictions that may happen now.
/// @return nothing if the task is not urgent, has waited less than `urgent_override`, or no worker
/// qualifies.
std::optional<room_plan> PlanRoom(const task_spec& task, core::nanoseconds waited, double budget,
                                  const placement_view& view, const preemption_options& options,
                                  core::mono_time now);

}  // namespace coltsfoot::placement
