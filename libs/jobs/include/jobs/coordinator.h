#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/absence_register.h"
#include "jobs/crash_isolation.h"
#include "jobs/headroom_model.h"
#include "jobs/job_table.h"
#include "jobs/messages.h"
#include "jobs/plan_pacer.h"
#include "jobs/planner.h"
#include "jobs/progress_writer.h"
#include "jobs/queue_catalogue.h"
#include "jobs/run_numbers.h"
#include "jobs/worker_table.h"
#include "jobs/zone_evacuations.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Keeps the coordinator's connections to agents and sends messages. Mocked in tests.
class agent_link {
 public:
  virtual ~agent_link() = default;
  /// Connects to an agent and reconnects whenever the connection is lost, until `Forget`.
  /// @param address IP:PORT of the agent.
  virtual void Connect(const std::string& agent, const std::string& address) = 0;
  virtual void Forget(const std::string& agent) = 0;
  virtual void ForgetAll() = 0;
  virtual void Send(const std::string& agent, const lease_grant& message) = 0;
  virtual void Send(const std::string& agent, const worker_commands& message) = 0;
};

/// Settings of the coordinator.
struct coordinator_options {
  planner_options planner;
  /// Lease of the tasks that a target runs, counted from the agent's last report that the
  /// coordinator answered with a grant.
  core::milliseconds task_lease{5000};
  /// Time after the end of its leader lease for which a coordinator that cannot reach the store may
  /// still extend the leases of agents.
  core::milliseconds grant_extension{6000};
  /// Time for which ended jobs are kept in memory and in the store.
  core::milliseconds retention{150'000};
  /// Share, in thousandths, by which a target's clock may run slow.
  std::int64_t clock_drift_permille = 20;
  /// Consecutive failures of tasks of different jobs after which a worker is quarantined.
  std::uint32_t failures_to_quarantine = 2;
  /// Length of a worker's first quarantine. Each further one is twice as long, up to
  /// `max_quarantine`, until a task is done there or the target restarts. Until then a single
  /// failure of another job starts the next one.
  core::milliseconds initial_quarantine{3000};
  core::milliseconds max_quarantine{12000};
  bool operator==(const coordinator_options&) const = default;
};

/// What the leadership of this process allows the coordinator to do.
class term_authority {
 public:
  virtual ~term_authority() = default;
  /// @return true while no other coordinator can exist, so that tasks may be started.
  virtual bool MayStart() const = 0;
  /// @return true while leases may still be extended.
  virtual bool MayExtend() const = 0;
  /// Called when a failed write or a report shows that another coordinator exists.
  virtual void OnDeposed() = 0;
};

/// Runs all jobs of the fleet during one term: places tasks on workers, records how they end and
/// stores progress. Must be used from one thread. Network, clock and store are passed in.
class coordinator {
 public:
  coordinator(coordinator_options options, const core::clock& time, metrics::registry& metrics,
              agent_link& agents, store::versioned_store& storage, term_authority& authority);

  /// Starts a term with the stored state.
  /// @param term version of the leader key; each later coordinator has a higher one.
  /// @param inbox all entries below `kInboxPrefix`.
  /// @param progress all entries below `kProgressPrefix`.
  void BeginTerm(std::uint64_t term, const std::vector<store::kv_entry>& inbox,
                 const std::vector<store::kv_entry>& progress);
  void EndTerm();
  bool active() const noexcept { return term_ != 0; }

  void SetQueues(std::shared_ptr<const queue_catalogue> queues);
  /// Starts no tasks in evacuated zones from now on, and none at all while the view is too old.
  /// Without this call zones are not evacuated.
  /// @param view must outlive this object.
  void ObserveEvacuations(const zone_evacuations& view) { evacuations_ = &view; }
  /// Handles a change below `kInboxPrefix`: a job, a cancellation or an agent.
  void OnInboxChange(const store::key_change& change);
  void OnAgentConnected(const std::string& agent);
  void OnAgentDisconnected(const std::string& agent);
  void OnReport(const worker_report& report);
  /// Plans starts, sends commands and writes progress. Call after events and at least every 100 ms.
  void Tick();

  /// @return the state of a job that callers may be shown, or nothing if the job is unknown or its
  /// state must be read from the store.
  std::optional<job_state> StateOf(std::string_view job) const;
  /// @return the number of jobs of a queue of which no target has reported a run yet.
  std::uint64_t CountWaiting(std::string_view queue) const;
  /// @return a job, to explain its state to callers; null if it is unknown.
  const job_row* FindJob(std::string_view job) const { return jobs_.Find(job); }
  const worker_table& workers() const noexcept { return workers_; }

