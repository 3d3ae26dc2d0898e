#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "ledger/records.h"
#include "ledger/shard_table.h"
#include "metrics/registry.h"
#include "store/kv_client.h"

namespace coltsfoot::ledger {

/// Options of a `shard_manager`; the defaults match the design document.
struct ledger_options {
  std::string entry;        ///< id of this entry
  std::string entry_value;  ///< value of `entries/<id>`, for example the entry's addresses
  std::uint32_t shard_count = 8;
  core::milliseconds commit_interval{40};      ///< minimum time between two appends of a shard
  core::milliseconds store_lease_ttl{10'000};  ///< of the lease in the key-value service
  core::milliseconds renew_interval{3'000};    ///< of that lease
  core::milliseconds orphan_grace{180'000};    ///< see `shard_manager::Grants`
  core::milliseconds reread_interval{5'000};   ///< of `entries/` and `owner/`, beside the watch
  core::milliseconds watch_timeout{10'000};
  /// Minimum time between the last change of the list of entries, or the last release, and the
  /// release of a shard that hashes to another entry.
  core::milliseconds rebalance_delay{2'000};
  std::uint32_t snapshot_every = 512;  ///< batches between two snapshots
  /// Minimum age of a snapshot before the log keys that it replaces are deleted. An append that is
  /// delayed for longer is verified against the newest log key.
  core::milliseconds truncate_delay{30'000};
  retention_limits retention;
};

/// Outcome of an append.
enum class append_outcome : std::uint8_t {
  committed,      ///< in the log, with effect; the table shows it
  no_effect,      ///< in the log, but ignored by the table (for example a stale epoch)
  not_committed,  ///< not owner, or the shard was lost; proved to be absent from the log
  unknown,        ///< the shard was lost with the append in flight; the log may hold the record
  too_large,      ///< the record exceeds `kMaxRecordBytes`; not in the log
};

/// Why a shard is no longer owned.
enum class shard_loss : std::uint8_t {
  released,     ///< handed over, by a rebalance or `Shutdown`
  fenced,       ///< another writer has appended to the log
  owner_taken,  ///< the lease had expired and another entry holds `owner/<shard>`
};

/// @return "released", "fenced" or "owner_taken".
std::string_view ToString(shard_loss reason) noexcept;

/// Receives changes of ownership. Called on the control thread from `shard_manager::Tick` or from
/// a handler of the key-value client, never from within another call of the manager.
class shard_listener {
 public:
  virtual ~shard_listener() = default;
  /// The shard is owned: `Table`, `Fence` and `OwnedSince` are valid, `Append` is accepted.
  virtual void OnShardOwned(core::shard_index shard) = 0;
  /// The shard is lost; callbacks of its appends have run. `Table` is already gone.
  virtual void OnShardLost(core::shard_index shard, shard_loss reason) = 0;
  /// Called on each tick while a shard waits for its release.
  /// @return false to delay the release, for example while a claimed request is running whose
  /// answer must be recorded. `MayAppend` is already false, so that no new work starts; `Append`
  /// is still accepted.
  virtual bool MayHandOver(core::shard_index shard) {
    static_cast<void>(shard);
    return true;
  }
  /// The deployment was created with another number of shards. The process must stop; the manager
  /// acquires no shard.
  virtual void OnShardCountMismatch(std::uint32_t recorded) = 0;
};

/// Entry that is registered in the key-value service.
struct live_entry {
  std::string entry;  ///< id
  std::string value;  ///< what it registered
  bool operator==(const live_entry&) const = default;
};

/// Owner of a shard as last read.
struct shard_owner {
  std::string entry;                 ///< id
  std::optional<std::string> value;  ///< what it registered; nothing if it is not registered
  bool operator==(const shard_owner&) const = default;
};

/// Shard for which execution leases may be renewed.
struct lease_grant {
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  bool operator==(const lease_grant&) const = default;
};

/// Start of the present ownership. A worker that does not report is proved to run nothing only
/// after `since + orphan_wait + lease_ttl + lease_margin`.
struct takeover {
  core::mono_time since;  ///< when `owner_changed` was confirmed
  bool graceful = false;  ///< the previous owner released the shard, or there was none
  /// For how long after `since` an earlier owner may still renew execution leases: zero after a
  /// graceful release, unless the releasing owner's own `orphan_wait` was not over.
  core::nanoseconds orphan_wait{};
  bool operator==(const takeover&) const = default;
};

/// Manages the shards of the task log that this entry owns, and makes all store calls for them.
///
/// Not safe to use from several threads. Handlers of the key-value client must run on the thread
/// that calls the manager, and not from within the client's call. All progress that depends on
/// time is made by `Tick`, which the control thread calls every 20 ms.
class shard_manager {
 public:
  using append_callback = std::function<void(append_outcome)>;

  /// @param kv, time, random, metrics, listener must outlive the manager.
  shard_manager(ledger_options options, store::kv_client& kv, const core::clock& time,
                core::random_source& random, metrics::registry& metrics, shard_listener& listener);
  /// Drops all state without releasing the shards; pending callbacks do not run.
  ~shard_manager();
  shard_manager(const shard_manager&) = delete;
  shard_manager& operator=(const shard_manager&) = delete;

  /// Makes the store calls that are due: renewals, reads, appends, snapshots, deletions.
  void Tick();

  /// Queues a record for the next append of the shard. Accepted while the shard is owned, until its
  /// last record is written.
  /// @param done runs once, never from within this call, and after the record is applied to the
  /// table.
  void Append(core::shard_index shard, record change, append_callback done);
  /// @return true if new work may start: the shard is owned, not being released, and shows no sign
  /// of another writer.
  bool MayAppend(core::shard_index shard) const;
  /// @return the number of queued and unconfirmed records of the shard.
  std::size_t PendingAppends(core::shard_index shard) const;

  /// @return the confirmed state of an owned shard, or nullptr. Valid until the shard is lost.
  const shard_table* Table(core::shard_index shard) const;
  /// @return the fence of an owned shard, or nothing.
  std::optional<core::fencing_token> Fence(core::shard_index shard) const;
  /// @return start of the present ownership of an owned shard, or nothing.
  std::optional<takeover> OwnedSince(core::shard_index shard) const;
  /// @return the owned shards.
  std::vector<core::shard_index> OwnedShards() const;
  /// Shards for which execution leases may be renewed at this moment: owned, and less than
  /// `orphan_grace` after the last confirmed renewal of the lease that holds `owner/<shard>` was
  /// sent. The clock is read at each call; do not cache the result.
  std::vector<lease_grant> Grants() const;

  /// @return the owner of a shard as last read, or nothing if it is free or not yet known.
  std::optional<shard_owner> OwnerOf(core::shard_index shard) const;
  /// @return the registered entries as last read, by id. Keeps the last list during an outage.
  const std::vector<live_entry>& Entries() const;
  /// @return false after two consecutive failed store calls, until one succeeds.
  bool store_reachable() const;
  /// @return true once the entry is registered and both lists have been read.
  bool ready() const;

  /// Starts a graceful shutdown: acquires no more shards, flushes and releases all, then revokes
  /// the lease. During an outage it retries until `Grants` has become empty.
  /// @param done runs once, not from within this call, with true if all shards were released.
  /// Records that are still unresolved after `orphan_grace` get no callback.
  void Shutdown(std::function<void(bool released)> done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::ledger
