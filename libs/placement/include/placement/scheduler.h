#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/random_source.h"
#include "placement/policy.h"
#include "placement/preemption.h"
#include "placement/reclaim.h"
#include "placement/running_table.h"
#include "placement/task_queue.h"

namespace coltsfoot::placement {

/// Settings of the scheduler; changed as a whole.
struct scheduler_options {
  policy_kind policy = policy_kind::weighted;
  policy_options scoring;
  preemption_options preemption;
  reclaim_options reclaim;
  queue_options queue;
  std::uint32_t headroom_percent = 20;
  bool borrow_headroom = true;
  double evictions_per_minute = 20;  ///< this entry's part of the fleet's budget
  /// A latency-critical task that has waited this long may preempt batch; urgent ones wait
  /// `urgent_preempt_after`.
  core::nanoseconds preempt_after = std::chrono::milliseconds{500};
  core::nanoseconds urgent_preempt_after = std::chrono::milliseconds{40};
  std::uint32_t plans_per_tick = 8;  ///< preemption plans
  /// A batch task that has waited this long gets capacity kept for it on one worker, so that
  /// smaller tasks do not overtake it forever. At most one worker in `workers_per_kept_task`.
  core::nanoseconds keep_capacity_after = std::chrono::minutes{5};
  std::uint32_t workers_per_kept_task = 20;
  /// No task is given up within this time after the first tick, while workers report.
  core::nanoseconds learn_fleet_for = std::chrono::seconds{20};
};

/// Start `task` on `worker`: append the assignment to the log, then send it.
struct assign_action {
  std::string task;
  worker_index worker = kNoWorker;
  bool is_probe = false;
  bool operator==(const assign_action&) const = default;
};

/// What to order for a running task; the entry adds shard, fence and epoch.
enum class control_kind : std::uint8_t {
  throttle,
  unthrottle,
  evict,  ///< checkpoint, then stop
  stop,   ///< an eviction did not end the task in time
};

/// Change a running task.
struct control_action {
  std::string task;
  worker_index worker = kNoWorker;
  control_kind kind = control_kind::throttle;
  bool operator==(const control_action&) const = default;
};

/// The task ends and has left the queue: `never_fits` if no known worker is big enough,
/// `failed_everywhere` if it has failed on all that are.
struct give_up_action {
  std::string task;
  core::result_code code = core::result_code::never_fits;
  bool operator==(const give_up_action&) const = default;
};

using scheduler_action = std::variant<assign_action, control_action, give_up_action>;

/// Counters of the scheduler, for metrics.
struct scheduler_counters {
  std::uint64_t placed = 0;
  std::uint64_t blocked = 0;
  std::uint64_t over_quota = 0;
  std::uint64_t preemptions = 0;  ///< plans carried out
  std::uint64_t preempt_evictions = 0;
  std::uint64_t room_requests = 0;  ///< starts for which the agent makes room
  std::uint64_t preempt_stops = 0;
  std::uint64_t reclaim_throttles = 0;
  std::uint64_t reclaim_evictions = 0;
  std::uint64_t given_up = 0;
  std::uint64_t kept_capacity = 0;  ///< reservations for batch tasks that waited long
  std::uint64_t lost_commands = 0;  ///< evictions that did not end their task in time
  std::uint64_t budget_denied = 0;  ///< plans put off for lack of eviction budget
};

/// Systems of placement run over the tables each tick: queue pass, preemption, headroom reclaim.
///
/// Every task is queued, running or unknown here. The scheduler changes its tables when it returns
/// an action; the caller carries all actions out and reports what became of them.
class scheduler {
 public:
  /// All references must outlive the scheduler. `interference` and `quarantine` may be null.
  scheduler(scheduler_options options, membership::worker_table& workers,
            interference::model* interference, blame::quarantine* quarantine,
            core::random_source& random);
  ~scheduler();
  scheduler(const scheduler&) = delete;
  scheduler& operator=(const scheduler&) = delete;

  /// Applies changed settings but for `queue` and `reclaim`, which are fixed at construction.
  /// Queued and running tasks stay.
  void SetOptions(scheduler_options options);

