#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "blame/quarantine.h"
#include "blame/size_correction.h"
#include "blame/task_failures.h"
#include "config_controller.h"
#include "core/clock.h"
#include "entry/options.h"
#include "interference/model.h"
#include "ledger/shard_manager.h"
#include "membership/worker_table.h"
#include "metrics/registry.h"
#include "placement/scheduler.h"
#include "request_router.h"
#include "wire/messages.h"

namespace coltsfoot::entry {

/// State of a task for the API: its log entry and what is known beyond the log.
struct task_view {
  const ledger::task_entry* entry = nullptr;
  bool running = false;  ///< the worker has confirmed the start
  bool operator==(const task_view&) const = default;
};

/// Runs the tasks of the owned shards: placement, starts, leases, takeover, events and
/// cancellation. Each change is recorded in the log before it takes effect.
class task_controller {
 public:
  /// Receives the result of a submission or cancellation.
  using done_handler = std::function<void(core::error_reason)>;
  /// Called once when a task has ended or its shard was lost.
  using end_handler = std::function<void()>;

  task_controller(const entry_options& options, ledger::shard_manager& ledger,
                  membership::worker_table& workers, config_controller& config,
                  blame::quarantine& quarantine, interference::model& interference,
                  agent_gateway& agents, const core::clock& time, core::random_source& random,
                  metrics::registry& metrics);

  /// Records a new task of an owned shard. For a task id that is already known, the result is `ok`
  /// if the submission is the same and `idempotency_key_reused` otherwise.
  void Submit(core::shard_index shard, ledger::task_spec spec, done_handler done);
  /// Cancels a task of an owned shard. The task ends as cancelled unless another outcome is
  /// recorded first.
  void Cancel(core::shard_index shard, const std::string& task, done_handler done);
  /// @return the state of a task of an owned shard; `entry` is null if the task is unknown.
  task_view Find(core::shard_index shard, const std::string& task) const;
  /// Calls `done` when the task has ended or its shard was lost, unless `until` has passed before.
  void WaitForEnd(const std::string& task, core::mono_time until, end_handler done);
  /// @return lines of text that explain the state of a task to an operator.
  std::vector<std::string> Explain(core::shard_index shard, const std::string& task);

  void OnShardOwned(core::shard_index shard);
  void OnShardLost(core::shard_index shard);
  /// Call when the link to a worker is up and its agent is not recovering; asks the agent for the
  /// assignments that it runs.
  void OnWorkerReachable(const std::string& worker);
  /// Call when the link to a worker was lost; outstanding `adopt_shard` messages will get no
  /// report.
  void OnLinkLost(const std::string& worker);
  void OnShardReport(const wire::shard_report& report);
  void OnTaskEvent(const wire::task_event& event);
  void OnUsage(const wire::usage_report& report);
  /// Discards the state of a forgotten worker, because its index will be reused.
  void OnWorkerForgotten(membership::worker_index worker);
  /// Sets the resources that each team uses on the shards of a peer, for quotas.
  void SetPeerUsage(const std::string& peer, const std::vector<wire::team_usage>& teams);
  /// @return the resources that each team uses on the owned shards.
  std::vector<wire::team_usage> OwnUsage() const;
  /// Applies settings, places tasks, expires leases and requests due checkpoints.
  void Tick();

  placement::scheduler& scheduler() noexcept { return scheduler_; }

 private:
  struct waiter {
    core::mono_time until;
    end_handler done;
  };
  enum class task_phase : std::uint8_t {
    queued,
    assigning,    ///< the assignment is being recorded
    starting,     ///< the start was sent to the worker
    running,      ///< confirmed by the worker
    unresolved,   ///< taken over as assigned; the worker has not reported yet
    ending,       ///< the end of the assignment is being recorded
    backing_off,  ///< the start was refused; queued again after a delay
  };
  struct tracked_task {
    core::shard_index shard = 0;
    task_phase phase = task_phase::queued;
    std::string worker;
    core::epoch_number epoch = 0;
    /// Position among the messages to the worker; 0 if this entry did not send the start.
    std::uint64_t start_message_number = 0;
    std::uint32_t refusals = 0;
    std::optional<core::result_code> refusal;  ///< why the last assignment did not start
    core::mono_time resume_at{};
    core::mono_time next_checkpoint{};
    /// Cached lower bound for the lease expiry of epoch `lease_expiry_epoch`.
    core::mono_time lease_expiry{};
    core::epoch_number lease_expiry_epoch = 0;
    bool cancel_sent = false;
    bool counted_as_running = false;  ///< by the scheduler
  };
  struct worker_state {
    std::uint64_t messages_sent = 0;
    /// Number of the oldest unanswered `adopt_shard` message of each shard. Its report does not
    /// cover starts that were sent later.
    std::map<core::shard_index, std::uint64_t> adopt_message_numbers;
    /// Fencing token under which the worker last reported each shard.
    std::map<core::shard_index, core::fencing_token> reported;
  };

