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

/// What a caller is told. `code` is ok, not_found, a refusal that proves that nothing was stored,
/// or outcome_unknown.
struct job_reply {
  core::result_code code = core::result_code::internal_error;
  std::optional<job_state> state;
  std::uint64_t waiting = 0;
  std::uint32_t retry_after_s = 0;  ///< 0: none
  bool operator==(const job_reply&) const = default;
};

/// Asks the coordinator, in this process or another one. Mocked in tests.
class coordinator_client {
 public:
  virtual ~coordinator_client() = default;
  /// The handler gets `not_coordinator` if nothing was sent and `lost` if no answer came in time.
  virtual void Ask(job_query query, std::function<void(job_answer)> done) = 0;
};

/// The configuration that is in force. Mocked in tests.
class queue_source {
 public:
  virtual ~queue_source() = default;
  /// @return the newest known catalogue, or nothing before the first.
  virtual std::shared_ptr<const queue_catalogue> Current() const = 0;
  /// @return the version of the stored configuration that `Current` was read from.
  virtual store::expectation VersionExpectation() const = 0;
  /// @return true if `Current` was the newest one a moment ago.
  virtual bool IsFresh() const = 0;
  /// Reads the configuration again. The handler gets false if the store cannot be reached.
  virtual void Refresh(std::function<void(bool)> done) = 0;
};

/// Admits, shows and cancels jobs on any entry. What callers are told is in the store first.
class job_service {
 public:
  using handler = std::function<void(job_reply)>;

  job_service(const core::clock& time, metrics::registry& metrics, store::versioned_store& storage,
              store_health& health, queue_source& queues, coordinator_client& coordinator);

  /// Stores a job. Submitting an id again leaves the first job as it is.
  /// @param queue as found in `catalogue`, the version that the caller resolved it with; a newer
  /// version gives `stale_config`, on which the caller resolves the queue again.
  /// @param deadline after which the caller no longer waits.
  void Submit(const std::string& id, const queue_config& queue, const job_spec& spec,
              core::mono_time deadline, handler done);
  void Show(const std::string& id, const std::string& queue, handler done);
  void Cancel(const std::string& id, const std::string& queue, core::mono_time deadline,
              handler done);
  /// Counts the queue's jobs of which no task has started.
  void CountWaiting(const std::string& queue, handler done);
  /// Stores a job or a cancellation for another entry.
  void StoreForPeer(const job_query& query, std::function<void(job_answer)> done);

 private:
  struct submission;
  void Store(const std::shared_ptr<submission>& job);
  void Forward(const std::shared_ptr<submission>& job);
  void ForwardCancel(const std::string& id, const std::string& queue, core::mono_time deadline,
                     handler done);
  void CancelHere(const std::string& id, core::mono_time deadline, handler done);
  void OnStored(const std::shared_ptr<submission>& job, const store::commit_result& result);
  void Finish(const submission& job, const job_reply& reply);
  void ShowStored(const std::string& id, handler done);
  void ShowUncancelled(const std::string& id, const std::optional<progress_record>& progress,
                       handler done);
  void StoreCancel(const std::string& id, core::mono_time deadline, bool repeated, handler done);
  job_reply StoreRefusal() const;

  const core::clock& time_;
  metrics::registry& metrics_;
  store::versioned_store& storage_;
  store_health& health_;
  queue_source& queues_;
  coordinator_client& coordinator_;
};

}  // namespace coltsfoot::jobs
