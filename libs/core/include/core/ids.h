#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot::core {

using shard_index = std::uint32_t;
/// Number of a task's assignment to a worker; increases with each assignment.
using epoch_number = std::uint64_t;
/// Fencing token of a shard's owner; increases with each change of ownership.
using fencing_token = std::uint64_t;
/// Version of the fleet configuration; 0 if none is known.
using config_version = std::uint64_t;

/// @return a 64-bit hash of `text` that is the same in every process and release (FNV-1a with
/// a final avalanche step).
std::uint64_t StableHash(std::string_view text) noexcept;

/// @return the shard of an idempotency key or task name.
shard_index ShardOfKey(std::string_view key, std::uint32_t shard_count) noexcept;

/// Builds the id of a task: "t", the shard in two hex digits, "-", and 16 hex digits.
std::string MakeTaskId(shard_index shard, std::uint64_t unique);

/// @return the id of the task that `team` submits with `idempotency_key`; the same key always
/// gives the same id.
std::string TaskIdForKey(std::string_view team, std::string_view idempotency_key,
                         std::uint32_t shard_count);

/// @return the shard in `task_id`, or std::nullopt if it is not a task id.
std::optional<shard_index> ShardOfTask(std::string_view task_id) noexcept;

/// @return `value` as 16 hex digits.
std::string ToHex(std::uint64_t value);

}  // namespace coltsfoot::core
