#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/absence_register.h"
#include "jobs/headroom_model.h"
#include "jobs/job_table.h"
#include "jobs/messages.h"
#include "jobs/plan_pacer.h"
#include "jobs/planner.h"
#include "jobs/progress_writer.h"
#include "jobs/queue_catalogue.h"
#include "jobs/worker_table.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Connections of the coordinator to agents. Mocked in tests.
class agent_link {
 public:
  virtual ~agent_link() = default;
  /// Keeps a connection to an agent, until `Forget`.
  virtual void Connect(const std::string& agent, const std::string& address) = 0;
  virtual void Forget(const std::string& agent) = 0;
  virtual void ForgetAll() = 0;
  virtual void Send(const std::string& agent, const lease_grant& message) = 0;
  virtual void Send(const std::string& agent, const worker_commands& message) = 0;
};

/// Settings of the coordinator.
struct coordinator_options {
  planner_options planner;
  /// Lease of what a target runs, from the agent's last report that was answered.
  core::milliseconds task_lease{5000};
  /// How long a coordinator without contact to the store may still extend leases.
  core::milliseconds grant_extension{6000};
  /// Time for which ended jobs are kept.
  core::milliseconds retention{150'000};
  /// Share by which a target's clock may be slow, in thousandths.
  std::int64_t clock_drift_permille = 20;
  /// Failures of different jobs in a row after which a worker gets no tasks for a while.
  std::uint32_t failures_to_quarantine = 2;
  /// First and longest time for which such a worker is avoided.
  core::milliseconds initial_quarantine{3000};
  core::milliseconds max_quarantine{12000};
  bool operator==(const coordinator_options&) const = default;
};

/// Leadership of this process as the coordinator must know it.
class term_authority {
 public:
  virtual ~term_authority() = default;
  /// @return true while no other coordinator can exist.
  virtual bool MayStart() const = 0;
  /// @return true while leases may still be extended.
  virtual bool MayExtend() const = 0;
  /// Called when a write proved that another coordinator exists.
  virtual void OnDeposed() = 0;
};

/// Runs all jobs of the fleet during one term: places tasks, takes note of their ends and stores
/// progress. One thread; holds no socket and no wall clock of its own.
class coordinator {
 public:
  coordinator(coordinator_options options, const core::clock& time, metrics::registry& metrics,
              agent_link& agents, store::versioned_store& storage, term_authority& authority);

  /// Starts a term with what the store holds.
  /// @param term version of the leader key; rises with each coordinator.
  void BeginTerm(std::uint64_t term, const std::vector<store::kv_entry>& inbox,
                 const std::vector<store::kv_entry>& progress);
  void EndTerm();
  bool active() const noexcept { return term_ != 0; }

  void SetQueues(std::shared_ptr<const queue_catalogue> queues);
  /// Takes a change below `kInboxPrefix`.
  void OnInboxChange(const store::key_change& change);
  void OnAgentConnected(const std::string& agent);
  void OnAgentDisconnected(const std::string& agent);
  void OnReport(const worker_report& report);
  /// Places tasks and flushes progress; call after events and at least each 100 ms.
  void Tick();

  /// @return the state of a job that callers may be shown, or nothing if the job is unknown or only
  /// the store can tell.
  std::optional<job_state> StateOf(std::string_view job) const;
  /// @return the number of jobs of a queue of which no task has started.
  std::uint64_t CountWaiting(std::string_view queue) const;
  /// @return a job, for explanations; nothing if it is unknown.
  const job_row* FindJob(std::string_view job) const { return jobs_.Find(job); }
  const worker_table& workers() const noexcept { return workers_; }

 private:
  void AddJob(const std::string& id, const store::kv_entry& entry);
  void CancelJob(const std::string& id);
  worker_row& WorkerOf(const std::string& agent);
  void ChangeIncarnation(worker_row& worker, const worker_report& report);
  void ApplyEnds(worker_row& worker, const worker_report& report);
  void ApplyEnd(worker_row& worker, const ended_run& end);
  void Reconcile(worker_row& worker, const worker_report& report);
  /// Learns from readings how filling and serving tasks get along.
  void LearnPressures(worker_row& worker, const worker_report& report);
  /// @return what changed of the pressures that the agent needs.
  std::vector<pair_pressure> ChangedPressures(worker_row& worker) const;
  void AdoptRunning(worker_row& worker, const running_task& listed);
  void AdoptStarting(worker_row& worker, const run_id& listed);
  void AdoptRun(worker_row& worker, const task_ref& ref, const run_id& run, bool running);
  void DropMissing(worker_row& worker, const worker_report& report);
  void DropRefused(worker_row& worker, const worker_report& report);
  void ResendCommands(worker_row& worker);
  void RemoveLostCopies(const std::string& agent, std::string_view reason,
                        const std::optional<target_incarnation>& keep);
  /// Places nothing on the worker for a while, unless too many are avoided already.
  void Quarantine(worker_row& worker, std::string_view reason);
  void CountFailure(worker_row& worker, const ended_run& end);
  void GrantLease(worker_row& worker, const worker_report& report);
  /// Enters the worker as one without a lease.
  void MarkAbsent(worker_row& worker);
  /// Workers that earlier coordinators entered as absent are not waited for.
  void RestoreAbsences(const std::vector<store::kv_entry>& inbox);
  void SettleTakeover();
  void ExpireLeases();
  void StopRedundantCopies();
  /// @return false if no copy of the job is superfluous.
  bool StopRedundantCopiesOf(job_row& job);
  void UpdateCommitted();
  /// Plans, unless plans have taken enough time of late.
  void PlanIfDue();
  void StartPlanned();
  void MovePlanned();
  void LogFleet();
  void SendCommands();
  void CleanUp();
  worker_commands& CommandsFor(worker_row& worker);
  start_command MakeStart(const job_row& job, const run_id& run, const task_row& task) const;
  core::mono_time LeaseBound(core::mono_time granted) const;

  coordinator_options options_;
  const core::clock& time_;
  metrics::registry& metrics_;
  agent_link& agents_;
  term_authority& authority_;
  std::uint64_t term_ = 0;
  core::mono_time term_began_;
  bool takeover_settled_ = false;
  std::shared_ptr<const queue_catalogue> queues_;
  job_table jobs_;
  worker_table workers_;
  headroom_model headroom_model_;
  progress_writer progress_;
  absence_register absences_;
  plan_pacer plan_pacer_;
  std::set<std::string> early_cancels_;  ///< cancellations that arrived before their job
  std::map<std::string, worker_commands> commands_;
  core::mono_time next_cleanup_;
  core::mono_time next_move_;
  core::mono_time next_summary_;
  std::map<wait_reason, std::uint64_t> waits_;  ///< since the last summary
};

}  // namespace coltsfoot::jobs
