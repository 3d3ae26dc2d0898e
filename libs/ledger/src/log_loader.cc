#include "log_loader.h"

#include <fmt/format.h>

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

// Bound the memory of one answer: a part has up to 900 KB, a batch up to 512 KB.
constexpr std::size_t kSnapshotPartsPerRead = 8;
constexpr std::size_t kBatchesPerRead = 32;

}  // namespace

log_loader::log_loader(const ledger_context& context, core::shard_index shard, handler done)
    : context_(context), shard_(shard), done_(std::move(done)), scope_(context.health) {
  ReadSnapshots("");
}

void log_loader::ReadSnapshots(std::string after) {
  context_.kv.Range(SnapshotPrefix(shard_), std::move(after), kSnapshotPartsPerRead,
                    scope_.Wrap([this](store::range_result result) {
                      if (result.status != store::kv_status::ok) return Finish(false);
                      // The service may shorten a page to limit its size, so only an empty page
                      // marks the end.
                      if (result.entries.empty()) {
                        UseNewestSnapshot();
                        return ReadOldest();
                      }
                      std::string last = result.entries.back().key;
                      for (auto& entry : result.entries) {
                        const auto index = IndexOfSnapshotKey(shard_, entry.key);
                        if (index) snapshots_[*index].push_back(std::move(entry));
                      }
                      ReadSnapshots(std::move(last));
                    }));
}

void log_loader::UseNewestSnapshot() {
  for (auto position = snapshots_.rbegin(); position != snapshots_.rend(); ++position) {
    std::vector<std::string> parts;
    for (auto& entry : position->second) parts.push_back(std::move(entry.value));
    core::last_error error;
    auto table =
        loaded_.snapshot_index == 0 ? shard_table::DecodeSnapshot(parts, error) : std::nullopt;
    if (table) {
      loaded_.table = std::move(*table);
      loaded_.snapshot_index = position->first;
    }
    // Other snapshots are incomplete, because their writer stopped, or older than the one in use.
    auto& keys = table ? loaded_.snapshot_keys : loaded_.stale_snapshot_keys;
    for (auto& entry : position->second) keys.push_back(std::move(entry.key));
  }
  snapshots_.clear();
}

void log_loader::ReadOldest() {
  context_.kv.Range(LogPrefix(shard_), "", 1, scope_.Wrap([this](store::range_result result) {
    if (result.status != store::kv_status::ok) return Finish(false);
    if (!result.entries.empty()) {
      loaded_.oldest_index = IndexOfLogKey(shard_, result.entries.front().key).value_or(0);
    }
    ReadLog();
  }));
}

void log_loader::ReadLog() {
  context_.kv.Range(LogPrefix(shard_), LogKey(shard_, loaded_.table.next_index() - 1),
                    kBatchesPerRead, scope_.Wrap([this](store::range_result result) {
                      if (result.status != store::kv_status::ok) return Finish(false);
                      if (result.entries.empty()) return Finish(true);
                      if (!ApplyPage(result.entries)) return Finish(false);
                      ReadLog();
                    }));
}

bool log_loader::ApplyPage(const std::vector<store::kv_entry>& page) {
  for (const store::kv_entry& entry : page) {
    if (IndexOfLogKey(shard_, entry.key) != loaded_.table.next_index()) {
      // Also seen if the previous owner replaced the missing batches by a snapshot during the load.
      error_ = fmt::format("log has a gap: {} follows index {}", entry.key,
                           loaded_.table.next_index() - 1);
      return false;
    }
    core::last_error error;
    const auto batch = wire::DecodeValue<log_batch>(entry.value, error);
    if (!batch) {
      error_ = fmt::format("cannot decode batch {}: {}", entry.key, error.reason().message);
      return false;
    }
    loaded_.table.ApplyBatch(*batch);
  }
  return true;
}

void log_loader::Finish(bool complete) {
  const handler done = std::move(done_);
  if (complete) {
    done({std::move(loaded_), ""});
  } else {
    done({std::nullopt, std::move(error_)});
  }
}

}  // namespace coltsfoot::ledger
