#include "ledger/shard_table.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

// Enough workers to decide that a task fails everywhere; bounds the size of a task entry.
constexpr std::size_t kMaxFailedWorkers = 64;
// Maximum encoded size of a snapshot part's number, count and digest, and of the length of its
// bytes.
constexpr std::size_t kPartHeaderBytes = 32;

/// One value of a snapshot: a slice of the encoded table.
struct snapshot_part {
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  std::uint64_t digest = 0;  ///< of the whole encoded table
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(part, parts, wire::FullWidth(digest), bytes);
  }
};

}  // namespace

std::vector<bool> shard_table::ApplyBatch(const log_batch& batch) {
  std::vector<bool> effects;
  effects.reserve(batch.records.size());
  next_index_ += 1;
  if (batch.fence < fence_) {
    effects.assign(batch.records.size(), false);
    return effects;
  }
  // The wall clock of a new owner may be behind; times in the table never decrease.
  wall_ms_ = std::max(wall_ms_, batch.wall_ms);
  for (const record& change : batch.records) {
    effects.push_back(std::visit([this](const auto& one) { return Apply(one); }, change));
  }
  Prune(batch.retention);
  return effects;
}

const task_entry* shard_table::FindTask(std::string_view task) const {
  const auto found = tasks_.find(task);
  if (found != tasks_.end()) return &found->second;
  last_decoded_.ended = ended_tasks_.Find(task);
  return last_decoded_.ended ? &*last_decoded_.ended : nullptr;
}

