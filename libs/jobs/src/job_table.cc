#include "jobs/job_table.h"

#include <algorithm>
#include <utility>

#include "jobs/crash_isolation.h"

namespace coltsfoot::jobs {
namespace {

/// @return the length of the critical path through the steps, where `duration(step)` is that of one
/// step. Steps depend only on earlier ones.
template <class Duration>
std::int64_t CriticalPathLengthMs(const std::vector<step_spec>& steps, Duration duration) {
  std::vector<std::int64_t> finish(steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::int64_t start = 0;
    for (const std::uint32_t earlier : steps[step].after) start = std::max(start, finish[earlier]);
    finish[step] = start + duration(static_cast<std::uint32_t>(step));
    longest = std::max(longest, finish[step]);
  }
  return longest;
}

}  // namespace

bool job_row::IsReleased(std::uint32_t step) const {
  const auto& after = Spec(step).after;
  return std::all_of(after.begin(), after.end(), [this](std::uint32_t earlier) {
    return steps[earlier].done == Spec(earlier).count;
  });
}

std::int64_t job_row::RemainingCriticalPathMs() const {
  return CriticalPathLengthMs(record.spec.steps, [this](std::uint32_t step) -> std::int64_t {
    return steps[step].done == Spec(step).count ? 0 : Spec(step).estimate_ms;
  });
}

std::int64_t job_row::RemainingWorkMs() const {
  std::int64_t work_ms = 0;
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    const step_spec& spec = Spec(step);
    work_ms += (spec.count - steps[step].done) * spec.need.cpu_millis * spec.estimate_ms / 1000;
  }
  return work_ms;
}

std::int64_t job_row::CriticalPathMs() const {
  return CriticalPathLengthMs(record.spec.steps, [this](std::uint32_t step) -> std::int64_t {
    return Spec(step).estimate_ms;
  });
}

job_row& job_table::Add(std::string id, job_record record, std::uint64_t revision,
                        core::mono_time accepted) {
  const auto [it, added] = jobs_.try_emplace(id);
  job_row& job = it->second;
  if (!added) return job;
  job.id = std::move(id);
  job.record = std::move(record);
  job.accepted_revision = revision;
  job.accepted_at = accepted;
  std::uint32_t first = 0;
  for (const step_spec& step : job.record.spec.steps) {
    job.steps.push_back({.first_task = first, .done = 0, .pending = step.count});
    first += step.count;
  }
  job.tasks.Resize(first);
  open_.emplace(job.id, &job);
  return job;
}

void job_table::Clear() {
  open_.clear();
  dirty_.clear();
  stop_candidates_.clear();
  suspects_.clear();
  by_agent_.clear();
  changed_agents_.clear();
  jobs_.clear();
}

void job_table::Remove(const std::string& id) {
  open_.erase(id);
  dirty_.erase(id);
  stop_candidates_.erase(id);
  suspects_.erase(id);
  jobs_.erase(id);
}

void job_table::Restore(job_row& job, const progress_record& stored, store::key_version version,
                        std::uint32_t max_run) {
  job.progress_version = version;
  job.state = stored.state;
  job.begun = stored.state != job_state::queued;
  job.stored_state = stored.state;
  job.ended_wall_ms = stored.ended_wall_ms;
  const auto count = std::min<std::size_t>(job.tasks.size(), stored.tasks.size());
  for (std::uint32_t index = 0; index < count; ++index) {
    if (stored.tasks[index] == task_progress{}) continue;
    task_progress& progress = job.tasks.At(index).progress;
    progress = stored.tasks[index];
    progress.last_run = std::min(progress.last_run, max_run);
  }
  CountSteps(job);
  if (IsEnded(job.state)) open_.erase(job.id);
}

