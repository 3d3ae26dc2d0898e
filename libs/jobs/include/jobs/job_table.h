#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"
#include "jobs/queue_catalogue.h"
#include "jobs/records.h"
#include "jobs/task_rows.h"
#include "jobs/types.h"
#include "store/kv_client.h"

namespace coltsfoot::jobs {

/// Task counts of a step. They let the planner skip steps without pending tasks.
struct step_row {
  std::uint32_t first_task = 0;
  std::uint32_t done = 0;
  std::uint32_t pending = 0;  ///< tasks that are neither done nor have a copy
};

/// A job known to the coordinator.
struct job_row {
  std::string id;
  job_record record;
  queue_config queue;  ///< latest known configuration of its queue
  std::uint64_t accepted_revision = 0;
  core::mono_time accepted_at;
  core::mono_time last_running_at;  ///< when one of its tasks last had a copy; zero: never
  std::uint32_t run_base = 0;       ///< new runs get higher numbers; set for jobs of earlier terms
  job_state state = job_state::queued;
  std::int64_t ended_wall_ms = 0;
  bool begun = false;  ///< a target has begun a task of it, as far as known
  bool cancel_requested = false;
  bool held = false;  ///< not planned: a worker that has not reported may still run its tasks
  std::uint32_t copy_count = 0;  ///< number of copies of all its tasks
  job_state stored_state = job_state::queued;
  bool end_in_doubt = false;  ///< its end may be stored: a write is in flight or had no answer
  store::key_version progress_version = 0;
  std::uint64_t changes = 0;         ///< number of changes to its progress in this term
  std::uint64_t stored_changes = 0;  ///< how many of `changes` are in the store
  bool crashes_changed = false;      ///< evidence of crashes that no write contains yet
  bool crashes_stored = false;       ///< the store may hold a `crash_record`
  std::vector<step_row> steps;
  task_rows tasks;

  const step_spec& Spec(std::uint32_t step) const { return record.spec.steps[step]; }
  /// @return true if all steps that `step` depends on are done.
  bool IsReleased(std::uint32_t step) const;
  /// @return the estimated length of the critical path through the steps that are not done, in ms.
  std::int64_t RemainingCriticalPathMs() const;
  /// @return the estimated work of all tasks that are not done, in processor-milliseconds.
  std::int64_t RemainingWorkMs() const;
  /// @return the estimated length of the critical path through all steps, in ms.
  std::int64_t CriticalPathMs() const;
};

/// Reference to a task in the table. Valid until its job is removed.
struct task_ref {
  job_row* job = nullptr;
  std::uint32_t step = 0;
  std::uint32_t index = 0;  ///< in its step
  task_row* task = nullptr;
};

/// The jobs of one coordinator. Keeps step counts, job states and indexes up to date, so that the
/// cost of a tick depends on what changed and not on the size of the table.
class job_table {
 public:
  using job_map = std::map<std::string, job_row, std::less<>>;
  /// Index into the table: a subset of the jobs by id.
  using job_index = std::map<std::string_view, job_row*>;

  void Clear();
  /// Adds a job without progress. Does not change a job that exists.
  /// @param revision version of the job's entry in the store.
  /// @param accepted time at which the job was accepted.
  /// @return the job with this id.
  job_row& Add(std::string id, job_record record, std::uint64_t revision, core::mono_time accepted);
  /// Sets a job's progress to what is stored. Call before any of its runs is known.
  /// @param max_run higher run numbers come from damaged data and are replaced by this one.
  void Restore(job_row& job, const progress_record& stored, store::key_version version,
               std::uint32_t max_run);
  /// Removes a job. The job must have no copies.
  void Remove(const std::string& id);

