#include "ledger/keys.h"

#include <fmt/format.h>

#include <charconv>

namespace coltsfoot::ledger {
namespace {

template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

std::string EntryKey(std::string_view entry) { return fmt::format("{}{}", kEntriesPrefix, entry); }

std::string OwnerKey(core::shard_index shard) { return fmt::format("{}{}", kOwnersPrefix, shard); }

std::string LogPrefix(core::shard_index shard) { return fmt::format("log/{}/", shard); }

std::string LogKey(core::shard_index shard, log_index index) {
  return fmt::format("log/{}/{:012}", shard, index);
}

std::string SnapshotPrefix(core::shard_index shard) { return fmt::format("snap/{}/", shard); }

std::string SnapshotKey(core::shard_index shard, log_index index, std::uint32_t part) {
  return fmt::format("snap/{}/{:012}/{:04}", shard, index, part);
}

std::optional<log_index> IndexOfLogKey(core::shard_index shard, std::string_view key) {
  const std::string prefix = LogPrefix(shard);
  if (!key.starts_with(prefix)) return std::nullopt;
  return ParseNumber<log_index>(key.substr(prefix.size()));
}

std::optional<log_index> IndexOfSnapshotKey(core::shard_index shard, std::string_view key) {
  const std::string prefix = SnapshotPrefix(shard);
  if (!key.starts_with(prefix)) return std::nullopt;
  key.remove_prefix(prefix.size());
  return ParseNumber<log_index>(key.substr(0, key.find('/')));
}

std::optional<core::shard_index> ShardOfOwnerKey(std::string_view key) {
  if (!key.starts_with(kOwnersPrefix)) return std::nullopt;
  return ParseNumber<core::shard_index>(key.substr(kOwnersPrefix.size()));
}

}  // namespace coltsfoot::ledger
