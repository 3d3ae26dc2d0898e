#pragma once

#include <deque>
#include <string>
#include <vector>

#include "ledger_context.h"
#include "log_loader.h"

namespace coltsfoot::ledger {

/// Writes snapshots of an owned shard and deletes the keys that they replace. At most one write
/// and one deletion are in flight.
///
/// Another owner never writes a snapshot of the same index: an owner's snapshots cover its own
/// `owner_changed`, which follows every batch that was confirmed to an earlier owner.
class snapshot_writer {
 public:
  snapshot_writer(const ledger_context& context, core::shard_index shard, const loaded_log& loaded);

  /// Starts a snapshot if enough batches have been confirmed since the last one. Called after each
  /// confirmed batch.
  void OnBatch(const shard_table& table);
  /// Makes the writes and deletions that are due.
  void Tick();

 private:
  struct part {
    std::string key;
    std::string value;
  };
  /// Keys that a confirmed snapshot replaces.
  struct obsolete_keys {
    core::mono_time not_before;             ///< see `ledger_options::truncate_delay`
    std::deque<std::string> snapshot_keys;  ///< parts of older snapshots
    log_index log_end = 0;                  ///< log keys below this index
  };

  void WritePart();
  void OnSnapshotComplete();
  void DeleteNext();
  /// Moves to the next log key that exists, because the index of a late append by an earlier owner
  /// may be far below the others.
  void SkipDeletedKeys();
  std::string NextObsoleteKey() const;
  void PopObsoleteKey();
  core::nanoseconds DeleteInterval() const;

  const ledger_context& context_;
  core::shard_index shard_;
  std::uint32_t batches_ = 0;         ///< since the last snapshot
  log_index index_ = 0;               ///< of the snapshot that is being written
  std::deque<part> parts_;            ///< not yet written
  std::vector<std::string> written_;  ///< keys of the snapshot that is being written
  std::vector<std::string> current_;  ///< keys of the last complete snapshot, if known
  std::deque<obsolete_keys> obsolete_;
  log_index next_deleted_ = 1;  ///< lowest log index that may exist
  bool writing_ = false;
  bool deleting_ = false;
  core::mono_time next_write_{};
  core::mono_time next_delete_{};
  backoff write_backoff_;
  backoff delete_backoff_;
  call_scope scope_;
};

}  // namespace coltsfoot::ledger
