#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

/// Names of the ledger's keys in the key-value service.
namespace coltsfoot::ledger {

/// Position of a batch in the log of its shard; the first is 1.
using log_index = std::uint64_t;

inline constexpr std::string_view kEntriesPrefix = "entries/";
inline constexpr std::string_view kOwnersPrefix = "owner/";
inline constexpr std::string_view kShardCountKey = "ledger/shard_count";

/// @return "entries/<id>".
std::string EntryKey(std::string_view entry);
/// @return "owner/<shard>".
std::string OwnerKey(core::shard_index shard);
/// @return "log/<shard>/", the prefix of the shard's log.
std::string LogPrefix(core::shard_index shard);
/// @return "log/<shard>/<index, 12 digits>".
std::string LogKey(core::shard_index shard, log_index index);
/// @return "snap/<shard>/", the prefix of the shard's snapshots.
std::string SnapshotPrefix(core::shard_index shard);
/// @return "snap/<shard>/<index, 12 digits>/<part, 4 digits>"; the snapshot covers the log up to
/// and including `index`.
std::string SnapshotKey(core::shard_index shard, log_index index, std::uint32_t part);
/// @return the index in a key of the shard's log, or nothing for another key.
std::optional<log_index> IndexOfLogKey(core::shard_index shard, std::string_view key);
/// @return the index in a key of the shard's snapshots, or nothing for another key.
std::optional<log_index> IndexOfSnapshotKey(core::shard_index shard, std::string_view key);
/// @return the shard in a key "owner/<shard>", or nothing for another key.
std::optional<core::shard_index> ShardOfOwnerKey(std::string_view key);

}  // namespace coltsfoot::ledger
