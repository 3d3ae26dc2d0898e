#include "jobs/progress_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "jobs/records.h"
#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

// Each record takes two entries of a transaction, a condition and a put; the leader key takes one
// more condition.
constexpr std::size_t kMaxJobsPerBatch = (store::kMaxTransactionEntries - 1) / 2;
// Progress waits this long for more to share a write, because writes are expensive. The end of a
// job is written at once, because its caller waits for it.
constexpr core::milliseconds kBatchDelay{150};
constexpr core::milliseconds kRetryDelay{150};

}  // namespace

/// One write and the records in it.
struct progress_writer::batch {
  struct record {
    std::string job;
    progress_record progress;
    std::uint64_t changes = 0;  ///< `job_row::changes` at the time of the write
    bool was_in_doubt = false;  ///< `job_row::end_in_doubt` before this write
  };
  std::uint64_t term = 0;
  std::vector<record> records;
  std::vector<std::string> crash_records;  ///< jobs whose `crash_record` is in the write
};

progress_writer::progress_writer(const core::clock& time, metrics::registry& metrics,
                                 store::versioned_store& storage, std::function<void()> on_deposed)
    : time_(time), metrics_(metrics), storage_(storage), on_deposed_(std::move(on_deposed)) {}

progress_writer::~progress_writer() = default;

void progress_writer::Reset(std::uint64_t term) {
  term_ = term;
  in_flight_.reset();
  dirty_since_set_ = false;
  retry_at_ = {};
}

std::vector<std::string> progress_writer::Flush(job_table& jobs, worker_table& workers) {
  jobs_ = &jobs;
  if (!in_flight_ && time_.Now() >= retry_at_) WriteBatch(jobs);
  return ConfirmEnds(jobs, workers);
}

std::vector<std::string> progress_writer::ConfirmEnds(const job_table& jobs,
                                                      worker_table& workers) {
  std::vector<std::string> advanced;
  for (auto& [agent, worker] : workers) {
    const std::uint64_t before = worker.stored_end;
    while (!worker.unstored.empty()) {
      const unstored_end& next = worker.unstored.front();
      const job_row* job = jobs.Find(next.job);
      if (job != nullptr && job->stored_changes < next.changes) break;
      worker.stored_end = next.number;
      worker.unstored.pop_front();
    }
    if (worker.stored_end != before) advanced.push_back(agent);
  }
  return advanced;
}

std::vector<job_row*> progress_writer::ChooseJobs(job_table& jobs) {
  std::vector<job_row*> due;
  const auto& dirty = jobs.dirty();
  for (const auto& [id, job] : dirty) {
    if (due.size() >= kMaxJobsPerBatch) return due;
    if (IsEnded(job->state) && job->stored_state != job->state) due.push_back(job);
  }
  // Starts after the job of the last batch, so that jobs with small ids do not starve the others.
  auto next = dirty.upper_bound(last_written_job_);
  for (std::size_t visited = 0; visited < dirty.size() && due.size() < kMaxJobsPerBatch;
       ++visited) {
    if (next == dirty.end()) next = dirty.begin();
    job_row* job = next->second;
    ++next;
    if (IsEnded(job->state) && job->stored_state != job->state) continue;
    due.push_back(job);
    last_written_job_ = job->id;
  }
  return due;
}

void progress_writer::WriteBatch(job_table& jobs) {
  if (jobs.dirty().empty()) {
    dirty_since_set_ = false;
    return;
  }
  const core::mono_time now = time_.Now();
  if (!std::exchange(dirty_since_set_, true)) dirty_since_ = now;
  const bool urgent = std::any_of(jobs.dirty().begin(), jobs.dirty().end(), [](const auto& each) {
    return IsEnded(each.second->state) && each.second->stored_state != each.second->state;
  });
  const bool fits_in_one_batch = jobs.dirty().size() <= kMaxJobsPerBatch;
  if (!urgent && fits_in_one_batch && now - dirty_since_ < kBatchDelay) return;
  dirty_since_set_ = false;
  auto next = std::make_shared<batch>();
  next->term = term_;
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), term_});
  for (job_row* job : ChooseJobs(jobs)) {
    next->records.push_back({job->id, job_table::Progress(*job), job->changes, job->end_in_doubt});
    job->end_in_doubt = job->end_in_doubt || IsEnded(job->state);
    writes.expect.push_back({ProgressKey(job->id), job->progress_version});
    writes.puts.push_back(
        {ProgressKey(job->id), wire::EncodeValue(next->records.back().progress), 0});
    jobs.ClearDirty(*job);
  }
  for (const auto& record : next->records) {
    job_row* job = jobs.Find(record.job);
    if (!job->crashes_changed) continue;
    if (writes.expect.size() + writes.puts.size() >= store::kMaxTransactionEntries) {
      jobs.KeepDirty(*job);
      continue;
    }
    job->crashes_changed = false;
    job->crashes_stored = true;
    writes.puts.push_back({CrashKey(job->id), wire::EncodeValue(job_table::Crashes(*job)), 0});
    next->crash_records.push_back(job->id);
  }
  in_flight_ = next;
  metrics_.GetCounter("coltsfoot_progress_writes_total").Add();
  storage_.Commit(std::move(writes),
                  [this, next, alive = std::weak_ptr<int>(alive_)](store::commit_result result) {
                    if (alive.expired() || in_flight_ != next) return;
                    OnWritten(next, result);
                  });
}

