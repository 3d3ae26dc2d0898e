#include "core/ids.h"

#include <fmt/format.h>

#include <charconv>

namespace coltsfoot::core {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr std::size_t kTaskIdLength = 20;

}  // namespace

std::uint64_t StableHash(std::string_view text) noexcept {
  std::uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  // Plain FNV-1a leaves the high bits of short keys poorly mixed.
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

shard_index ShardOfKey(std::string_view key, std::uint32_t shard_count) noexcept {
  return static_cast<shard_index>(StableHash(key) % shard_count);
}

std::string MakeTaskId(shard_index shard, std::uint64_t unique) {
  return fmt::format("t{:02x}-{:016x}", shard, unique);
}

std::string TaskIdForKey(std::string_view team, std::string_view idempotency_key,
                         std::uint32_t shard_count) {
  const std::string full = fmt::format("{}:{}:{}", team.size(), team, idempotency_key);
  return MakeTaskId(ShardOfKey(full, shard_count), StableHash(full + "#task"));
}

std::optional<shard_index> ShardOfTask(std::string_view task_id) noexcept {
  if (task_id.size() != kTaskIdLength || task_id[0] != 't' || task_id[3] != '-') return {};
  shard_index shard = 0;
  const char* end = task_id.data() + 3;
  const auto [parsed, failure] = std::from_chars(task_id.data() + 1, end, shard, 16);
  if (failure != std::errc{} || parsed != end) return {};
  return shard;
}

std::string ToHex(std::uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace coltsfoot::core