  /// Queues a new task.
  /// @return see `task_queue::Push`.
  core::result_code Submit(task_spec task);
  /// Queues a task that was accepted before: evicted, lost, failed or replayed from the log.
  void Resubmit(task_spec task);
  /// Forgets a queued task.
  /// @return true if it was queued; a running task must be cancelled at its worker.
  bool CancelQueued(std::string_view task);
  /// Adds a task that already runs, found by replay of the log or a shard report.
  void Adopt(task_spec task, worker_index worker, core::mono_time started, core::mono_time now);
  /// Queues a task again whose assignment could not be recorded or was refused (not run). After
  /// `no_capacity` the worker stays charged until its next heartbeats show what it has, since its
  /// free capacity was estimated too high.
  void OnRefused(std::string_view task, core::result_code code, core::mono_time now);
  /// The worker confirmed the start.
  void OnStarted(std::string_view task, core::mono_time now);
  /// A checkpoint of a task that runs on was recorded.
  void OnCheckpointed(std::string_view task, core::mono_time now);
  /// The assignment has ended in any way.
  /// @return the task as it was placed, with `evictions` counted if it was being evicted, for
  /// `Resubmit`; nothing if the task was not running.
  std::optional<task_spec> OnEnded(std::string_view task, core::mono_time now);
  /// Forgets a shard's task without any effect on its worker (the shard is owned elsewhere now).
  void Drop(std::string_view task, core::mono_time now);
  /// Resets the columns of a worker whose index is reused.
  void OnWorkerForgotten(worker_index worker);

  /// Runs one tick: queue pass, preemption plans and their next steps, headroom reclaim.
  std::vector<scheduler_action> Tick(core::mono_time now);

  /// Explains the placement of a queued task or of one that would be submitted.
  placement_explanation Explain(const task_spec& task, core::mono_time now);
  /// Tables for `routing_policy::Route`.
  placement_view view() const;
  task_queue& queue() noexcept { return queue_; }
  const running_table& running() const noexcept { return running_; }
  const scheduler_counters& counters() const noexcept { return counters_; }

 private:
  using actions = std::vector<scheduler_action>;
  class queue_placer;
  /// Capacity that is being freed for a task.
  struct reservation {
    worker_index worker = kNoWorker;
    core::resources need;
    membership::assignment_id hold = 0;
    std::uint64_t number = 0;  ///< earlier reservations on a worker are served first
    bool kept = false;         ///< made by `KeepCapacity`; has no victims and no end
    core::mono_time started;
    std::vector<std::string> victims;
  };

  attempt_outcome Place(const task_spec& task, core::mono_time now, actions& out);
  std::optional<core::result_code> JudgeGivingUp(const task_spec& task, core::mono_time now) const;
  void Commit(task_spec task, const placement_choice& choice, membership::assignment_id assignment,
              core::mono_time now, actions& out);
  interference::class_id StartClass(worker_index worker, std::string_view task_class,
                                    core::mono_time now);
  void AdvanceReservations(core::mono_time now, actions& out);
  bool IsSatisfied(const reservation& row) const;
  void AdvanceVictims(const reservation& row, core::mono_time now, actions& out);
  void DropReservation(const std::string& task);
  void Reserve(const task_spec& task, worker_index worker, bool kept,
               std::vector<std::string> victims, core::mono_time now);
  void RunPreemption(task_tier tier, core::nanoseconds after, core::mono_time now, actions& out);
  void StartPreemption(const task_spec& task, core::mono_time now, actions& out);
  bool RequestRoom(const task_spec& task, double budget, core::mono_time now, actions& out);
  void KeepCapacity(core::mono_time now);
  void DropKeptCapacity();
  void IssueCommand(running_task& task, preemption_step step, core::mono_time now, actions& out);
  void ForgetLostCommands(core::mono_time now);
  void RunReclaim(core::mono_time now, actions& out);
  void UpdateFleetTotal(core::mono_time now);
  std::optional<running_task> Release(std::string_view task, bool release_capacity,
                                      core::mono_time now);

  scheduler_options options_;
  membership::worker_table& workers_;
  interference::model* interference_;
  blame::quarantine* quarantine_;
  core::random_source& random_;
  std::unique_ptr<placement_policy> policy_;
  task_queue queue_;
  running_table running_;
  headroom_reclaim reclaim_;
  eviction_budget budget_;
  std::unordered_map<std::string, reservation> reservations_;
  std::unordered_map<std::string, core::mono_time> plan_retries_;
  std::deque<std::pair<core::mono_time, std::string>> commands_;  ///< evictions by time
  std::uint64_t next_reservation_ = 0;
  std::uint32_t kept_ = 0;  ///< reservations made by `KeepCapacity`
  std::size_t fleet_size_ = 0;
  core::mono_time totals_at_{};
  core::mono_time first_tick_{};
  scheduler_counters counters_;
};

}  // namespace coltsfoot::placement
