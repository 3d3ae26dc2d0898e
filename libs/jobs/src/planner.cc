#include "jobs/planner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace coltsfoot::jobs {
namespace {

/// A step with tasks to place.
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

std::int64_t FreeCpu(const worker_row& worker) {
  return worker.capacity.cpu_millis - worker.committed.cpu_millis;
}

bool HasRoom(const worker_row& worker, const core::resources& need, std::int64_t headroom) {
  core::resources free = worker.capacity - worker.committed;
  free.cpu_millis -= headroom;
  return need.FitsIn(free);
}

/// @return the processors that neither filling nor other tasks are expected to use.
std::int64_t IdleCpu(const worker_row& worker, const planner_options& options) {
  const std::int64_t unused_by_serving =
      worker.serving_cpu * (1000 - options.serving_use_permille) / 1000;
  return FreeCpu(worker) + unused_by_serving - worker.filling_cpu;
}

/// Rates a worker for a task; the highest score wins. Filling tasks disturb serving ones, so the
/// two kinds are kept apart: serving tasks share workers, filling tasks take the others, and short
/// tasks use what serving tasks leave before they take processors from filling ones.
std::int64_t Score(const worker_row& worker, const step_spec& step,
                   const planner_options& options) {
  // Above any difference in processors, in thousandths, between two workers.
  constexpr std::int64_t kApart = 10'000'000;
  constexpr std::int64_t kRemoteData = 1'000'000;
  std::int64_t score = 0;
  if (step.fills) {
    score = IdleCpu(worker, options) - kApart * worker.serving;
  } else if (step.lasting) {
    score = (worker.serving > 0 ? kApart : 0) - FreeCpu(worker) - 2 * worker.filling_cpu;
  } else {
    score = (worker.serving > 0 ? kApart : 0) + IdleCpu(worker, options);
  }
  if (!step.data_rack.empty() && !worker.HasLabel(step.data_rack)) score -= kRemoteData;
  return score;
}

/// What all steps of one plan share: the workers that take tasks, the risks of images beside them,
/// and what was found to have no room, so that a long queue costs no more than a short one.
class plan_pass {
 public:
  plan_pass(worker_table& workers, const pair_risk& risks, core::mono_time now,
            const planner_options& options)
      : risks_(risks), options_(options) {
    for (auto& [agent, worker] : workers) {
      if (TakesTasks(worker, worker.service, now)) by_service_[worker.service].push_back(&worker);
    }
  }

  const std::vector<worker_row*>& WorkersOf(const std::string& service) const {
    static const std::vector<worker_row*> kNone;
    const auto place = by_service_.find(service);
    return place == by_service_.end() ? kNone : place->second;
  }

  /// @return the highest risk that a filling image makes a serving task of the worker miss its
  /// goal.
  double HighestRisk(const worker_row& worker, const std::string& image) {
    auto& known = highest_[image];
    const auto [place, added] = known.try_emplace(&worker, 0.0);
    if (!added) return place->second;
    for (const std::string& serving : worker.serving_images) {
      place->second = std::max(place->second, risks_.Risk(serving, image));
    }
    return place->second;
  }

  /// Notes that the serving images of a worker changed.
  void ForgetRisks(const worker_row& worker) {
    for (auto& [image, known] : highest_) known.erase(&worker);
  }

  /// Filling tasks beyond the idle processors only slow each other down; a few late jobs are
  /// better than all jobs late.
  bool IsWorthFilling(const worker_row& worker, const step_spec& step) {
    if (worker.filling_cpu != 0 && 10 * IdleCpu(worker, options_) < 8 * step.need.cpu_millis) {
      return false;
    }
    if (worker.serving == 0) return true;
    return worker.slowed == 0 && HighestRisk(worker, step.image) <= options_.highest_risk;
  }

  /// @return true if a step that asks for no more was found to have no room.
  bool IsFull(const job_row& job, const step_spec& step) const {
    const auto place = full_.find(KindOf(job, step));
    return place != full_.end() && place->second.FitsIn(step.need);
  }

  void NoteFull(const job_row& job, const step_spec& step) {
    full_.insert_or_assign(KindOf(job, step), step.need);
  }

 private:
  /// Service, label, filling image and urgency: what decides besides the need whether a task fits.
  using step_kind = std::tuple<std::string, std::string, std::string, bool, bool>;

  static step_kind KindOf(const job_row& job, const step_spec& step) {
    return {job.queue.service, step.label, step.fills ? step.image : std::string(), step.fills,
            job.queue.priority == 0};
  }

