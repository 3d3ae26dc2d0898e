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

/// Stores the progress of jobs in batches, one at a time. Each batch expects the leader key and the
/// stored version of each record, so that neither a deposed coordinator nor a write that takes
/// effect late can undo newer progress.
class progress_writer {
 public:
  /// @param on_deposed called when the leader key has another version.
  progress_writer(const core::clock& time, metrics::registry& metrics,
                  store::versioned_store& storage, std::function<void()> on_deposed);
  ~progress_writer();

  /// Forgets batches in flight; their outcomes are ignored.
  void Reset(std::uint64_t term);
  /// Writes what is due and marks ends as stored.
  /// @return agents whose `stored_end` advanced.
  std::vector<std::string> Flush(job_table& jobs, worker_table& workers);
  /// Removes all keys of these jobs; the jobs must have ended.
  void RemoveJobs(const std::vector<std::string>& ids);
  /// Takes an agent off the list.
  void RemoveAgent(const std::string& agent);

 private:
  struct batch;
  void CommitRemoval(store::transaction writes);
  void WriteBatch(job_table& jobs);
  /// @return the jobs of the next write: those that have ended, then the others in turn.
  std::vector<job_row*> ChooseJobs(job_table& jobs);
  /// Advances `stored_end` of workers whose next ends are stored.
  /// @return the agents of these workers.
  static std::vector<std::string> ConfirmEnds(const job_table& jobs, worker_table& workers);
  void OnWritten(const std::shared_ptr<batch>& written, const store::commit_result& result);
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
  std::string last_written_job_;  ///< job of the last write that had not ended
};

}  // namespace coltsfoot::jobs
