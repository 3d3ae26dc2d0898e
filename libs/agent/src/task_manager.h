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

/// Owns the assignments of tasks on this worker and their execution leases.
///
/// An assignment ends with one event. Its resources are released when the target has confirmed
/// that it does not run, or when the target's process is gone.
class task_manager {
 public:
  task_manager(const core::clock& time, metrics::registry& metrics, core::milliseconds lease_ttl,
               capacity_ledger& ledger, const worker_state& state, const admission_gate& gate,
               entry_directory& entries, event_outbox& outbox, target_client& target);

  /// Starts an assignment, or answers with a `refused` event.
  void Start(connection_id from, const wire::start_task& message);
  /// Acts on an assignment.
  void Control(connection_id from, const wire::control_task& message);
  /// Answers a new owner of a shard.
  wire::shard_report AdoptShard(connection_id from, const wire::adopt_shard& message);
  /// Extends the leases of the granted shards to `lease_until`.
  void ExtendLeases(const std::string& entry, const std::vector<wire::shard_grant>& grants,
                    core::mono_time lease_until);
  /// Handles an event of the target that ends an assignment.
  void OnTargetEvent(target_event event);
  /// Takes over the tasks that the target listed after a start of this agent.
  void RestoreTasks(const task_listing& listing);
  /// Reports listed tasks that have ended without an event, after all events were handled.
  void ReportEnded(const task_listing& listing);
  /// Reports every task as lost, because the target that ran them is gone.
  void ReportAllLost();
  /// Ends every task, because the target departs.
  void EvictAll();
  /// Lets leases lapse, retries calls and passes new deadlines to the target.
  void Tick();

  /// @return true if no task runs or may run.
  bool idle() const noexcept { return tasks_.empty(); }
  std::size_t size() const noexcept { return tasks_.size(); }
  /// @return the number of starts that wait for room.
  std::size_t waiting_for_room() const noexcept { return rooms_.size(); }
  /// @return what the batch tasks hold that may be evicted for an urgent one.
  core::resources Evictable() const;
  /// @return true if the target runs this assignment as far as is known.
  bool IsRunning(const wire::task_ref& task) const;

 private:
  /// Pause before a call to the target is repeated.
  static constexpr core::milliseconds kCallRetryDelay{1000};

  enum class task_phase : std::uint8_t {
    waiting,  ///< for the room of tasks that are being evicted; no call was made
    starting,
    running,
    awaiting_event,    ///< the target does not run it; its event is awaited
    stop_unconfirmed,  ///< its end is reported, but the target has not confirmed the stop
  };
  /// How to report a task that is being stopped.
  struct planned_end {
    wire::task_event_kind kind = wire::task_event_kind::evicted;
    core::result_code code = core::result_code::evicted;
  };
  struct task_entry {
    task_spec spec;
    task_phase phase = task_phase::starting;
    bool start_uncertain = false;  ///< a start call has no known outcome
    bool call_in_flight = false;   ///< of a start or stop
    bool lease_changed = false;    ///< the target has an older deadline
    /// Makes room for urgent tasks. False for a task that was found running, because the target
    /// does not know whether it is urgent.
    bool evictable = false;
    std::optional<planned_end> end;
    core::mono_time next_call;
    core::mono_time started;
    core::mono_time saved_at;  ///< start or newest checkpoint
    core::mono_time awaiting_since;
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
  void Step(task_entry& entry, core::mono_time now, std::vector<wire::task_ref>& timed_out);
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
  /// Grows when the target's instance changes, so that late answers of the old one are dropped.
  std::uint64_t generation_ = 0;
};

}  // namespace coltsfoot::agent
