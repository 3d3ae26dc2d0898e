#include "jobs/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "plan_pass.h"

namespace coltsfoot::jobs {
namespace {

/// A released step with tasks to place.
struct open_step {
  job_rank rank;
  const job_row* job = nullptr;
  std::uint32_t step = 0;
};

using copies_by_worker = std::map<std::string, std::uint32_t, std::less<>>;

copies_by_worker CountCopies(const job_row& job, std::uint32_t step) {
  copies_by_worker counts;
  const step_row& row = job.steps[step];
  for (std::uint32_t index = 0; index < job.Spec(step).count; ++index) {
    for (const task_copy& copy : job.tasks[row.first_task + index].copies) ++counts[copy.agent];
  }
  return counts;
}

bool HasRoom(const worker_row& worker, const core::resources& need, std::int64_t cpu_headroom) {
  core::resources free = worker.capacity - worker.committed;
  free.cpu_millis -= cpu_headroom;
  return need.FitsIn(free);
}

bool ServesImage(const worker_row& worker, const std::string& image) {
  return std::any_of(worker.serving_groups.begin(), worker.serving_groups.end(),
                     [&](const auto& group) { return group.second == image; });
}

/// Scores a worker for a task; the highest score wins. Filling tasks interfere with serving tasks,
/// so serving tasks are packed onto few workers and leave the others to filling tasks. Short tasks
/// use the free processors of workers with serving tasks first, before they take processors from
/// filling tasks.
std::int64_t Score(const worker_row& worker, const step_spec& step,
                   const planner_options& options) {
  // Greater than any difference in processors, in thousandths, between two workers.
  constexpr std::int64_t kTierWeight = 10'000'000;
  constexpr std::int64_t kRemoteDataPenalty = 1'000'000;
  std::int64_t score = 0;
  if (step.fills) {
    score = IdleCpu(worker, options);
  } else if (step.long_running) {
    score = (worker.serving > 0 ? kTierWeight : 0) - FreeCpu(worker) - 2 * worker.filling_cpu;
    // The fewer serving images a worker has, the more filling images are compatible with them.
    if (ServesImage(worker, step.image)) score += 2 * kTierWeight;
  } else {
    score = (worker.serving > 0 ? kTierWeight : 0) + IdleCpu(worker, options);
  }
  if (!step.data_rack.empty() && !worker.HasLabel(step.data_rack)) score -= kRemoteDataPenalty;
  return score;
}

/// Places the tasks of one step.
class step_placer {
 public:
  step_placer(const open_step& open, plan_pass& pass, core::mono_time now,
              const planner_options& options)
      : job_(*open.job),
        step_(open.step),
        spec_(open.job->Spec(open.step)),
        need_(Reserved(spec_)),
        pass_(pass),
        options_(options) {
    const core::mono_time idle_since = std::max(job_.accepted_at, job_.last_running_at);
    const core::milliseconds starved_after = pass.IsMostlyFree(job_.queue.service)
                                                 ? options.starved_after_on_free_fleet
                                                 : options.starved_after;
    starved_ = job_.copy_count == 0 && now - idle_since >= starved_after;
    relaxed_ = now - job_.accepted_at >= options.relaxed_after;
    if (spec_.max_per_worker > 0) counts_ = CountCopies(job_, step_);
  }

  void Place(start_plan& out) {
    const std::uint32_t first = job_.steps[step_].first_task;
    for (std::uint32_t index = 0; index < spec_.count; ++index) {
      if (out.starts.size() >= options_.max_starts) return;
      const task_row& task = job_.tasks[first + index];
      if (task.progress.done || !task.copies.empty() || task.needs_isolation) continue;
      if (!starved_ && pass_.IsFull(job_, spec_, relaxed_)) return;
      worker_row* worker = ChooseWorker(task.failed_on);
      out.workers_examined += pass_.WorkersOf(job_.queue.service).size();
      if (worker == nullptr) {
        ++out.waits[wait_reason_];
        // Other steps may still fit if a worker was skipped only for this step's `max_per_worker`.
        if (!starved_ && spec_.max_per_worker == 0) pass_.RecordFull(job_, spec_, relaxed_);
        return;
      }
      Commit(*worker);
      out.starts.push_back({job_.id, step_, index, worker->agent});
      starved_ = false;
    }
  }

  /// Places a task that may crash its target alone on an isolated worker.
  /// @return false if no isolated worker with room is free.
  bool PlaceSuspect(std::uint32_t index, start_plan& out) {
    worker_row* best = nullptr;
    for (worker_row* worker : pass_.IsolatedWorkersOf(job_.queue.service)) {
      if (!worker->accepts_suspect || !HasRoom(*worker, need_, 0)) continue;
      if (!spec_.label.empty() && !worker->HasLabel(spec_.label)) continue;
      if (spec_.max_per_worker > 0 && CountAt(worker->agent) >= spec_.max_per_worker) continue;
      // Least goes down with an empty worker.
      if (best == nullptr || worker->committed.cpu_millis < best->committed.cpu_millis) {
        best = worker;
      }
    }
    if (best == nullptr) return false;
    Commit(*best);
    best->accepts_suspect = false;
    out.starts.push_back({job_.id, step_, index, best->agent});
    return true;
  }