 private:
  void AddJob(const std::string& id, const store::kv_entry& entry);
  /// Applies the configuration of the job's queue, unless the job was accepted under a newer one.
  void UpdateQueue(job_row& job) const;
  void CancelJob(const std::string& id);
  worker_row& WorkerOf(const std::string& agent);
  /// Updates what the report says about the target; after a restart its copies are lost.
  void ChangeIncarnation(worker_row& worker, const worker_report& report);
  /// Records ends that were not processed yet.
  void ApplyEnds(worker_row& worker, const worker_report& report);
  void ApplyEnd(worker_row& worker, const ended_run& end);
  /// Brings the worker's copies in line with the lists of its report.
  void Reconcile(worker_row& worker, const worker_report& report);
  /// Feeds the headroom model with the report's readings of serving and filling tasks.
  void LearnPressures(worker_row& worker, const worker_report& report);
  /// @return the pressures between images on the worker that changed since they were last sent.
  std::vector<pair_pressure> ChangedPressures(worker_row& worker) const;
  void AdoptRunning(worker_row& worker, const running_task& listed);
  void AdoptStarting(worker_row& worker, const run_id& listed);
  /// Adds a copy for a run that the worker lists, unless the job table has it.
  void AdoptRun(worker_row& worker, const task_ref& ref, const run_id& run, bool running);
  /// Removes copies that the report should list and does not, if its lists are complete.
  void DropMissing(worker_row& worker, const worker_report& report);
  void DropRefused(worker_row& worker, const worker_report& report);
  /// Records that the worker's target crashed under these runs.
  void ApplyCrash(const worker_row& worker, const std::vector<crashed_run>& crashed);
  void ResendCommands(worker_row& worker);
  /// Removes the copies at an agent whose runs have ended with their target.
  /// @param keep incarnation of the target whose copies stay.
  void RemoveLostCopies(const std::string& agent, std::string_view reason,
                        const target_incarnation& keep);
  void RemoveCopies(const std::string& agent, std::string_view reason,
                    const std::vector<std::pair<task_ref, std::uint32_t>>& lost);
  /// Takes over which starts a target that has no lists may still execute.
  void LearnLateStarts(worker_row& worker, const worker_report& report);
  /// Removes the copies on a worker whose lease has expired or whose target is gone, except late
  /// starts. Registers the worker as absent when none is left.
  void DropLostRuns(worker_row& worker, std::string_view reason);
  /// Places no tasks on the worker for a while, unless more than a third of the workers would be
  /// quarantined then.
  void Quarantine(worker_row& worker, std::string_view reason);
  /// Counts a failed run against the worker and quarantines it after too many.
  void CountFailure(worker_row& worker, const ended_run& end);
  void GrantLease(worker_row& worker, const worker_report& report);
  /// Registers the worker as one without a lease.
  void MarkAbsent(worker_row& worker);
  /// Loads the stored register of absent workers, so that the takeover does not wait for them.
  void RestoreAbsences(const std::vector<store::kv_entry>& inbox);
  /// Loads the numbers that runs of earlier terms may have.
  void RestoreRunNumbers(const std::vector<store::kv_entry>& inbox);
  /// Loads the stored evidence against tasks that may crash their targets.
  void RestoreCrashes(const std::vector<store::kv_entry>& progress);
  /// Ends the takeover when every worker has listed its runs or its lease has expired.
  void SettleTakeover();
  /// Removes the copies at workers whose lease has expired.
  void ExpireLeases();
  void StopRedundantCopies();
  /// @return false if the job has no redundant copy.
  bool StopRedundantCopiesOf(job_row& job);
  /// Recomputes what is committed at agents whose copies changed.
  void UpdateCommitted();
  /// Plans starts and moves, unless `plan_pacer_` asks for a pause.
  void PlanIfDue();
  void StartPlanned();
  /// Marks the workers in evacuated zones.
  void MarkEvacuated();
  /// @return false while the view of evacuated zones is too old to place tasks by it.
  bool KnowsEvacuations(core::mono_time now);
  /// @return the time after which the agent must not send a start, on its clock, in ms; 0: none.
  std::int64_t StartExpiry(const worker_row& worker) const;
  void MovePlanned();
  void LogFleet();
  void SendCommands();
  /// Removes jobs that ended long ago, agents that have been unreachable for long and old
  /// cancellations of jobs that never arrived.
  void CleanUp();
  void RemoveOldCancellations();
  /// @return the commands for the worker that the next `SendCommands` sends.
  worker_commands& CommandsFor(worker_row& worker);
  static task_facts FactsOf(const run_id& run, const step_spec& step);
  start_command MakeStart(const job_row& job, const run_id& run, const task_row& task,
                          const worker_row& worker) const;
  /// @return when a lease that is granted at `granted` has certainly expired at the target.
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
  const zone_evacuations* evacuations_ = nullptr;  ///< null: zones are not evacuated
  std::uint64_t evacuations_logged_ = 0;           ///< `changes` of the view when last logged
  bool evacuations_current_ = true;
  headroom_model headroom_model_;
  crash_isolation isolation_;
  progress_writer progress_;
  absence_register absences_;
  run_numbers run_numbers_;
  plan_pacer plan_pacer_;
  /// Jobs whose cancellation arrived before they did, and since when it is kept.
  std::map<std::string, core::mono_time> early_cancels_;
  std::map<std::string, worker_commands> commands_;
  core::mono_time next_cleanup_;
  core::mono_time next_move_;
  core::mono_time next_summary_;
  std::map<wait_reason, std::uint64_t> waits_;  ///< since the last log of the fleet
};

}  // namespace coltsfoot::jobs
