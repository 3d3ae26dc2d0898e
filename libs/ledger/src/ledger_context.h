#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "core/clock.h"
#include "core/random_source.h"
#include "ledger/shard_manager.h"
#include "metrics/registry.h"
#include "store/kv_client.h"

namespace coltsfoot::ledger {

/// Tracks whether the store answers.
class store_health {
 public:
  /// Records the status of an answer.
  void Record(store::kv_status status) noexcept;
  /// @return false after `kFailuresUntilUnreachable` consecutive failed calls.
  bool reachable() const noexcept;

 private:
  int consecutive_failures_ = 0;
};

/// Metrics of the ledger, looked up once in the registry.
struct ledger_metrics {
  explicit ledger_metrics(metrics::registry& registry);
  metrics::registry& registry;
  metrics::counter& appends;                ///< confirmed batches
  metrics::counter& append_bytes;           ///< of confirmed batches
  metrics::counter& records;                ///< confirmed records
  metrics::counter& ignored_records;        ///< confirmed records without effect
  metrics::counter& read_backs;             ///< reads that resolve the outcome of a write
  metrics::counter& snapshots;              ///< complete snapshots
  metrics::counter& deleted_keys;           ///< of the log and of old snapshots
  metrics::counter& lease_expiries;         ///< leases of this entry that were found gone
  metrics::gauge& owned_shards;             ///< shards in the phase "owned"
  metrics::latency_histogram& append_wait;  ///< from the first send of a batch to its confirmation
};

/// State that all parts of the ledger share. Handlers of store calls hold `health` by value and
/// check with a `call_scope` that their receiver still exists.
struct ledger_context {
  const ledger_options& options;
  store::kv_client& kv;
  const core::clock& time;
  core::random_source& random;
  ledger_metrics& metrics;
  std::shared_ptr<store_health> health;
  std::uint64_t writer = 0;  ///< random number of this process
};

/// Wraps handlers of store calls so that an answer is dropped once the scope is destroyed.
class call_scope {
 public:
  explicit call_scope(std::shared_ptr<store_health> health) : health_(std::move(health)) {}

  template <class Handler>
  auto Wrap(Handler handler) const {
    return [health = health_, alive = std::weak_ptr<char>(alive_),
            handler = std::move(handler)](auto result) mutable {
      health->Record(result.status);
      if (!alive.expired()) handler(std::move(result));
    };
  }

 private:
  std::shared_ptr<store_health> health_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

/// Exponential delay between retries, with jitter so that entries do not retry at the same time.
class backoff {
 public:
  /// @return the delay before the next retry.
  core::nanoseconds Next(core::random_source& random) noexcept;
  void Reset() noexcept { attempts_ = 0; }

 private:
  unsigned attempts_ = 0;
};

/// @return true if the status proves that a write had no effect and may be sent again.
bool HadNoEffect(store::kv_status status) noexcept;

/// Counts a retry of a store call in `coltsfoot_retries_total`.
void CountRetry(const ledger_context& context, std::string_view where, store::kv_status status);

}  // namespace coltsfoot::ledger
