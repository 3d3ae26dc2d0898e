#pragma once

#include <memory>
#include <optional>
#include <string>

#include "ledger_context.h"
#include "log_loader.h"
#include "shard_log.h"
#include "snapshot_writer.h"

namespace coltsfoot::ledger {

/// Services that a `shard_ownership` needs from its entry.
class ownership_host {
 public:
  virtual ~ownership_host() = default;
  /// @return the entry's lease, 0 if it has none.
  virtual store::lease_id Lease() const = 0;
  /// @return true if that lease cannot have expired by `now`.
  virtual bool LeaseIsValid(core::mono_time now) const = 0;
  virtual void OnOwned(core::shard_index shard) = 0;
  virtual void OnLost(core::shard_index shard, shard_loss reason) = 0;
  /// @return true if a shard that is to be released may be handed over now.
  virtual bool MayHandOver(core::shard_index shard) = 0;
  /// A key below `owner/` has changed; the local copy should be read again.
  virtual void OnOwnersChanged() = 0;
};

/// Phases of the ownership of one shard, in the order in which a shard passes through them.
enum class ownership_phase : std::uint8_t {
  free,          ///< not owned by this entry
  creating_key,  ///< creating `owner/<shard>`
  loading,       ///< reading snapshot and log
  fencing,       ///< appending `owner_changed`
  verifying,     ///< reading `owner/<shard>` again
  owned,
  flushing,      ///< to be released; waiting for work in progress and for the store
  handing_over,  ///< appending the queued records, then `owner_released`
  deleting_key,  ///< deleting `owner/<shard>`
};

/// Acquires, keeps and releases one shard.
///
/// Two entries can both assume that they own a shard if each has created `owner/<shard>` once. An
/// entry that has created the key reads the log afterwards, and an entry that has appended
/// `owner_changed` reads the key afterwards; so at least one of the two detects the other and gives
/// up the shard.
class shard_ownership final : public shard_log_listener {
 public:
  shard_ownership(const ledger_context& context, core::shard_index shard, ownership_host& host);

  /// Makes the store calls that are due.
  void Tick();
  /// Starts to acquire a free shard.
  void Acquire();
  /// Starts to release an owned shard, or stops acquiring it.
  void Release();
  /// Releases the shard and does not acquire it again, even while this entry holds its key.
  void Close();

  void OnLeaseConfirmed(store::lease_id lease, core::mono_time sent);
  void OnLeaseExpired();
  /// `owner/` was read. @param found the shard's key, or nullptr if it is free.
  void OnOwnerRead(const store::kv_entry* found, std::uint64_t revision, core::mono_time sent);

  void Append(record change, std::size_t bytes, shard_manager::append_callback done);

  ownership_phase phase() const noexcept { return phase_; }
  /// @return true if new work may start.
  bool MayAppend() const noexcept;
  /// @return true if `Append` may be called.
  bool AcceptsRecords() const noexcept;
  /// @return true from `OnOwned` until `OnLost`.
  bool announced() const noexcept { return announced_; }
  /// @return true if execution leases may be renewed at `now`.
  bool MayGrant(core::mono_time now) const;
  /// @return true if `orphan_grace` has passed since the last confirmed renewal.
  bool GraceExpired(core::mono_time now) const;
  const takeover& since() const noexcept { return since_; }
  /// @return the log of an owned shard.
  const shard_log& log() const { return *log_; }

  void OnBatchCommitted() override;
  void OnOtherWriter() override;
  core::mono_time TruncationHorizon() const override;

 private:
  std::string OwnerKeyValue(store::lease_id lease) const;
  bool HoldsKey() const;
  void TickOwned(core::mono_time now);
  void AcquireKey();
  void CheckKey(store::lease_id lease);
  void OnKeyHeld(store::lease_id lease, store::key_version version, core::mono_time sent);
  void OnKeyHeldByOther();
  void OnKeyFailed();
  void CheckLog(store::lease_id lease, store::key_version version, core::mono_time sent);
  void StartLoad();
  void OnLoaded(load_result result);
  void Verify();
  void OnVerified(const store::get_result& result);
  void HandOver(core::mono_time now);
  void DeleteKey();
  void FinishRelease();
  void AbortAcquire();
  void Lose(shard_loss reason);
  void RetryLater();
  void DropCalls();

  const ledger_context& context_;
  core::shard_index shard_;
  ownership_host& host_;
  ownership_phase phase_ = ownership_phase::free;
  bool announced_ = false;
  bool closed_ = false;
  store::lease_id key_lease_ = 0;  ///< lease that holds `owner/<shard>`; 0 if not held
  store::key_version key_version_ = 0;
  /// Send time of the last call whose answer proves that the lease held the key.
  core::mono_time confirmed_{};
  takeover since_;
  std::unique_ptr<log_loader> loader_;
  std::string load_error_;  ///< last error of a load; logged once, not at each retry
  std::unique_ptr<shard_log> log_;
  std::unique_ptr<snapshot_writer> snapshots_;
  bool call_in_flight_ = false;  ///< a store call of this class is unanswered
  core::mono_time next_try_{};
  backoff backoff_;
  std::optional<call_scope> scope_;
};

}  // namespace coltsfoot::ledger
