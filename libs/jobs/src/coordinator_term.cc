#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <vector>

#include "jobs/coordinator.h"
#include "jobs/records.h"
#include "wire/codec.h"

// Part of the coordinator that loads the stored state of earlier terms and removes what is old.
namespace coltsfoot::jobs {
namespace {

constexpr core::milliseconds kCleanupInterval{2000};
// Limits the size of the transaction: removing a job takes four of its entries.
constexpr std::size_t kJobsPerCleanup = 7;
// Each takes a condition and a removal.
constexpr std::size_t kCancellationsPerCleanup = 15;
// An agent that could not be reached for this long is removed from the store. It writes its key
// again when no coordinator connects to it.
constexpr core::milliseconds kAgentRemovalDelay{30'000};

}  // namespace

void coordinator::BeginTerm(std::uint64_t term, const std::vector<store::kv_entry>& inbox,
                            const std::vector<store::kv_entry>& progress) {
  EndTerm();
  term_ = term;
  term_began_ = time_.Now();
  takeover_settled_ = false;
  progress_.Reset(term);
  RestoreRunNumbers(inbox);
  for (const store::kv_entry& entry : inbox) OnInboxChange({entry.key, entry});
  RestoreAbsences(inbox);
  for (const store::kv_entry& entry : progress) {
    if (JobOfCrashKey(entry.key)) continue;
    const auto id = KeySuffix(entry.key, kProgressPrefix);
    job_row* job = id ? jobs_.Find(*id) : nullptr;
    if (job == nullptr) continue;
    core::last_error error;
    const auto stored = wire::DecodeValue<progress_record>(entry.value, error);
    if (!stored) {
      spdlog::error("event=progress_unreadable job={} reason=\"{}\"", *id, error.reason().message);
      continue;
    }
    jobs_.Restore(*job, *stored, entry.version, run_numbers_.base());
    // The job may have been cancelled after its progress was last stored.
    if (job->cancel_requested) CancelJob(*id);
  }
  RestoreCrashes(progress);
  spdlog::info("event=term_began term={} jobs={} agents={}", term, jobs_.jobs().size(),
               workers_.size());
}

void coordinator::RestoreAbsences(const std::vector<store::kv_entry>& inbox) {
  const auto stored = std::find_if(inbox.begin(), inbox.end(),
                                   [](const auto& entry) { return entry.key == kAbsentKey; });
  absences_.Reset(term_, stored == inbox.end() ? std::nullopt : std::optional(*stored));
  for (auto& [agent, worker] : workers_) {
    if (!absences_.IsAbsent(agent)) continue;
    worker.absent = true;
    worker.lease_bound = time_.Now();
  }
}

void coordinator::RestoreRunNumbers(const std::vector<store::kv_entry>& inbox) {
  const auto stored = std::find_if(inbox.begin(), inbox.end(),
                                   [](const auto& entry) { return entry.key == kRunBoundKey; });
  run_numbers_.Reset(term_, stored == inbox.end() ? std::nullopt : std::optional(*stored));
}

void coordinator::RestoreCrashes(const std::vector<store::kv_entry>& progress) {
  for (const store::kv_entry& entry : progress) {
    const auto id = JobOfCrashKey(entry.key);
    job_row* job = id ? jobs_.Find(*id) : nullptr;
    if (job == nullptr) continue;
    core::last_error error;
    if (const auto stored = wire::DecodeValue<crash_record>(entry.value, error)) {
      jobs_.RestoreCrashes(*job, *stored);
    } else {
      spdlog::error("event=crashes_unreadable job={} reason=\"{}\"", *id, error.reason().message);
    }
  }
}

void coordinator::EndTerm() {
  if (term_ != 0) spdlog::info("event=term_ended term={}", term_);
  term_ = 0;
  progress_.Reset(0);
  absences_.Reset(0, std::nullopt);
  run_numbers_.Reset(0, std::nullopt);
  jobs_.Clear();
  workers_.clear();
  early_cancels_.clear();
  isolation_.Clear();
  headroom_model_.Clear();
  commands_.clear();
  evacuations_logged_ = 0;
  agents_.ForgetAll();
}

void coordinator::CleanUp() {
  const core::mono_time now = time_.Now();
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  headroom_model_.ForgetGroups(now);
  const std::int64_t wall_ms = time_.WallNow().time_since_epoch().count();
  std::vector<std::string> old;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (old.size() >= kJobsPerCleanup) break;
    if (!IsEnded(job.state) || job.stored_state != job.state || job.copy_count > 0) continue;
    if (wall_ms - job.ended_wall_ms > options_.retention.count()) old.push_back(id);
  }
  if (!old.empty()) progress_.RemoveJobs(old);
  for (const std::string& id : old) jobs_.Remove(id);
  RemoveOldCancellations();
  for (auto& [agent, worker] : workers_) {
    if (worker.connected || now - worker.last_report_at < kAgentRemovalDelay) continue;
    spdlog::info("event=agent_forgotten agent={}", agent);
    progress_.RemoveAgent(agent);
    absences_.Remove(agent);
    agents_.Forget(agent);
    workers_.erase(agent);
    break;
  }
}

void coordinator::RemoveOldCancellations() {
  const core::mono_time now = time_.Now();
  std::vector<std::string> old;
  for (auto& [id, since] : early_cancels_) {
    if (old.size() >= kCancellationsPerCleanup) break;
    if (now - since < options_.retention) continue;
    // Repeated if the store does not report the removal.
    since = now;
    old.push_back(id);
  }
  if (!old.empty()) progress_.RemoveCancellations(old);
}

}  // namespace coltsfoot::jobs
