#include "snapshot_writer.h"

#include <iterator>

namespace coltsfoot::ledger {
namespace {

// Stays below the service's limit of 1 MB per value.
constexpr std::size_t kMaxPartBytes = 900U << 10U;
// Deletions are slower than appends while the backlog is small, and as fast when it is large.
constexpr int kSlowDeleteFactor = 4;

}  // namespace

snapshot_writer::snapshot_writer(const ledger_context& context, core::shard_index shard,
                                 const loaded_log& loaded)
    : context_(context), shard_(shard), current_(loaded.snapshot_keys), scope_(context.health) {
  next_deleted_ = loaded.oldest_index;
  obsolete_keys stale{context.time.Now() + context.options.truncate_delay, {}, 0};
  stale.snapshot_keys.assign(loaded.stale_snapshot_keys.begin(), loaded.stale_snapshot_keys.end());
  if (loaded.oldest_index != 0 && loaded.snapshot_index != 0) stale.log_end = loaded.snapshot_index;
  obsolete_.push_back(std::move(stale));
  // Counts the batches of earlier owners too; otherwise the log of a shard that changes owners
  // often would grow without limit.
  batches_ = static_cast<std::uint32_t>(loaded.table.next_index() - 1 - loaded.snapshot_index);
}

void snapshot_writer::OnBatch(const shard_table& table) {
  batches_ += 1;
  if (next_deleted_ == 0) next_deleted_ = table.next_index() - 1;
  if (batches_ < context_.options.snapshot_every || !parts_.empty()) return;
  batches_ = 0;
  index_ = table.next_index() - 1;
  std::uint32_t number = 0;
  for (std::string& value : table.EncodeSnapshot(kMaxPartBytes)) {
    parts_.push_back({SnapshotKey(shard_, index_, number++), std::move(value)});
  }
}

void snapshot_writer::Tick() {
  const core::mono_time now = context_.time.Now();
  if (!parts_.empty() && !writing_ && now >= next_write_) WritePart();
  if (!deleting_ && now >= next_delete_) DeleteNext();
}

void snapshot_writer::WritePart() {
  writing_ = true;
  // The content of a part depends only on its key, so a write of unknown outcome may be repeated.
  context_.kv.Put(parts_.front().key, parts_.front().value, {},
                  scope_.Wrap([this](const store::write_result& result) {
                    writing_ = false;
                    if (result.status != store::kv_status::ok) {
                      CountRetry(context_, "ledger_snapshot", result.status);
                      next_write_ = context_.time.Now() + write_backoff_.Next(context_.random);
                      return;
                    }
                    write_backoff_.Reset();
                    written_.push_back(std::move(parts_.front().key));
                    parts_.pop_front();
                    if (parts_.empty()) OnSnapshotComplete();
                  }));
}

void snapshot_writer::OnSnapshotComplete() {
  context_.metrics.snapshots.Add();
  // The log key at the snapshot's index stays, so that a delayed append at a lower index finds a
  // later key and is not considered committed.
  obsolete_keys replaced{context_.time.Now() + context_.options.truncate_delay, {}, index_};
  replaced.snapshot_keys.assign(current_.begin(), current_.end());
  obsolete_.push_back(std::move(replaced));
  current_ = std::exchange(written_, {});
}

std::string snapshot_writer::NextObsoleteKey() const {
  const obsolete_keys& keys = obsolete_.front();
  if (!keys.snapshot_keys.empty()) return keys.snapshot_keys.front();
  return next_deleted_ < keys.log_end ? LogKey(shard_, next_deleted_) : "";
}

void snapshot_writer::PopObsoleteKey() {
  obsolete_keys& keys = obsolete_.front();
  if (!keys.snapshot_keys.empty()) {
    keys.snapshot_keys.pop_front();
  } else {
    next_deleted_ += 1;
  }
}

core::nanoseconds snapshot_writer::DeleteInterval() const {
  const bool has_backlog = obsolete_.size() > 1;
  return context_.options.commit_interval * (has_backlog ? 1 : kSlowDeleteFactor);
}

void snapshot_writer::DeleteNext() {
  const core::mono_time now = context_.time.Now();
  while (!obsolete_.empty() && now >= obsolete_.front().not_before && NextObsoleteKey().empty()) {
    obsolete_.pop_front();
  }
  if (obsolete_.empty() || now < obsolete_.front().not_before) return;
  deleting_ = true;
  next_delete_ = now + DeleteInterval();
  context_.kv.Delete(
      NextObsoleteKey(), std::nullopt, scope_.Wrap([this](const store::write_result& result) {
        deleting_ = false;
        if (result.status != store::kv_status::ok && result.status != store::kv_status::not_found) {
          CountRetry(context_, "ledger_truncate", result.status);
          next_delete_ = context_.time.Now() + delete_backoff_.Next(context_.random);
          return;
        }
        delete_backoff_.Reset();
        const bool is_log_key = obsolete_.front().snapshot_keys.empty();
        PopObsoleteKey();
        if (result.status == store::kv_status::ok) {
          context_.metrics.deleted_keys.Add();
        } else if (is_log_key) {
          SkipDeletedKeys();
        }
      }));
}

void snapshot_writer::SkipDeletedKeys() {
  deleting_ = true;
  context_.kv.Range(LogPrefix(shard_), LogKey(shard_, next_deleted_ - 1), 1,
                    scope_.Wrap([this](const store::range_result& result) {
                      deleting_ = false;
                      if (result.status != store::kv_status::ok || result.entries.empty()) return;
                      const auto index = IndexOfLogKey(shard_, result.entries.front().key);
                      next_deleted_ = index.value_or(next_deleted_);
                    }));
}

}  // namespace coltsfoot::ledger
