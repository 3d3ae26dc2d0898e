#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "ledger/shard_manager.h"
#include "metrics/registry.h"
#include "request_router.h"
#include "service_request.h"

namespace coltsfoot::entry {

/// Runs non-idempotent requests at most once, for keys whose shard this entry owns. A claim on the
/// key is recorded before the request is dispatched, and the answer afterwards, so that a retry
/// through any entry finds it.
class claim_controller {
 public:
  using outcome_handler = std::function<void(request_outcome)>;

  claim_controller(ledger::shard_manager& ledger, request_router& router, const core::clock& time,
                   metrics::registry& metrics);

  /// Runs a request, joins one in progress with the same key, or answers from the recorded claim.
  /// @param shard shard of `key`, owned by this entry.
  /// @param key idempotency key of the request, prefixed with its team.
  void Submit(core::shard_index shard, const std::string& key, service_request request);
  /// Settles the open claims of an earlier owner as `outcome_unknown`.
  void OnShardOwned(core::shard_index shard);
  /// @return true while a claim of the shard is in progress or its outcome is not yet recorded.
  bool IsBusy(core::shard_index shard) const;
  /// Answers `outcome_unknown` to the callers whose claim on the lost shard was not yet recorded.
  /// Dispatched requests go on.
  void OnShardLost(core::shard_index shard);
  /// Answers waiting callers whose deadline has passed.
  void Tick();

 private:
  struct waiter {
    core::mono_time deadline;
    outcome_handler done;
  };
  struct running_claim {
    core::shard_index shard = 0;
    std::uint64_t digest = 0;
    bool dispatched = false;
    std::optional<request_outcome> outcome;  ///< known and being recorded
    std::vector<waiter> waiters;
  };

  bool AnswerFromTable(core::shard_index shard, const std::string& key, std::uint64_t digest,
                       const outcome_handler& done);
  void OnClaimed(const std::string& key, ledger::append_outcome outcome, service_request request);
  void OnOutcome(const std::string& key, request_outcome outcome);
  void Settle(const std::string& key, core::shard_index shard, const request_outcome& outcome);
  void Release(const std::string& key, core::shard_index shard, const request_outcome& outcome);
  static void AnswerWaiters(running_claim& claim, const request_outcome& outcome);
  void AnswerAll(const std::string& key, const request_outcome& outcome);

  ledger::shard_manager& ledger_;
  request_router& router_;
  const core::clock& time_;
  metrics::registry& metrics_;
  std::map<std::string, running_claim> running_;
};

}  // namespace coltsfoot::entry
