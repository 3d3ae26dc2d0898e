#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/result_code.h"
#include "jobs/messages.h"
#include "jobs/queue_catalogue.h"
#include "jobs/records.h"
#include "jobs/store_health.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Result of a call to `job_service`. `code` is ok, not_found, a refusal that guarantees that
/// nothing was stored, or outcome_unknown if a write may have taken effect.
struct job_reply {
  core::result_code code = core::result_code::internal_error;
  std::optional<job_state> state;
  std::uint64_t waiting = 0;        ///< result of `CountWaiting`
  std::uint32_t retry_after_s = 0;  ///< when the caller should retry; 0: not stated
  bool operator==(const job_reply&) const = default;
};

/// Sends queries to the coordinator, in this process or another one. Mocked in tests.
class coordinator_client {
 public:
  virtual ~coordinator_client() = default;
  /// The handler gets `not_coordinator` if nothing was sent, and `lost` if no answer came in time
  /// and the query may have been executed.
  virtual void Query(job_query query, std::function<void(job_answer)> done) = 0;
};

/// Outcome of asking the store for the newest version of the configuration.
enum class confirmation : std::uint8_t {
  confirmed,
  store_unreachable,
  timed_out,  ///< the store can be reached, but its answer did not arrive before the deadline
};

/// Gives the queue configuration in force. Mocked in tests.
class queue_source {
 public:
  virtual ~queue_source() = default;
  /// @return the newest known catalogue; null until one has been read.
  virtual std::shared_ptr<const queue_catalogue> Current() const = 0;
  /// @return the configuration key and the version that `Current` was read from, as a precondition
  /// for writes that depend on it.
  virtual store::expectation VersionExpectation() const = 0;
  /// @return true if the store recently confirmed that `Current` is the newest version, and no
  /// newer one is known since.
  virtual bool IsFresh() const = 0;
  /// @return true if the store is known to hold, or may hold, a newer version that has yet to
  /// arrive.
  virtual bool IsOutdated() const = 0;
  /// @return the latest time at which `Current` is known to have been the newest version.
  virtual core::mono_time ConfirmedAt() const = 0;
  /// Asks the store until `Current` is known to have been the newest version at `since` or later.
  /// @param deadline after which the caller no longer waits.
  virtual void Confirm(core::mono_time since, core::mono_time deadline,
                       std::function<void(confirmation)> done) = 0;
  /// Reports that the store has replaced `version`, because it rejected a write that expected it.
  virtual void MarkOutdated(store::key_version version) = 0;
};

/// Admits, shows and cancels jobs; runs on every entry. Callers learn of an admission, a
/// cancellation or a job state only once it is stored.
class job_service {
 public:
  using handler = std::function<void(job_reply)>;

  job_service(const core::clock& time, metrics::registry& metrics, store::versioned_store& storage,
              store_health& health, queue_source& queues, coordinator_client& coordinator);

  /// Stores a job. Submitting an id again leaves the first job as it is.
  /// @param queue as found in the current catalogue of the `queue_source`. If the stored
  /// configuration is newer, the reply is `stale_config` and the caller has to look the queue up
  /// again.
  /// @param deadline after which the caller no longer waits.
  void Submit(const std::string& id, const queue_config& queue, const job_spec& spec,
              core::mono_time deadline, handler done);
  void Show(const std::string& id, const std::string& queue, handler done);
  /// Cancels a job. If it is not stored, the reply is not_found, and it stays cancelled should its
  /// submission arrive later.
  void Cancel(const std::string& id, const std::string& queue, core::mono_time deadline,
              handler done);
  /// Counts the jobs of a queue that have not started any task.
  void CountWaiting(const std::string& queue, handler done);
  /// Stores a job or a cancellation for an entry that cannot reach the store. Never forwards it
  /// again, so that two entries cannot forward to each other.
  void StoreForPeer(const job_query& query, std::function<void(job_answer)> done);

 private:
  struct submission;
  void Store(const std::shared_ptr<submission>& job);
  void Forward(const std::shared_ptr<submission>& job);
  void ForwardCancel(const std::string& id, const std::string& queue, core::mono_time deadline,
                     handler done);
  void CancelLocally(const std::string& id, core::mono_time deadline, handler done);
  void OnStored(const std::shared_ptr<submission>& job, const store::commit_result& result);
  void OnConflict(const std::shared_ptr<submission>& job, const store::commit_result& result);
  /// Finds out by a read whether the job of a rejected write had been stored before.
  void ReadConflict(const std::shared_ptr<submission>& job);
  void FinishOutdated(const submission& job);
  void Finish(const submission& job, const job_reply& reply);
  void ShowStored(const std::string& id, handler done);
  void ShowUnlessCancelled(const std::string& id, const std::optional<progress_record>& progress,
                           handler done);
  /// @param when_stored result once the cancellation is stored: not_found if the job is not.
  void StoreCancel(const std::string& id, core::mono_time deadline, core::result_code when_stored,
                   bool may_be_stored, handler done);
  job_reply StoreUnavailable() const;

  const core::clock& time_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  store_health& health_;
  queue_source& queues_;
  coordinator_client& coordinator_;
};

}  // namespace coltsfoot::jobs
