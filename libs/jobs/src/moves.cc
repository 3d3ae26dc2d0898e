#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "plan_pass.h"

namespace coltsfoot::jobs {
namespace {

/// Collects the copies to move, step by step.
class move_finder {
 public:
  move_finder(worker_table& workers, const headroom_model& model, core::mono_time now,
              const planner_options& options)
      : workers_(workers), pass_(workers, model, now, options), now_(now), options_(options) {}

  void VisitStep(const job_row& job, std::uint32_t step) {
    const step_spec& spec = job.Spec(step);
    if (spec.long_running) return;
    for (std::uint32_t index = 0; index < spec.count; ++index) {
      for (const task_copy& copy : job.tasks[job.steps[step].first_task + index].copies) {
        const auto reason = FindMoveReason(job, spec, copy);
        if (!reason) continue;
        planned_move& move = moves_.emplace_back();
        move.run = {{job.id, 0, step, index}, copy.run};
        move.agent = copy.agent;
        move.reason = *reason;
      }
    }
  }

  std::vector<planned_move> TakeMoves() { return std::move(moves_); }

 private:
  std::optional<move_reason> FindMoveReason(const job_row& job, const step_spec& spec,
                                            const task_copy& copy) {
    const auto worker = workers_.find(copy.agent);
    if (worker == workers_.end() || !copy.running || copy.stopping) return std::nullopt;
    const worker_row& row = worker->second;
    if (row.state != target_state::ready || !row.connected) return std::nullopt;
    if (!spec.fills || copy.pace == 100) {
      if (now_ - copy.progress_changed_at < options_.stuck_after) return std::nullopt;
      // Once stopped, the task could not even restart here.
      if (row.evacuated && !HasWorkerFor(job, spec)) return std::nullopt;
      return move_reason::stuck;
    }
    if (!spec.checkpoints || copy.pace >= options_.min_pace) return std::nullopt;
    if (now_ - copy.slowed_since < options_.move_slowed_after) return std::nullopt;
    if (!ReserveElsewhere(job, spec, copy.agent)) return std::nullopt;
    return move_reason::slowed;
  }

  bool HasWorkerFor(const job_row& job, const step_spec& spec) const {
    const auto& workers = pass_.WorkersOf(job.queue.service);
    return std::any_of(workers.begin(), workers.end(), [&](const worker_row* worker) {
      return spec.label.empty() || worker->HasLabel(spec.label);
    });
  }

  /// Reserves idle processors on a worker where the task would not be slowed again.
  /// @return false if there is no such worker.
  bool ReserveElsewhere(const job_row& job, const step_spec& spec,
                        const std::string& current_agent) {
    for (const worker_row* worker : pass_.WorkersOf(job.queue.service)) {
      if (worker->agent == current_agent) continue;
      std::int64_t& reserved = reserved_cpu_[worker];
      if (IdleCpu(*worker, options_) - reserved < spec.need.cpu_millis) continue;
      if (spec.need.memory_mb > worker->capacity.memory_mb - worker->committed.memory_mb) continue;
      if (!spec.label.empty() && !worker->HasLabel(spec.label)) continue;
      // The pressure of tasks that this plan already moves here is not counted, so a worker with
      // serving tasks receives at most one move.
      if (reserved > 0 && worker->serving > 0) continue;
      if (pass_.PressureWith(*worker, spec).at_peak > options_.max_pressure) continue;
      reserved += spec.need.cpu_millis;
      return true;
    }
    return false;
  }

  worker_table& workers_;
  plan_pass pass_;
  core::mono_time now_;
  const planner_options& options_;
  std::map<const worker_row*, std::int64_t> reserved_cpu_;
  std::vector<planned_move> moves_;
};

}  // namespace

const char* ToString(move_reason reason) noexcept {
  return reason == move_reason::stuck ? "stuck" : "slowed";
}

std::vector<planned_move> PlanMoves(const job_table& jobs, worker_table& workers,
                                    const headroom_model& model, core::mono_time now,
                                    const planner_options& options) {
  move_finder finder(workers, model, now, options);
  for (const auto& [id, job] : jobs.open()) {
    if (job->copy_count == 0) continue;
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) finder.VisitStep(*job, step);
  }
  return finder.TakeMoves();
}

}  // namespace coltsfoot::jobs