  const pair_risk& risks_;
  const planner_options& options_;
  std::map<std::string, std::vector<worker_row*>> by_service_;
  std::map<std::string, std::map<const worker_row*, double>> highest_;
  std::map<step_kind, core::resources> full_;
};

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
    const core::mono_time idle_since = std::max(job_.admitted_at, job_.last_running);
    starved_ = job_.copies == 0 && now - idle_since >= options.starved_after;
    if (spec_.max_per_worker > 0) counts_ = CountCopies(job_, step_);
  }

  void Place(start_plan& out) {
    const std::uint32_t first = job_.steps[step_].first_task;
    for (std::uint32_t index = 0; index < spec_.count; ++index) {
      if (out.starts.size() >= options_.max_starts) return;
      const task_row& task = job_.tasks[first + index];
      if (task.progress.done || !task.copies.empty()) continue;
      if (!starved_ && pass_.IsFull(job_, spec_)) return;
      worker_row* worker = Choose(task.failed_on);
      out.considered += pass_.WorkersOf(job_.queue.service).size();
      if (worker == nullptr) {
        // A worker may have room but hold as many tasks of this step as it may.
        if (!starved_ && spec_.max_per_worker == 0) pass_.NoteFull(job_, spec_);
        return;
      }
      Commit(*worker);
      out.starts.push_back({job_.id, step_, index, worker->agent});
      starved_ = false;
    }
  }

 private:
  worker_row* Choose(const std::string& avoid) {
    worker_row* best = nullptr;
    std::int64_t best_score = std::numeric_limits<std::int64_t>::min();
    for (worker_row* worker : pass_.WorkersOf(job_.queue.service)) {
      if (!spec_.label.empty() && !worker->HasLabel(spec_.label)) continue;
      if (!HasRoom(*worker, need_, Headroom(*worker))) continue;
      if (spec_.fills && !starved_ && !pass_.IsWorthFilling(*worker, spec_)) continue;
      if (spec_.max_per_worker > 0 && CountAt(worker->agent) >= spec_.max_per_worker) continue;
      std::int64_t score = Score(*worker, spec_, options_);
      if (worker->agent == avoid) score -= kFailedHerePenalty;
      if (score > best_score) {
        best = worker;
        best_score = score;
      }
    }
    return best;
  }

  std::int64_t Headroom(const worker_row& worker) const {
    if (job_.queue.priority == 0 || spec_.fills) return 0;
    return worker.capacity.cpu_millis * options_.urgent_headroom_permille / 1000;
  }

  std::uint32_t CountAt(const std::string& agent) const {
    const auto place = counts_.find(agent);
    return place == counts_.end() ? 0 : place->second;
  }

  void Commit(worker_row& worker) {
    worker.committed += need_;
    if (spec_.fills) worker.filling_cpu += spec_.need.cpu_millis;
    if (spec_.lasting) {
      ++worker.serving;
      worker.serving_images.push_back(spec_.image);
      worker.serving_cpu += spec_.need.cpu_millis;
      pass_.ForgetRisks(worker);
    }
    if (spec_.max_per_worker > 0) ++counts_[worker.agent];
  }

  // Above any other difference in scores, so that a task returns to a worker on which it failed
  // only if no other has room.
  static constexpr std::int64_t kFailedHerePenalty = 1'000'000'000;

  const job_row& job_;
  std::uint32_t step_;
  const step_spec& spec_;
  core::resources need_;
  plan_pass& pass_;
  const planner_options& options_;
  copies_by_worker counts_;
  bool starved_ = false;  ///< the job's next task is placed wherever it has room
};

}  // namespace

job_rank RankJob(const job_row& job, core::mono_time now, const planner_options& options) {
  job_rank rank{.priority = job.queue.priority, .lateness = 0, .work_ms = job.RemainingWorkMs()};
  const auto objective_ms = static_cast<std::int64_t>(
      job.queue.stretch * static_cast<double>(job.WholeChainMs()) + job.queue.objective_ms);
  const std::int64_t age_ms = core::ToMs(now - job.admitted_at);
  const std::int64_t remaining_ms = job.RemainingChainMs();
  const std::int64_t slack_ms = objective_ms - age_ms - remaining_ms;
  if (slack_ms < 0) {
    const auto limit_ms =
        static_cast<std::int64_t>(options.worthless_factor * static_cast<double>(objective_ms));
    rank.lateness = age_ms + remaining_ms <= limit_ms ? 1 : 2;
  }
  return rank;
}

bool TakesTasks(const worker_row& worker, std::string_view service, core::mono_time now) {
  // Agents report at least every half second; one that has missed this many reports is probably
  // cut off.
  constexpr core::milliseconds kReportLimit{1600};
  return worker.connected && worker.listed && worker.foreign == 0 &&
         worker.state == target_state::ready && worker.service == service &&
         now - worker.last_report < kReportLimit && now >= worker.avoid_until;
}

