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
// After so many crashes in a row a task is given up even if it was never young.
constexpr std::uint32_t kMaxLosses = 5;
constexpr std::uint32_t kMinCrashesAlone = 2;
constexpr std::uint32_t kMaxCrashesAlone = 3;
// Accepted probability that an innocent task is given up.
constexpr double kMaxErrorRate = 1e-3;
// A task that was lost in so many crashes in a row comes into question although it was not young,
// unless its last run had clearly outlived the others: then something else caused that crash.
constexpr std::uint32_t kLossesOfSuspect = 2;
// A suspect's trial lasts as long as it had run before, but no longer than this beyond
// `kProbation`, because it takes a worker from all other tasks.
constexpr core::milliseconds kMaxExtraProbation{2000};
constexpr core::milliseconds kBackgroundPeriod{60'000};
// A shorter term gives no meaningful rate.
constexpr core::milliseconds kMinBackgroundPeriod{20'000};

core::milliseconds ProbationOf(const crash_evidence& evidence) {
  return kProbation + std::min(core::milliseconds{evidence.longest_ms}, kMaxExtraProbation);
}

/// @return true if a suspect at the agent has not run for long enough.
bool HasProbation(const job_table& jobs, const std::string& agent, core::mono_time now) {
  bool found = false;
  jobs.VisitCopies(agent, [&](const task_ref& ref, const task_id&, const task_copy& copy) {
    if (ref.task->crashes.crashes == 0) return;
    found = found || !copy.running || now - copy.issued_at < ProbationOf(ref.task->crashes);
  });
  return found;
}

bool MayReturn(const worker_row& worker, core::mono_time now) {
  return worker.connected && !worker.absent && now >= worker.quarantined_until &&
         worker.state != target_state::gone && worker.state != target_state::draining;
}

}  // namespace

std::vector<crash_evidence> JudgeCrash(const std::vector<crashed_run>& runs,
                                       std::vector<crash_evidence> before) {
  std::size_t suspects = 0;
  crash_evidence* begun_suspect = nullptr;
  for (std::size_t index = 0; index < runs.size(); ++index) {
    crash_evidence& evidence = before[index];
    const core::milliseconds age{runs[index].age_ms};
    const bool outlived = age > core::milliseconds{evidence.longest_ms} + kProbation;
    ++evidence.losses;
    evidence.longest_ms = std::max(evidence.longest_ms, runs[index].age_ms);
    if (age >= kSuspectAge && (evidence.losses < kLossesOfSuspect || outlived)) continue;
    ++evidence.crashes;
    ++suspects;
    if (runs[index].answered) begun_suspect = &evidence;
  }
  if (suspects == 1 && begun_suspect != nullptr) ++begun_suspect->alone;
  return before;
}

bool IsCulprit(const crash_evidence& evidence, std::uint32_t crashes_alone) noexcept {
  return evidence.alone >= crashes_alone || evidence.crashes >= kMaxCrashes ||
         evidence.losses >= kMaxLosses;
}

void crash_isolation::Clear() {
  isolated_.clear();
  background_crashes_.clear();
  last_crash_ = {};
}

void crash_isolation::RecordCrash(const worker_row& worker, core::mono_time now) {
  last_crash_ = now;
  while (!background_crashes_.empty() && now - background_crashes_.front() > kBackgroundPeriod) {
    background_crashes_.pop_front();
  }
  if (!worker.isolated) background_crashes_.push_back(now);
}

std::uint32_t crash_isolation::CrashesAloneOfCulprit(std::size_t workers, core::mono_time now,
                                                     core::milliseconds ran) const {
  if (background_crashes_.empty() || workers == 0) return kMinCrashesAlone;
  const core::nanoseconds period =
      std::max<core::nanoseconds>(now - background_crashes_.front(), kMinBackgroundPeriod);
  // Probability that a target crashes by itself while the task runs.
  const double coincidence =
      std::min(0.5, static_cast<double>(background_crashes_.size()) / static_cast<double>(workers) *
                        static_cast<double>(std::max(ran, kProbation).count()) /
                        static_cast<double>(core::ToMs(period)));
  const double needed = std::ceil(std::log(kMaxErrorRate) / std::log(coincidence));
  return std::clamp(static_cast<std::uint32_t>(needed), kMinCrashesAlone, kMaxCrashesAlone);
}

crash_isolation::steps_by_service crash_isolation::FindWaiting(const job_table& jobs,
                                                               core::mono_time now) const {
  const bool calm = now - last_crash_ >= options_.calm_after;
  steps_by_service waiting;
  for (const auto& [id, job] : jobs.suspects()) {
    for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
      const bool startable = !job->held && job->steps[step].pending > 0 && job->IsReleased(step);
      std::size_t tasks = 0;
      for (std::uint32_t index = 0; index < job->Spec(step).count; ++index) {
        const std::uint32_t place = job->steps[step].first_task + index;
        if (job->tasks[place].crashes.crashes == 0) continue;
        task_row& task = job->tasks.At(place);
        task.needs_isolation = !calm || task.crashes.alone > 0;
        const bool waits = startable && task.copies.empty() && !task.progress.done;
        if (waits && task.needs_isolation) ++tasks;
      }
      if (tasks > 0) waiting[job->queue.service].push_back({job, step, tasks});
    }
  }
  return waiting;
}