job_row* job_table::Find(std::string_view id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job_row* job_table::Find(std::string_view id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<task_ref> job_table::FindTask(const task_id& task) {
  job_row* job = Find(task.job);
  if (job == nullptr || task.occurrence != 0 || task.step >= job->steps.size()) return std::nullopt;
  if (task.index >= job->Spec(task.step).count) return std::nullopt;
  task_row& row = job->tasks.At(job->steps[task.step].first_task + task.index);
  return task_ref{job, task.step, task.index, &row};
}

job_table::copy_ref job_table::RefOf(const task_ref& ref, std::uint32_t run) {
  return {ref.job, ref.step, ref.index, run};
}

void job_table::AddCopy(const task_ref& ref, task_copy copy) {
  task_row& task = *ref.task;
  if (task.copies.empty() && !task.progress.done) --ref.job->steps[ref.step].pending;
  task.progress.last_run = std::max(task.progress.last_run, copy.run);
  by_agent_[copy.agent].push_back(RefOf(ref, copy.run));
  changed_agents_.insert(copy.agent);
  task.copies.push_back(std::move(copy));
  ++ref.job->copy_count;
  if (task.copies.size() > 1 || task.progress.done || IsEnded(ref.job->state)) {
    stop_candidates_.emplace(ref.job->id, ref.job);
  }
  if (ref.job->state == job_state::queued) ref.job->state = job_state::active;
}

std::optional<task_copy> job_table::RemoveCopy(const task_ref& ref, std::string_view agent,
                                               std::uint32_t run) {
  task_row& task = *ref.task;
  const auto copy = std::find_if(task.copies.begin(), task.copies.end(), [&](const auto& each) {
    return each.agent == agent && each.run == run;
  });
  if (copy == task.copies.end()) return std::nullopt;
  task_copy removed = std::move(*copy);
  task.copies.erase(copy);
  std::erase(by_agent_[removed.agent], RefOf(ref, run));
  changed_agents_.insert(removed.agent);
  --ref.job->copy_count;
  if (task.copies.empty() && !task.progress.done) ++ref.job->steps[ref.step].pending;
  return removed;
}

void job_table::MarkDone(const task_ref& ref, std::int64_t wall_ms) {
  task_row& task = *ref.task;
  if (task.progress.done) return;
  job_row& job = *ref.job;
  task.progress.done = true;
  task.progress.checkpoint.clear();
  if (task.copies.empty()) {
    --job.steps[ref.step].pending;
  } else {
    stop_candidates_.emplace(job.id, &job);
  }
  ++job.steps[ref.step].done;
  MarkDirty(job);
  if (job.state == job_state::queued) job.state = job_state::active;
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    if (job.steps[step].done != job.Spec(step).count) return;
  }
  if (!IsEnded(job.state)) End(job, job_state::complete, wall_ms);
}

void job_table::MarkFailed(const task_ref& ref, std::uint32_t run, std::int64_t wall_ms) {
  auto& failed = ref.task->progress.failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  job_row& job = *ref.job;
  if (job.Spec(ref.step).long_running) return;
  failed.push_back(run);
  MarkDirty(job);
  if (job.state == job_state::queued) job.state = job_state::active;
  if (failed.size() >= job.queue.attempts && !ref.task->progress.done && !IsEnded(job.state)) {
    End(job, job_state::failed, wall_ms);
  }
}

void job_table::MarkCrashed(const task_ref& ref, const crash_evidence& evidence,
                            std::uint32_t crashes_alone, std::int64_t wall_ms) {
  job_row& job = *ref.job;
  if (IsEnded(job.state) || ref.task->progress.done) return;
  ref.task->crashes = evidence;
  // Most tasks that are lost once are bystanders, so that alone is not worth a write.
  if (evidence.crashes == 0 && !IsCulprit(evidence, crashes_alone)) return;
  suspects_.emplace(job.id, &job);
  job.crashes_changed = true;
  MarkDirty(job);
  if (IsCulprit(evidence, crashes_alone)) End(job, job_state::failed, wall_ms);
}

void job_table::ClearCrashes(const task_ref& ref) {
  job_row& job = *ref.job;
  const bool was_suspect = ref.task->crashes.crashes > 0;
  ref.task->crashes = {};
  if (!was_suspect) return;
  ref.task->needs_isolation = false;
  job.crashes_changed = true;
  MarkDirty(job);
  const bool others =
      job.tasks.EndOf([](const task_row& task) { return task.crashes.crashes > 0; }) > 0;
  if (!others) suspects_.erase(job.id);
}

void job_table::RestoreCrashes(job_row& job, const crash_record& stored) {
  job.crashes_stored = true;
  const auto count = std::min<std::size_t>(job.tasks.size(), stored.tasks.size());
  bool found = false;
  for (std::uint32_t index = 0; index < count; ++index) {
    if (stored.tasks[index] == crash_evidence{}) continue;
    job.tasks.At(index).crashes = stored.tasks[index];
    found = found || stored.tasks[index].crashes > 0;
  }
  if (found && !IsEnded(job.state)) suspects_.emplace(job.id, &job);
}

void job_table::Cancel(job_row& job, std::int64_t wall_ms) {
  job.cancel_requested = true;
  if (IsEnded(job.state)) return;
  End(job, job_state::cancelled, wall_ms);
}

progress_record job_table::Progress(const job_row& job) {
  progress_record out{.state = job.state, .ended_wall_ms = job.ended_wall_ms, .tasks = {}};
  if (IsEnded(job.state)) return out;
  const std::uint32_t end =
      job.tasks.EndOf([](const task_row& task) { return task.progress != task_progress{}; });
  out.tasks.reserve(end);
  for (std::uint32_t index = 0; index < end; ++index) {
    out.tasks.push_back(job.tasks[index].progress);
  }
  return out;
}

crash_record job_table::Crashes(const job_row& job) {
  crash_record out;
  const std::uint32_t end =
      job.tasks.EndOf([](const task_row& task) { return task.crashes != crash_evidence{}; });
  out.tasks.reserve(end);
  for (std::uint32_t index = 0; index < end; ++index) {
    out.tasks.push_back(job.tasks[index].crashes);
  }
  return out;
}

void job_table::End(job_row& job, job_state state, std::int64_t wall_ms) {
  job.state = state;
  job.ended_wall_ms = wall_ms;
  MarkDirty(job);
  open_.erase(job.id);
  suspects_.erase(job.id);
  if (job.copy_count > 0) stop_candidates_.emplace(job.id, &job);
}

void job_table::CountSteps(job_row& job) {
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    step_row& row = job.steps[step];
    row.done = 0;
    row.pending = 0;
    for (std::uint32_t index = 0; index < job.Spec(step).count; ++index) {
      const task_row& task = job.tasks[row.first_task + index];
      if (task.progress.done) {
        ++row.done;
      } else if (task.copies.empty()) {
        ++row.pending;
      }
    }
  }
}

}  // namespace coltsfoot::jobs