  job_row* Find(std::string_view id);
  const job_row* Find(std::string_view id) const;
  /// @return a reference to the task, or nothing if the job or the task does not exist.
  std::optional<task_ref> FindTask(const task_id& task);
  job_map& jobs() noexcept { return jobs_; }
  const job_map& jobs() const noexcept { return jobs_; }
  /// @return the jobs that have not ended.
  const job_index& open() const noexcept { return open_; }
  /// @return the jobs with progress that no write contains yet.
  const job_index& dirty() const noexcept { return dirty_; }
  void MarkDirty(job_row& job) {
    ++job.changes;
    dirty_.emplace(job.id, &job);
  }
  /// Makes a job dirty again after its write failed.
  void KeepDirty(job_row& job) { dirty_.emplace(job.id, &job); }
  void ClearDirty(job_row& job) { dirty_.erase(job.id); }
  /// @return the jobs that have not ended and have suspects.
  const job_index& suspects() const noexcept { return suspects_; }
  /// @return the jobs that may have redundant copies, which must be stopped.
  const job_index& stop_candidates() const noexcept { return stop_candidates_; }
  void ClearStopCandidate(job_row& job) { stop_candidates_.erase(job.id); }
  /// @return the agents whose copies changed since the last call, and forgets them.
  std::set<std::string> TakeChangedAgents() { return std::exchange(changed_agents_, {}); }
  void MarkAgentChanged(const std::string& agent) { changed_agents_.insert(agent); }

  /// Calls `visit(const task_ref&, const task_id&, task_copy&)` for each copy at this agent.
  /// `visit` must not add or remove copies.
  template <class Visit>
  void VisitCopies(std::string_view agent, Visit visit) const {
    const auto it = by_agent_.find(agent);
    if (it == by_agent_.end()) return;
    for (const copy_ref& each : it->second) {
      task_row& task = each.job->tasks.At(each.job->steps[each.step].first_task + each.index);
      for (task_copy& copy : task.copies) {
        if (copy.run != each.run || copy.agent != agent) continue;
        visit(task_ref{each.job, each.step, each.index, &task},
              task_id{each.job->id, 0, each.step, each.index}, copy);
      }
    }
  }

  /// Adds a copy; a queued job becomes active.
  void AddCopy(const task_ref& ref, task_copy copy);
  /// Removes the copy with this run at this agent.
  /// @return the copy, or nothing if there is none.
  std::optional<task_copy> RemoveCopy(const task_ref& ref, std::string_view agent,
                                      std::uint32_t run);
  /// Records that the task is done; the job completes with its last task. Idempotent.
  /// @param wall_ms wall-clock time of the end, in ms since the epoch.
  void MarkDone(const task_ref& ref, std::int64_t wall_ms);
  /// Records that a run failed. The job fails when the task has used up the attempts that its queue
  /// allows. Idempotent by run. Ignored for long-running tasks.
  void MarkFailed(const task_ref& ref, std::uint32_t run, std::int64_t wall_ms);
  /// Records that a target crashed under the task. The job fails when the task is found to be the
  /// culprit.
  /// @param evidence against the task, including this crash.
  /// @param crashes_alone see `IsCulprit`.
  void MarkCrashed(const task_ref& ref, const crash_evidence& evidence, std::uint32_t crashes_alone,
                   std::int64_t wall_ms);
  /// Drops the evidence against a task that has run without crashing its target.
  void ClearCrashes(const task_ref& ref);
  void RestoreCrashes(job_row& job, const crash_record& stored);
  /// Cancels the job, unless it has ended.
  void Cancel(job_row& job, std::int64_t wall_ms);
  /// @return the record of the job's progress for the store.
  static progress_record Progress(const job_row& job);
  /// @return the evidence against the job's tasks, for the store.
  static crash_record Crashes(const job_row& job);

 private:
  struct copy_ref {
    job_row* job = nullptr;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0;
    bool operator==(const copy_ref&) const = default;
  };

  void End(job_row& job, job_state state, std::int64_t wall_ms);
  /// Recomputes the counts of all steps from the tasks.
  static void CountSteps(job_row& job);
  static copy_ref RefOf(const task_ref& ref, std::uint32_t run);

  job_map jobs_;
  job_index open_;
  job_index dirty_;
  job_index stop_candidates_;
  job_index suspects_;
  std::map<std::string, std::vector<copy_ref>, std::less<>> by_agent_;
  std::set<std::string> changed_agents_;
};

}  // namespace coltsfoot::jobs
