#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/keys.h"
#include "ledger_context.h"

namespace coltsfoot::ledger {

/// Contents of a shard's snapshot and log.
struct loaded_log {
  shard_table table;
  log_index snapshot_index = 0;            ///< log index that the snapshot covers; 0 without one
  log_index oldest_index = 0;              ///< lowest index in the log; 0 if it is empty
  std::vector<std::string> snapshot_keys;  ///< keys of that snapshot
  std::vector<std::string> stale_snapshot_keys;  ///< keys of other snapshots
};

/// Outcome of a load.
struct load_result {
  std::optional<loaded_log> loaded;  ///< nothing if a read failed or the log is unusable
  std::string error;                 ///< why the log is unusable; empty otherwise
};

/// Reads the newest complete snapshot of a shard and the log that follows it.
class log_loader {
 public:
  using handler = std::function<void(load_result)>;

  /// Starts to read.
  /// @param done may destroy the loader.
  log_loader(const ledger_context& context, core::shard_index shard, handler done);

 private:
  void ReadSnapshots(std::string after);
  void UseNewestSnapshot();
  void ReadOldest();
  void ReadLog();
  /// @return false if the log has a gap or a damaged batch.
  bool ApplyPage(const std::vector<store::kv_entry>& page);
  void Finish(bool complete);

  const ledger_context& context_;
  core::shard_index shard_;
  handler done_;
  std::map<log_index, std::vector<store::kv_entry>> snapshots_;
  loaded_log loaded_;
  std::string error_;
  call_scope scope_;
};

}  // namespace coltsfoot::ledger
