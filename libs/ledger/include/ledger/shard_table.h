#pragma once

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/ids.h"
#include "ledger/ended_tasks.h"
#include "ledger/records.h"
#include "ledger/task_entry.h"
#include "wire/messages.h"

namespace coltsfoot::ledger {

/// A released claim leaves no entry: its key is free.
enum class claim_state : std::uint8_t { made, settled };

/// Claim of a non-idempotent request.
struct claim_entry {
  std::string key;
  claim_state state = claim_state::made;
  std::uint64_t request_digest = 0;
  std::string team;
  core::fencing_token fence = 0;  ///< ownership under which the claim was made
  core::result_code code = core::result_code::ok;
  std::string answer;
  bool answer_kept = true;  ///< false if the request ran and its answer is no longer known
  std::int64_t made_wall_ms = 0;
  std::int64_t settled_wall_ms = 0;
  bool operator==(const claim_entry&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, state, wire::FullWidth(request_digest), team, fence, code, answer, answer_kept,
            made_wall_ms, settled_wall_ms);
  }
};

/// State of one shard: a pure function of the batches of its log. A record that does not fit
/// (wrong epoch, ended task, duplicate) is ignored by the same rule on each replay.
class shard_table {
 public:
  using task_map = std::map<std::string, task_entry, std::less<>>;
  using claim_map = std::map<std::string, claim_entry, std::less<>>;

  /// Applies the records of one batch in order, then prunes by the batch's retention limits.
  /// A batch whose fence is below the table's is ignored as a whole.
  /// @return for each record whether it had an effect.
  std::vector<bool> ApplyBatch(const log_batch& batch);

  /// @return the task, or nullptr. Valid until the next change of the table and the next call.
  const task_entry* FindTask(std::string_view task) const;
  /// @return the claim, or nullptr. Valid until the next change of the table.
  const claim_entry* FindClaim(std::string_view key) const;

  /// @return the tasks that have not ended.
  const task_map& tasks() const noexcept { return tasks_; }
  /// @return the tasks that have ended and are still kept.
  const ended_tasks& ended() const noexcept { return ended_tasks_; }
  const claim_map& claims() const noexcept { return claims_; }
  /// @return the fence of the last ownership; 0 for a shard that never had an owner.
  core::fencing_token fence() const noexcept { return fence_; }
  /// @return the entry of the last ownership.
  const std::string& owner() const noexcept { return owner_; }
  /// @return index of the next batch of the log; the first batch has index 1.
  std::uint64_t next_index() const noexcept { return next_index_; }
  /// @return the highest wall time of any batch, in milliseconds since the Unix epoch.
  std::int64_t wall_ms() const noexcept { return wall_ms_; }
  /// @return the last owner's final record if it released the shard, nothing otherwise.
  std::optional<owner_released> release() const;

  /// @return the table as values for the key-value service, each at most `max_part_bytes` long.
  std::vector<std::string> EncodeSnapshot(std::size_t max_part_bytes) const;
  /// @param parts all parts of one snapshot in order.
  /// @return the table, or nothing with `decode_error` if a part is missing, damaged or of another
  /// snapshot.
  static std::optional<shard_table> DecodeSnapshot(const std::vector<std::string>& parts,
                                                   core::last_error& error);

  bool operator==(const shard_table&) const = default;

  // A snapshot holds all tasks in one map and the ids of the ended ones in the order of their end.
  template <class Archive>
  void save(Archive& archive) const {
    archive(
        cereal::make_size_tag(static_cast<cereal::size_type>(tasks_.size() + ended_tasks_.size())));
    for (const auto& [id, task] : tasks_) archive(id, task);
    ended_queue order{{}, ended_tasks_.dropped(), ended_tasks_.kept_bytes()};
    for (std::size_t position = 0; position < ended_tasks_.size(); ++position) {
      const task_entry task = ended_tasks_.At(position);
      archive(task.spec.task, task);
      order.ids.push_back(task.spec.task);
    }
    archive(claims_, order, settled_claims_, epoch_floor_, fence_, owner_, released_,
            orphan_wait_ms_, next_index_, wall_ms_);
  }
  template <class Archive>
  void load(Archive& archive) {
    ended_queue order;
    archive(tasks_, claims_, order, settled_claims_, epoch_floor_, fence_, owner_, released_,
            orphan_wait_ms_, next_index_, wall_ms_);
    for (const std::string& id : order.ids) {
      if (const auto node = tasks_.extract(id)) ended_tasks_.Add(node.mapped());
    }
    ended_tasks_.SetDropped(order.dropped);
  }

 private:
  bool Apply(const task_submitted& change);
  bool Apply(const task_assigned& change);
  bool Apply(const task_finished& change);
  bool Apply(const task_requeued& change);
  bool Apply(const task_evicted& change);
  bool Apply(const task_checkpointed& change);
  bool Apply(const cancel_requested& change);
  bool Apply(const task_cancelled& change);
  bool Apply(const claim_made& change);
  bool Apply(const claim_settled& change);
  bool Apply(const claim_released& change);
  bool Apply(const owner_changed& change);
  bool Apply(const owner_released& change);
  task_entry* FindLive(const std::string& task, core::epoch_number epoch);
  void End(const std::string& id, core::result_code code, std::string result);
  void Prune(const retention_limits& limits);
  void PruneClaim();

  /// What `FindTask` decoded last; no part of the state.
  struct decoded_task {
    std::optional<task_entry> ended;
    bool operator==(const decoded_task& /*other*/) const { return true; }
  };

  /// Ended entries in the order of their end.
  struct ended_queue {
    std::deque<std::string> ids;  ///< oldest first
    std::uint64_t dropped = 0;    ///< the first `dropped` entries have lost their result
    std::uint64_t kept_bytes = 0;
    bool operator==(const ended_queue&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(ids, dropped, kept_bytes);
    }
  };

  task_map tasks_;
  claim_map claims_;
  ended_tasks ended_tasks_;
  mutable decoded_task found_;
  ended_queue settled_claims_;
  core::epoch_number epoch_floor_ = 0;
  core::fencing_token fence_ = 0;
  std::string owner_;
  bool released_ = false;
  std::int64_t orphan_wait_ms_ = 0;
  std::uint64_t next_index_ = 1;
  std::int64_t wall_ms_ = 0;
};

}  // namespace coltsfoot::ledger