  core::result_code CheckAdmission(const ledger::task_spec& spec);
  void ApplySettings();
  void RunScheduler();
  void CarryOut(const placement::scheduler_action& action);
  void Assign(const placement::assign_action& action);
  void OnAssigned(const std::string& task, core::epoch_number epoch,
                  ledger::append_outcome outcome);
  void SendStart(const std::string& task, tracked_task& row, const ledger::task_entry& entry);
  void MarkRunning(const std::string& task, tracked_task& row, const ledger::task_entry& entry);
  void SendControl(const std::string& task, const tracked_task& row, wire::task_action action);
  bool SendTo(const std::string& worker, std::string frame);
  void Enqueue(tracked_task& row, const ledger::task_entry& entry);
  /// @return true if the worker may know the assignment.
  static bool IsSent(task_phase phase) noexcept;
  placement::task_spec PlacementSpec(const ledger::task_entry& entry);
  void TakeOver(const std::string& task, const ledger::task_entry& entry, core::shard_index shard);
  void AdoptIfKnown(tracked_task& row, const ledger::task_entry& entry);
  void SendAdopt(const std::string& worker, core::shard_index shard);
  void UpdateLargestWorker();
  void HandleDueTasks();
  core::milliseconds CheckpointInterval(const ledger::task_entry& entry);
  void RequestCheckpoint(const std::string& task, tracked_task& row);
  core::mono_time LeaseExpiry(const tracked_task& row) const;
  /// @return true if the execution lease has certainly expired, so that the task no longer runs at
  /// its worker.
  bool HasLeaseExpired(tracked_task& row, core::mono_time now) const;
  void RecordEnd(const std::string& task, tracked_task& row, ledger::record change,
                 const wire::task_event* event);
  void OnEndRecorded(const std::string& task, core::epoch_number epoch,
                     ledger::append_outcome outcome);
  void SyncWithLog(const std::string& task);
  void Resume(const std::string& task, tracked_task& row);
  void ReleaseWorker(const std::string& task, tracked_task& row);
  void RemoveTask(const std::string& task);
  void Requeue(const std::string& task, tracked_task& row, core::result_code code);
  void RequeueLost(const std::string& task, tracked_task& row);
  void OnRefused(const std::string& task, tracked_task& row, const wire::task_event& event);
  void OnFailed(const std::string& task, tracked_task& row, const ledger::task_entry& entry,
                const wire::task_event& event);
  void OnSucceeded(const ledger::task_entry& entry, const wire::task_event& event);
  void Acknowledge(const wire::task_event& event);
  void RecordCancelled(const std::string& task, tracked_task& row, core::epoch_number epoch);
  const ledger::task_entry* LogEntry(core::shard_index shard, const std::string& task) const;

  const entry_options& options_;
  ledger::shard_manager& ledger_;
  membership::worker_table& workers_;
  config_controller& config_;
  blame::quarantine& quarantine_;
  interference::model& interference_;
  agent_gateway& agents_;
  const core::clock& time_;
  metrics::registry& metrics_;
  blame::size_correction sizes_;
  blame::task_failures task_failures_;
  placement::scheduler scheduler_;
  core::config_version applied_config_ = 0;
  std::size_t applied_entries_ = 0;
  bool correct_sizes_ = true;
  core::resources largest_worker_;  ///< maximum of each resource over all workers
  std::unordered_map<std::string, tracked_task> tasks_;
  std::unordered_map<std::string, worker_state> worker_states_;
  std::multimap<std::string, waiter> waiters_;
  std::map<std::string, std::vector<wire::team_usage>> peer_usage_;
  core::mono_time next_periodic_check_{};
};

}  // namespace coltsfoot::entry