core::resources Reserved(const step_spec& step) {
  core::resources need = step.need;
  if (step.fills) need.cpu_millis = 0;
  return need;
}

start_plan Plan(const job_table& jobs, worker_table& workers, const pair_risk& risks,
                core::mono_time now, const planner_options& options) {
  std::vector<open_step> open;
  for (const auto& [id, job] : jobs.open()) {
    if (job->held) continue;
    std::optional<job_rank> rank;
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
      if (job->steps[step].idle == 0 || !job->IsReleased(step)) continue;
      if (!rank) rank = RankJob(*job, now, options);
      open.push_back({*rank, job, step});
    }
  }
  std::stable_sort(open.begin(), open.end(), [](const open_step& left, const open_step& right) {
    return left.rank < right.rank;
  });
  start_plan out;
  if (open.empty()) return out;
  plan_pass pass(workers, risks, now, options);
  for (const open_step& each : open) step_placer(each, pass, now, options).Place(out);
  return out;
}

const char* ToString(move_reason reason) noexcept {
  return reason == move_reason::stuck ? "stuck" : "slowed";
}

namespace {

/// Looks for copies to move, job by job.
class move_finder {
 public:
  move_finder(const worker_table& workers, core::mono_time now, const planner_options& options)
      : workers_(workers), now_(now), options_(options) {
    // Moved tasks would take the idle processors of workers without serving tasks.
    for (const auto& [agent, worker] : workers) {
      if (worker.serving > 0 || !TakesTasks(worker, worker.service, now)) continue;
      idle_millis_ += std::max<std::int64_t>(0, IdleCpu(worker, options));
    }
  }

  void Visit(const job_row& job, std::uint32_t step) {
    const step_spec& spec = job.Spec(step);
    if (spec.lasting) return;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
      for (const task_copy& copy : job.tasks[job.steps[step].first_task + index].copies) {
        const auto reason = Reason(spec, copy);
        if (!reason) continue;
        planned_move& move = moves_.emplace_back();
        move.run = {{job.id, 0, step, index}, copy.run};
        move.agent = copy.agent;
        move.reason = *reason;
      }
    }
  }

  std::vector<planned_move> Take() { return std::move(moves_); }

 private:
  std::optional<move_reason> Reason(const step_spec& spec, const task_copy& copy) {
    const auto worker = workers_.find(copy.agent);
    if (worker == workers_.end() || !copy.running || copy.stopping) return std::nullopt;
    const worker_row& at = worker->second;
    if (at.state != target_state::ready || !at.connected) return std::nullopt;
    if (!spec.fills || copy.pace == 100) {
      if (now_ - copy.progress_at < options_.stuck_after) return std::nullopt;
      return move_reason::stuck;
    }
    if (!spec.checkpoints || copy.pace >= options_.least_pace) return std::nullopt;
    if (idle_millis_ < spec.need.cpu_millis) return std::nullopt;
    if (now_ - copy.slowed_since < options_.move_slowed_after) return std::nullopt;
    idle_millis_ -= spec.need.cpu_millis;
    return move_reason::slowed;
  }

  const worker_table& workers_;
  core::mono_time now_;
  const planner_options& options_;
  std::int64_t idle_millis_ = 0;
  std::vector<planned_move> moves_;
};

}  // namespace

std::vector<planned_move> PlanMoves(const job_table& jobs, const worker_table& workers,
                                    core::mono_time now, const planner_options& options) {
  move_finder finder(workers, now, options);
  for (const auto& [id, job] : jobs.open()) {
    if (job->copies == 0) continue;
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) finder.Visit(*job, step);
  }
  return finder.Take();
}

fleet_summary Summarize(const job_table& jobs, const worker_table& workers, core::mono_time now) {
  fleet_summary sum;
  for (const auto& [agent, worker] : workers) {
    if (TakesTasks(worker, worker.service, now)) ++sum.usable;
    if (worker.avoid_until > now) ++sum.avoided;
    if (worker.slowed > 0) ++sum.slowed;
    sum.cpu_millis += worker.capacity.cpu_millis;
    sum.committed_millis += worker.committed.cpu_millis;
    sum.filling_millis += worker.filling_cpu;
  }
  for (const auto& [id, job] : jobs.jobs()) {
    sum.running += job.copies;
    if (IsEnded(job.state)) continue;
    ++sum.open_jobs;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
      if (!job.IsReleased(step)) continue;
      (job.Spec(step).fills ? sum.waiting_filling : sum.waiting_tasks) += job.steps[step].idle;
    }
  }
  return sum;
}

}  // namespace coltsfoot::jobs