const claim_entry* shard_table::FindClaim(std::string_view key) const {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

std::optional<owner_released> shard_table::release() const {
  if (!released_) return std::nullopt;
  return owner_released{owner_, fence_, orphan_wait_ms_};
}

task_entry* shard_table::FindLive(const std::string& task, core::epoch_number epoch) {
  const auto found = tasks_.find(task);
  return found != tasks_.end() && found->second.epoch == epoch ? &found->second : nullptr;
}

void shard_table::EndTask(const std::string& id, core::result_code code, std::string result) {
  auto node = tasks_.extract(id);
  task_entry& task = node.mapped();
  task.state = task_state::ended;
  task.code = code;
  task.result = std::move(result);
  task.ended_wall_ms = wall_ms_;
  task.checkpoint.clear();
  task.spec.payload.clear();
  ended_tasks_.Add(task);
}

bool shard_table::Apply(const task_submitted& change) {
  if (FindTask(change.spec.task) != nullptr) return false;
  const auto [position, is_new] = tasks_.try_emplace(change.spec.task);
  position->second.spec = change.spec;
  position->second.epoch = epoch_floor_;
  return true;
}

bool shard_table::Apply(const task_assigned& change) {
  const auto found = tasks_.find(change.task);
  if (found == tasks_.end()) return false;
  task_entry& task = found->second;
  if (task.state != task_state::queued || task.cancel_requested || change.epoch <= task.epoch) {
    return false;
  }
  task.state = task_state::assigned;
  task.epoch = change.epoch;
  task.worker = change.worker;
  task.assignments += 1;
  task.assigned_wall_ms = wall_ms_;
  return true;
}

bool shard_table::Apply(const task_finished& change) {
  if (FindLive(change.task, change.epoch) == nullptr) return false;
  EndTask(change.task, change.code, change.result);
  return true;
}

bool shard_table::Apply(const task_requeued& change) {
  task_entry* const task = FindLive(change.task, change.epoch);
  if (task == nullptr || task->state != task_state::assigned) return false;
  task->state = task_state::queued;
  task->code = change.code;
  if (!change.failed) return true;
  task->failed_attempts += 1;
  auto& workers = task->failed_workers;
  const bool known = std::find(workers.begin(), workers.end(), task->worker) != workers.end();
  if (!known && workers.size() < kMaxFailedWorkers) workers.push_back(task->worker);
  return true;
}

bool shard_table::Apply(const task_evicted& change) {
  task_entry* const task = FindLive(change.task, change.epoch);
  if (task == nullptr || task->state != task_state::assigned) return false;
  task->state = task_state::queued;
  task->code = change.reason;
  task->evictions += 1;
  if (!change.checkpoint.empty()) task->checkpoint = change.checkpoint;
  return true;
}

bool shard_table::Apply(const task_checkpointed& change) {
  task_entry* const task = FindLive(change.task, change.epoch);
  if (task == nullptr || task->state != task_state::assigned) return false;
  task->checkpoint = change.checkpoint;
  return true;
}

bool shard_table::Apply(const cancel_requested& change) {
  const auto found = tasks_.find(change.task);
  if (found == tasks_.end()) return false;
  task_entry& task = found->second;
  if (task.cancel_requested) return false;
  task.cancel_requested = true;
  return true;
}

bool shard_table::Apply(const task_cancelled& change) {
  if (FindLive(change.task, change.epoch) == nullptr) return false;
  EndTask(change.task, core::result_code::cancelled, "");
  return true;
}

bool shard_table::Apply(const claim_made& change) {
  const auto [position, is_new] = claims_.try_emplace(change.key);
  if (!is_new) return false;
  claim_entry& claim = position->second;
  claim.key = change.key;
  claim.request_digest = change.request_digest;
  claim.team = change.team;
  claim.fence = fence_;
  claim.made_wall_ms = wall_ms_;
  return true;
}

bool shard_table::Apply(const claim_settled& change) {
  const auto found = claims_.find(change.key);
  if (found == claims_.end() || found->second.state != claim_state::made) return false;
  claim_entry& claim = found->second;
  claim.state = claim_state::settled;
  claim.code = change.code;
  claim.answer = change.answer;
  claim.answer_kept = change.answer_kept;
  claim.settled_wall_ms = wall_ms_;
  settled_claims_.ids.push_back(claim.key);
  settled_claims_.kept_bytes += claim.answer.size();
  return true;
}

bool shard_table::Apply(const claim_released& change) {
  const auto found = claims_.find(change.key);
  if (found == claims_.end() || found->second.state != claim_state::made) return false;
  claims_.erase(found);
  return true;
}

bool shard_table::Apply(const owner_changed& change) {
  if (change.fence <= fence_) return false;
  fence_ = change.fence;
  owner_ = change.entry;
  released_ = false;
  orphan_wait_ms_ = 0;
  return true;
}

bool shard_table::Apply(const owner_released& change) {
  if (change.fence != fence_ || released_) return false;
  released_ = true;
  orphan_wait_ms_ = change.orphan_wait_ms;
  return true;
}

void shard_table::PruneClaim() {
  const auto found = claims_.find(settled_claims_.ids.front());
  settled_claims_.kept_bytes -= found->second.answer.size();
  if (settled_claims_.dropped > 0) settled_claims_.dropped -= 1;
  claims_.erase(found);
  settled_claims_.ids.pop_front();
}

void shard_table::Prune(const retention_limits& limits) {
  const std::int64_t oldest_ms = wall_ms_ - limits.retention_ms;
  while (ended_tasks_.size() > 0 && (ended_tasks_.size() > limits.max_ended_tasks ||
                                     ended_tasks_.oldest_wall_ms() < oldest_ms)) {
    epoch_floor_ = std::max(epoch_floor_, ended_tasks_.Pop().epoch);
  }
  while (!settled_claims_.ids.empty() &&
         (settled_claims_.ids.size() > limits.max_settled_claims ||
          claims_.at(settled_claims_.ids.front()).settled_wall_ms < oldest_ms)) {
    PruneClaim();
  }
  while (ended_tasks_.kept_bytes() > limits.max_kept_bytes) ended_tasks_.DropOldestResult();
  while (settled_claims_.kept_bytes > limits.max_kept_bytes) {
    claim_entry& claim = claims_.at(settled_claims_.ids[settled_claims_.dropped++]);
    settled_claims_.kept_bytes -= claim.answer.size();
    claim.answer_kept = claim.answer_kept && claim.answer.empty();
    claim.answer = {};
  }
}

std::vector<std::string> shard_table::EncodeSnapshot(std::size_t max_part_bytes) const {
  const std::string encoded = wire::EncodeValue(*this);
  const std::size_t slice_bytes = max_part_bytes - kPartHeaderBytes;
  snapshot_part part;
  part.parts = static_cast<std::uint32_t>((encoded.size() + slice_bytes - 1) / slice_bytes);
  part.digest = core::StableHash(encoded);
  std::vector<std::string> out;
  for (; part.part < part.parts; ++part.part) {
    part.bytes = encoded.substr(part.part * slice_bytes, slice_bytes);
    out.push_back(wire::EncodeValue(part));
  }
  return out;
}

std::optional<shard_table> shard_table::DecodeSnapshot(const std::vector<std::string>& parts,
                                                       core::last_error& error) {
  std::string encoded;
  std::uint64_t digest = 0;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    auto part = wire::DecodeValue<snapshot_part>(parts[index], error);
    if (!part) return std::nullopt;
    if (part->part != index || part->parts != parts.size()) {
      return error.Set(core::result_code::decode_error, "snapshot part is missing");
    }
    digest = part->digest;
    encoded += part->bytes;
  }
  if (core::StableHash(encoded) != digest) {
    return error.Set(core::result_code::decode_error, "snapshot digest does not match");
  }
  return wire::DecodeValue<shard_table>(encoded, error);
}

}  // namespace coltsfoot::ledger
