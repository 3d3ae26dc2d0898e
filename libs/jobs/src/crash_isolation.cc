#include "jobs/crash_isolation.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "jobs/planner.h"

namespace coltsfoot::jobs {
namespace {

// After so many crashes a task is given up even if other tasks came into question each time.
constexpr std::uint32_t kMaxCrashes = 4;
constexpr std::uint32_t kMinCrashesAlone = 2;
constexpr std::uint32_t kMaxCrashesAlone = 3;
// Accepted probability that an innocent task is given up.
constexpr double kMaxErrorRate = 1e-3;
constexpr core::milliseconds kBackgroundPeriod{60'000};
// A shorter term gives no meaningful rate.
constexpr core::milliseconds kMinBackgroundPeriod{20'000};

/// @return true if a suspect at the agent has not run for long enough.
bool HasProbation(const job_table& jobs, const std::string& agent, core::mono_time now) {
  bool found = false;
  jobs.VisitCopies(agent, [&](const task_ref& ref, const task_id&, const task_copy& copy) {
    if (ref.task->crashes.crashes == 0) return;
    found = found || !copy.running || now - copy.issued_at < kProbation;
  });
  return found;
}

bool MayReturn(const worker_row& worker, core::mono_time now) {
  return worker.connected && !worker.absent && now >= worker.quarantined_until &&
         worker.state != target_state::gone && worker.state != target_state::draining;
}

/// @return true if the worker can ever run a task of one of the steps.
bool FitsAny(const worker_row& worker, const std::vector<const step_spec*>& steps) {
  return std::any_of(steps.begin(), steps.end(), [&](const step_spec* step) {
    return (step->label.empty() || worker.HasLabel(step->label)) &&
           Reserved(*step).FitsIn(worker.capacity);
  });
}

}  // namespace

bool IsCulprit(const crash_evidence& evidence, std::uint32_t crashes_alone) noexcept {
  return evidence.alone >= crashes_alone || evidence.crashes >= kMaxCrashes;
}

void crash_isolation::Clear() {
  isolated_.clear();
  background_crashes_.clear();
}

void crash_isolation::RecordCrash(const worker_row& worker, core::mono_time now) {
  while (!background_crashes_.empty() && now - background_crashes_.front() > kBackgroundPeriod) {
    background_crashes_.pop_front();
  }
  if (!worker.isolated) background_crashes_.push_back(now);
}

std::uint32_t crash_isolation::CrashesAloneOfCulprit(std::size_t workers,
                                                     core::mono_time now) const {
  if (background_crashes_.empty() || workers == 0) return kMinCrashesAlone;
  const core::nanoseconds period =
      std::max<core::nanoseconds>(now - background_crashes_.front(), kMinBackgroundPeriod);
  // Probability that a target crashes by itself during a probation.
  const double coincidence = std::min(
      0.5, static_cast<double>(background_crashes_.size()) / static_cast<double>(workers) *
               static_cast<double>(kProbation.count()) / static_cast<double>(core::ToMs(period)));
  const double needed = std::ceil(std::log(kMaxErrorRate) / std::log(coincidence));
  return std::clamp(static_cast<std::uint32_t>(needed), kMinCrashesAlone, kMaxCrashesAlone);
}

crash_isolation::suspects_by_service crash_isolation::WaitingSuspects(const job_table& jobs) {
  suspects_by_service waiting;
  for (const auto& [id, job] : jobs.suspects()) {
    if (job->held) continue;
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
      if (job->steps[step].pending == 0 || !job->IsReleased(step)) continue;
      const task_row* first = &job->tasks[job->steps[step].first_task];
      const auto count =
          std::count_if(first, first + job->Spec(step).count, [](const task_row& task) {
            return task.crashes.crashes > 0 && task.copies.empty() && !task.progress.done;
          });
      waiting[job->queue.service].insert(waiting[job->queue.service].end(),
                                         static_cast<std::size_t>(count), &job->Spec(step));
    }
  }
  return waiting;
}

void crash_isolation::Update(const job_table& jobs, worker_table& workers, core::mono_time now) {
  if (isolated_.empty() && jobs.suspects().empty()) return;
  const suspects_by_service waiting = WaitingSuspects(jobs);
  Release(jobs, workers, waiting, now);
  for (const auto& [service, suspects] : waiting) Isolate(service, suspects, workers, now);
  for (auto& [agent, worker] : workers) {
    worker.isolated = isolated_.contains(agent);
    worker.accepts_suspect = worker.isolated && now - worker.last_start_at >= kProbation &&
                             !HasProbation(jobs, agent, now);
  }
}

void crash_isolation::Release(const job_table& jobs, const worker_table& workers,
                              const suspects_by_service& waiting, core::mono_time now) {
  std::erase_if(isolated_, [&](const std::string& agent) {
    const auto worker = workers.find(agent);
    if (worker == workers.end() || !MayReturn(worker->second, now)) return true;
    const auto suspects = waiting.find(worker->second.service);
    if (suspects != waiting.end() && FitsAny(worker->second, suspects->second)) return false;
    return !HasProbation(jobs, agent, now);
  });
}

void crash_isolation::Isolate(const std::string& service, const step_list& waiting,
                              const worker_table& workers, core::mono_time now) {
  std::size_t all = 0;
  std::size_t isolated = 0;
  std::vector<const worker_row*> candidates;
  for (const auto& [agent, worker] : workers) {
    if (worker.service != service) continue;
    ++all;
    if (isolated_.contains(agent)) {
      ++isolated;
    } else if (TakesTasks(worker, service, now) && FitsAny(worker, waiting)) {
      candidates.push_back(&worker);
    }
  }
  const std::size_t limit = std::min(
      waiting.size(), std::max<std::size_t>(1, all * options_.max_isolated_permille / 1000));
  std::sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
    return std::tie(left->serving, left->committed.cpu_millis, left->agent) <
           std::tie(right->serving, right->committed.cpu_millis, right->agent);
  });
  for (const worker_row* worker : candidates) {
    if (isolated >= limit) return;
    ++isolated;
    isolated_.insert(worker->agent);
    spdlog::info("event=worker_isolated agent={} suspects={}", worker->agent, waiting.size());
  }
}

}  // namespace coltsfoot::jobs