 private:
  worker_row* ChooseWorker(const std::string& failed_on) {
    worker_row* best = nullptr;
    std::int64_t best_score = std::numeric_limits<std::int64_t>::min();
    wait_reason_ = wait_reason::no_worker;
    if (pass_.HasEvacuated(job_.queue.service, spec_.label)) {
      AdvanceWaitReason(wait_reason::evacuated);
    }
    for (worker_row* worker : pass_.WorkersOf(job_.queue.service)) {
      if (!spec_.label.empty() && !worker->HasLabel(spec_.label)) continue;
      AdvanceWaitReason(wait_reason::room);
      if (!HasRoom(*worker, need_, UrgentHeadroom(*worker))) continue;
      AdvanceWaitReason(wait_reason::spread);
      if (spec_.max_per_worker > 0 && CountAt(worker->agent) >= spec_.max_per_worker) continue;
      if (spec_.fills && !starved_) {
        AdvanceWaitReason(wait_reason::processors);
        if (!pass_.HasIdleProcessors(*worker, spec_)) continue;
        AdvanceWaitReason(wait_reason::goals);
        if (!pass_.KeepsGoals(*worker, spec_, relaxed_)) continue;
      }
      std::int64_t score = Score(*worker, spec_, options_);
      if (spec_.fills) {
        score -= std::llround(kPressurePenalty * pass_.PressureWith(*worker, spec_).at_peak);
      }
      if (worker->agent == failed_on) score -= kFailedHerePenalty;
      if (score > best_score) {
        best = worker;
        best_score = score;
      }
    }
    return best;
  }

  void AdvanceWaitReason(wait_reason reason) { wait_reason_ = std::max(wait_reason_, reason); }

  std::int64_t UrgentHeadroom(const worker_row& worker) const {
    if (job_.queue.priority == 0 || spec_.fills) return 0;
    return worker.capacity.cpu_millis * options_.urgent_headroom_permille / 1000;
  }

  std::uint32_t CountAt(const std::string& agent) const {
    const auto place = counts_.find(agent);
    return place == counts_.end() ? 0 : place->second;
  }

  void Commit(worker_row& worker) {
    worker.committed += need_;
    if (spec_.fills) {
      worker.filling_cpu += spec_.need.cpu_millis;
      worker.filling_cores[spec_.image] += static_cast<double>(spec_.need.cpu_millis) / 1000.0;
    }
    if (spec_.long_running) {
      ++worker.serving;
      worker.serving_groups.emplace(GroupOf(job_.id, step_), spec_.image);
      worker.serving_cpu += spec_.need.cpu_millis;
    }
    pass_.InvalidateGroups(worker);
    if (spec_.max_per_worker > 0) ++counts_[worker.agent];
  }

  // Greater than any other difference in scores, so that a task returns to the worker on which it
  // failed only if no other worker has room.
  static constexpr std::int64_t kFailedHerePenalty = 1'000'000'000;
  // A tenth of the headroom weighs as much as ten idle processors (10'000 thousandths).
  static constexpr double kPressurePenalty = 100'000;