bool crash_isolation::HasRoomForAny(const worker_row& worker, const step_list& waiting) {
  return std::any_of(waiting.begin(), waiting.end(), [&](const waiting_step& each) {
    return HasRoomFor(worker, *each.job, each.step);
  });
}

void crash_isolation::Update(const job_table& jobs, worker_table& workers, core::mono_time now) {
  if (isolated_.empty() && jobs.suspects().empty()) return;
  // Suspects of an earlier term: their crashes may have just happened.
  if (last_crash_ == core::mono_time{}) last_crash_ = now;
  const steps_by_service waiting = FindWaiting(jobs, now);
  Release(jobs, workers, waiting, now);
  for (const auto& [service, steps] : waiting) Isolate(service, steps, workers, now);
  for (auto& [agent, worker] : workers) {
    worker.isolated = isolated_.contains(agent);
    worker.accepts_suspect = worker.isolated && now - worker.last_start_at >= kProbation &&
                             !HasProbation(jobs, agent, now);
  }
}

void crash_isolation::Release(const job_table& jobs, const worker_table& workers,
                              const steps_by_service& waiting, core::mono_time now) {
  std::erase_if(isolated_, [&](const std::string& agent) {
    const auto worker = workers.find(agent);
    if (worker == workers.end() || !MayReturn(worker->second, now)) return true;
    const auto steps = waiting.find(worker->second.service);
    if (steps != waiting.end() && HasRoomForAny(worker->second, steps->second)) return false;
    return !HasProbation(jobs, agent, now);
  });
}

void crash_isolation::Isolate(const std::string& service, const step_list& waiting,
                              const worker_table& workers, core::mono_time now) {
  std::size_t all = 0;
  std::size_t isolated = 0;
  std::vector<const worker_row*> candidates;
  for (const auto& [agent, worker] : workers) {
    if (worker.service != service || worker.evacuated) continue;
    ++all;
    if (isolated_.contains(agent)) {
      ++isolated;
    } else if (TakesTasks(worker, service, now) && HasRoomForAny(worker, waiting)) {
      candidates.push_back(&worker);
    }
  }
  std::size_t suspects = 0;
  for (const waiting_step& each : waiting) suspects += each.tasks;
  const std::size_t limit =
      std::min(suspects, std::max<std::size_t>(1, all * options_.max_isolated_permille / 1000));
  std::sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
    return std::tie(left->serving, left->committed.cpu_millis, left->agent) <
           std::tie(right->serving, right->committed.cpu_millis, right->agent);
  });
  for (const worker_row* worker : candidates) {
    if (isolated >= limit) return;
    ++isolated;
    isolated_.insert(worker->agent);
    spdlog::info("event=worker_isolated agent={} suspects={}", worker->agent, suspects);
  }
}

}  // namespace coltsfoot::jobs
