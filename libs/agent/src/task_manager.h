#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission_gate.h"
#include "agent/capacity_ledger.h"
#include "agent/target_client.h"
#include "entry_directory.h"
#include "event_outbox.h"
#include "metrics/registry.h"
#include "room_maker.h"

namespace coltsfoot::agent {

/// Manages the task assignments of this worker and their execution leases.
///
/// Each assignment ends with exactly one event. Its resources are released once the target has
/// confirmed that the task does not run, or once the target's process has ended.
class task_manager {
 public:
  task_manager(const core::clock& time, metrics::registry& metrics, core::milliseconds lease_ttl,
               capacity_ledger& ledger, const worker_state& state, const admission_gate& gate,
               entry_directory& entries, event_outbox& outbox, target_client& target);

  /// Starts an assignment, or replies with a `refused` event.
  void Start(connection_id from, const wire::start_task& message);
  /// Carries out a control message for an assignment.
  void Control(connection_id from, const wire::control_task& message);
  /// @return the report to a new owner of a shard.
  wire::shard_report AdoptShard(connection_id from, const wire::adopt_shard& message);
  /// Extends the leases of the granted shards to `lease_until`.
  void ExtendLeases(const std::string& entry, const std::vector<wire::shard_grant>& grants,
                    core::mono_time lease_until);
  /// Handles an event of the target that ends an assignment.
  void OnTargetEvent(target_event event);
  /// Restores the running tasks from the target's list after the agent or the target has started.
  void RestoreTasks(const task_listing& listing);
  /// Reports listed tasks that have ended without an event. Call after all events are handled.
  void ReportEnded(const task_listing& listing);
  /// Ends all tasks after the target that ran them has ended: as cancelled if a cancellation was
  /// requested, as lost otherwise.
  void ReportAllLost();
  /// Evicts all tasks, because the target or the agent shuts down or the worker drains.
  void EvictAll();
  /// Expires leases, retries calls and sends new deadlines to the target.
  void Tick();

  /// @return true if no task runs or may run.
  bool idle() const noexcept { return tasks_.empty(); }
  std::size_t size() const noexcept { return tasks_.size(); }
  /// @return the number of starts that wait for room.
  std::size_t waiting_for_room() const noexcept { return rooms_.size(); }
  /// @return the resources of the batch tasks that may be evicted for an urgent task.
  core::resources Evictable() const;
  /// @return true if the target runs this assignment as far as the agent knows.
  bool IsRunning(const wire::task_ref& task) const;

 private:
  /// Delay before a call to the target is retried.
  static constexpr core::milliseconds kCallRetryDelay{1000};

  enum class task_phase : std::uint8_t {
    waiting,  ///< for room, while other tasks are evicted; the target was not called
    starting,
    running,
    awaiting_event,  ///< the target no longer runs it; its end event is expected
    unconfirmed,     ///< its end was reported, but the target has not confirmed the stop
  };
  /// Kind and code of the event that reports a task that is being stopped.
  struct planned_end {
    wire::task_event_kind kind = wire::task_event_kind::evicted;
    core::result_code code = core::result_code::evicted;
  };
  struct task_entry {
    task_spec spec;
    task_phase phase = task_phase::starting;
    bool start_uncertain = false;  ///< the outcome of a start call is unknown
    bool call_in_flight = false;   ///< of a start or stop
    bool lease_changed = false;    ///< the target does not have the current deadline yet
    /// May be evicted for an urgent task. False for a task that was found running, because the
    /// target's list does not tell whether it is urgent.
    bool evictable = false;
    std::optional<planned_end> end;
    core::mono_time next_call;
    core::mono_time started;
    core::mono_time saved_at;    ///< time of the start or newest checkpoint
    core::mono_time stopped_at;  ///< when the target was found to no longer run the task
  };
  struct seen_epoch {
    core::epoch_number epoch = 0;
    core::mono_time forget_at;
  };
  using task_map = std::map<std::string, task_entry>;

  std::optional<core::error_reason> RefusalReason(const wire::start_task& message,
                                                  fence_order order) const;
  void Refuse(const wire::start_task& message, core::error_reason reason);
  bool IsSeen(const std::string& task, core::epoch_number epoch) const;
  void RememberEpoch(const std::string& task, core::epoch_number epoch);
  task_entry* Find(const std::string& task, core::epoch_number epoch);
  static bool IsEvictable(const task_entry& entry);
  bool MakeRoom(const wire::start_task& message);
  void StepWaiting(task_entry& entry, core::mono_time now);
  void RefuseWaiting(task_entry& entry, core::result_code code, std::string_view outcome);
  void SendStart(task_entry& entry);
  void OnStarted(const wire::task_ref& task, start_result result);
  void ConfirmStart(task_entry& entry);
  void VerifyRunning(const wire::task_ref& task);
  void PlanEnd(task_entry& entry, planned_end end);
  void SendStop(task_entry& entry);
  void OnStopped(const wire::task_ref& task, control_result result);
  void TakeCheckpoint(task_entry& entry);
  void AwaitEvent(task_entry& entry);
  void Step(task_entry& entry, core::mono_time now, std::vector<wire::task_ref>& due);
  void StepStarting(task_entry& entry, core::mono_time now);
  void PushLeases(core::mono_time now);
  wire::task_event MakeEvent(const task_spec& spec, wire::task_event_kind kind,
                             core::result_code code) const;
  void Report(task_entry& entry, wire::task_event event);
  void End(const wire::task_ref& task, wire::task_event event);
  void Remove(const std::string& task);
  void CountDrop(std::string_view reason);

  const core::clock& time_;
  metrics::registry& metrics_;
  core::milliseconds lease_ttl_;
  capacity_ledger& ledger_;
  const worker_state& state_;
  const admission_gate& gate_;
  entry_directory& entries_;
  event_outbox& outbox_;
  target_client& target_;
  room_maker rooms_;
  task_map tasks_;
  std::map<std::string, seen_epoch> seen_;
  bool push_in_flight_ = false;
  core::mono_time next_push_;
  /// Incremented when the target's instance changes, to drop late responses of the former one.
  std::uint64_t generation_ = 0;
};

}  // namespace coltsfoot::agent