  const job_row& job_;
  std::uint32_t step_;
  const step_spec& spec_;
  core::resources need_;
  plan_pass& pass_;
  const planner_options& options_;
  copies_by_worker counts_;
  wait_reason wait_reason_ = wait_reason::no_worker;  ///< valid if no worker was chosen
  bool relaxed_ = false;  ///< filling tasks may use headroom at the current load
  bool starved_ = false;  ///< the next task ignores idle processors and goals
};

/// Places the suspects that need isolation, those with the least evidence against them first, so
/// that harmless ones do not wait for the trials of those that crash target after target.
void PlaceSuspects(const job_table& jobs, const std::vector<open_step>& open, plan_pass& pass,
                   core::mono_time now, const planner_options& options, start_plan& out) {
  if (jobs.suspects().empty()) return;
  struct waiting_suspect {
    std::uint32_t crashes = 0;
    std::size_t rank = 0;  ///< index into `open`
    std::uint32_t index = 0;
    auto operator<=>(const waiting_suspect&) const = default;
  };
  std::vector<waiting_suspect> waiting;
  for (std::size_t rank = 0; rank < open.size(); ++rank) {
    const job_row& job = *open[rank].job;
    if (!jobs.suspects().contains(job.id)) continue;
    const std::uint32_t first = job.steps[open[rank].step].first_task;
    for (std::uint32_t index = 0; index < job.Spec(open[rank].step).count; ++index) {
      const task_row& task = job.tasks[first + index];
      if (!task.needs_isolation || task.progress.done || !task.copies.empty()) continue;
      waiting.push_back({task.crashes.crashes, rank, index});
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const waiting_suspect& each : waiting) {
    if (out.starts.size() >= options.max_starts) return;
    if (!step_placer(open[each.rank], pass, now, options).PlaceSuspect(each.index, out)) {
      ++out.waits[wait_reason::isolation];
    }
  }
}

}  // namespace

job_rank RankJob(const job_row& job, core::mono_time now, const planner_options& options) {
  job_rank rank{.priority = job.queue.priority, .lateness = 0, .work_ms = job.RemainingWorkMs()};
  rank.long_running = std::any_of(job.record.spec.steps.begin(), job.record.spec.steps.end(),
                                  [](const step_spec& step) { return step.long_running; });
  const auto objective_ms = static_cast<std::int64_t>(
      job.queue.stretch * static_cast<double>(job.CriticalPathMs()) + job.queue.objective_ms);
  const std::int64_t age_ms = core::ToMs(now - job.accepted_at);
  const std::int64_t remaining_ms = job.RemainingCriticalPathMs();
  const std::int64_t slack_ms = objective_ms - age_ms - remaining_ms;
  if (slack_ms < 0) {
    const auto limit_ms =
        static_cast<std::int64_t>(options.worthless_factor * static_cast<double>(objective_ms));
    rank.lateness = age_ms + remaining_ms <= limit_ms ? 1 : 2;
  }
  return rank;
}

bool TakesTasks(const worker_row& worker, std::string_view service, core::mono_time now) {
  // Agents report at least every 500 ms; after three missed reports the agent is probably
  // unreachable.
  constexpr core::milliseconds kReportLimit{1600};
  // A restarted agent has no lease until its first report has been answered with a grant, and
  // commands are sent after the grant.
  return worker.connected && worker.reported_on_connection && worker.listed && !worker.absent &&
         worker.unknown_runs == 0 && worker.state == target_state::ready &&
         worker.service == service && now - worker.last_report_at < kReportLimit &&
         now >= worker.quarantined_until && !worker.evacuated;
}

const char* ToString(wait_reason reason) noexcept {
  switch (reason) {
    case wait_reason::no_worker:
      return "no_worker";
    case wait_reason::evacuated:
      return "evacuated";
    case wait_reason::room:
      return "room";
    case wait_reason::spread:
      return "spread";
    case wait_reason::processors:
      return "processors";
    case wait_reason::goals:
      return "goals";
    case wait_reason::isolation:
      return "isolation";
  }
  return "unknown";
}

bool HasRoomFor(const worker_row& worker, const job_row& job, std::uint32_t step) {
  const step_spec& spec = job.Spec(step);
  if (!spec.label.empty() && !worker.HasLabel(spec.label)) return false;
  if (!HasRoom(worker, Reserved(spec), 0)) return false;
  if (spec.max_per_worker == 0) return true;
  const copies_by_worker counts = CountCopies(job, step);
  const auto here = counts.find(worker.agent);
  return here == counts.end() || here->second < spec.max_per_worker;
}

std::string GroupOf(std::string_view job, std::uint32_t step) {
  return std::string(job) + "." + std::to_string(step);
}

core::resources Reserved(const step_spec& step) {
  core::resources need = step.need;
  if (step.fills) need.cpu_millis = 0;
  return need;
}

start_plan Plan(const job_table& jobs, worker_table& workers, const headroom_model& model,
                core::mono_time now, const planner_options& options) {
  std::vector<open_step> open;
  for (const auto& [id, job] : jobs.open()) {
    if (job->held) continue;
    std::optional<job_rank> rank;
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
      if (job->steps[step].pending == 0 || !job->IsReleased(step)) continue;
      if (!rank) rank = RankJob(*job, now, options);
      open.push_back({*rank, job, step});
    }
  }
  std::stable_sort(open.begin(), open.end(), [](const open_step& left, const open_step& right) {
    return left.rank < right.rank;
  });
  start_plan out;
  if (open.empty()) return out;
  plan_pass pass(workers, model, now, options);
  PlaceSuspects(jobs, open, pass, now, options, out);
  for (const open_step& each : open) step_placer(each, pass, now, options).Place(out);
  return out;
}

fleet_summary Summarize(const job_table& jobs, const worker_table& workers, core::mono_time now) {
  fleet_summary sum;
  for (const auto& [agent, worker] : workers) {
    if (TakesTasks(worker, worker.service, now)) ++sum.usable;
    if (worker.quarantined_until > now) ++sum.quarantined;
    if (worker.slowed > 0) ++sum.slowed;
    if (worker.evacuated) ++sum.evacuated;
    sum.cpu_millis += worker.capacity.cpu_millis;
    sum.committed_millis += worker.committed.cpu_millis;
    sum.filling_millis += worker.filling_cpu;
  }
  for (const auto& [id, job] : jobs.jobs()) {
    sum.running += job.copy_count;
    if (IsEnded(job.state)) continue;
    ++sum.open_jobs;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      if (!job.IsReleased(step)) continue;
      (job.Spec(step).fills ? sum.waiting_filling : sum.waiting_tasks) += job.steps[step].pending;
    }
  }
  return sum;
}

}  // namespace coltsfoot::jobs