void progress_writer::OnWritten(const std::shared_ptr<batch>& written,
                                const store::commit_result& result) {
  in_flight_.reset();
  if (result.status == store::kv_status::ok) {
    for (const auto& record : written->records) {
      job_row* job = jobs_->Find(record.job);
      if (job == nullptr) continue;
      job->progress_version = result.revision;
      job->stored_state = record.progress.state;
      job->stored_changes = record.changes;
      job->end_in_doubt = false;
    }
    return;
  }
  for (const auto& record : written->records) {
    job_row* job = jobs_->Find(record.job);
    if (job == nullptr) continue;
    jobs_->KeepDirty(*job);
    if (result.status != store::kv_status::unknown) job->end_in_doubt = record.was_in_doubt;
  }
  for (const std::string& id : written->crash_records) {
    if (job_row* job = jobs_->Find(id)) job->crashes_changed = true;
  }
  retry_at_ = time_.Now() + kRetryDelay;
  if (result.status == store::kv_status::conflict) {
    AdoptStoredVersions(written, result);
    return;
  }
  metrics_.GetCounter("coltsfoot_progress_write_failures_total").Add();
  spdlog::warn("event=progress_write_failed term={} jobs={} status={}", written->term,
               written->records.size(), static_cast<int>(result.status));
}

void progress_writer::AdoptStoredVersions(const std::shared_ptr<batch>& written,
                                          const store::commit_result& result) {
  bool still_leader = false;
  for (const store::kv_entry& entry : result.present) {
    if (entry.key == kLeaderKey) still_leader = entry.version == written->term;
  }
  if (!still_leader) {
    spdlog::warn("event=deposed term={} by=progress_write", written->term);
    on_deposed_();
    return;
  }
  // Only this coordinator writes these keys, so an earlier write took effect whose answer was lost.
  for (const store::kv_entry& entry : result.present) {
    const auto id = KeySuffix(entry.key, kProgressPrefix);
    job_row* job = id ? jobs_->Find(*id) : nullptr;
    if (job != nullptr) job->progress_version = entry.version;
  }
  retry_at_ = time_.Now();
}

void progress_writer::RemoveJobs(const std::vector<std::string>& ids) {
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), term_});
  for (const std::string& id : ids) {
    writes.deletes.push_back(JobKey(id));
    writes.deletes.push_back(CancelKey(id));
    writes.deletes.push_back(ProgressKey(id));
    writes.deletes.push_back(CrashKey(id));
  }
  CommitRemoval(std::move(writes));
}

void progress_writer::RemoveCancellations(const std::vector<std::string>& ids) {
  store::transaction writes;
  writes.expect.push_back({std::string(kLeaderKey), term_});
  for (const std::string& id : ids) {
    writes.expect.push_back({JobKey(id), 0});
    writes.deletes.push_back(CancelKey(id));
  }
  CommitRemoval(std::move(writes));
}

void progress_writer::RemoveAgent(const std::string& agent) {
  CommitRemoval(
      {.expect = {{std::string(kLeaderKey), term_}}, .puts = {}, .deletes = {AgentKey(agent)}});
}

void progress_writer::CommitRemoval(store::transaction writes) {
  const std::string first = writes.deletes.front();
  storage_.Commit(std::move(writes), [first](const store::commit_result& result) {
    if (result.status == store::kv_status::ok) return;
    spdlog::warn("event=removal_failed first_key={} status={}", first,
                 static_cast<int>(result.status));
  });
}

}  // namespace coltsfoot::jobs
