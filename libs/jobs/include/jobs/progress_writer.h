#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/job_table.h"
#include "jobs/worker_table.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Stores the progress of jobs in batches, one batch at a time. Each batch is conditional on the
/// versions of the leader key and of each record, so that neither a deposed coordinator nor a write
/// that takes effect late can overwrite newer progress.
class progress_writer {
 public:
  /// @param on_deposed called when the leader key has another version than the term.
  progress_writer(const core::clock& time, metrics::registry& metrics,
                  store::versioned_store& storage, std::function<void()> on_deposed);
  ~progress_writer();

  /// Begins a term. Outcomes of batches in flight are ignored.
  /// @param term version of the leader key; 0: no term.
  void Reset(std::uint64_t term);
  /// Writes jobs that are due and advances `stored_end` of workers.
  /// @return agents whose `stored_end` advanced.
  std::vector<std::string> Flush(job_table& jobs, worker_table& workers);
  /// Removes all keys of these jobs from the store. The jobs must have ended.
  void RemoveJobs(const std::vector<std::string>& ids);
  /// Removes the agent's key from the store.
  /// Removes cancellations of jobs that are not in the store. None is removed if one of the jobs
  /// is.
  void RemoveCancellations(const std::vector<std::string>& ids);
  void RemoveAgent(const std::string& agent);

 private:
  struct batch;
  void CommitRemoval(store::transaction writes);
  void WriteBatch(job_table& jobs);
  /// @return the jobs of the next batch: first those whose end is not stored, then the others in
  /// turn.
  std::vector<job_row*> ChooseJobs(job_table& jobs);
  /// Advances `stored_end` of workers past ends whose effect is in the store.
  /// @return the agents of these workers.
  static std::vector<std::string> ConfirmEnds(const job_table& jobs, worker_table& workers);
  void OnWritten(const std::shared_ptr<batch>& written, const store::commit_result& result);
  /// Takes the versions of the records that a conflicting write returned, so that the next write
  /// succeeds, unless another coordinator leads.
  void AdoptStoredVersions(const std::shared_ptr<batch>& written,
                           const store::commit_result& result);

  const core::clock& time_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  std::function<void()> on_deposed_;
  std::uint64_t term_ = 0;
  job_table* jobs_ = nullptr;
  std::shared_ptr<batch> in_flight_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  core::mono_time retry_at_;
  core::mono_time dirty_since_;
  bool dirty_since_set_ = false;
  std::string last_written_job_;  ///< last job that was chosen in turn
};

}  // namespace coltsfoot::jobs
