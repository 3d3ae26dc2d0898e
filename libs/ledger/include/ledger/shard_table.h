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
#include "ledger/records.h"
#include "wire/messages.h"

namespace coltsfoot::ledger {

enum class task_state : std::uint8_t { queued, assigned, ended };

/// One task. The payload and the checkpoint are dropped when the task ends.
struct task_entry {
  task_spec spec;
  task_state state = task_state::queued;
  /// Epoch of the current or last assignment. A new task starts at the highest epoch of all tasks
  /// that were pruned, because agents refuse an epoch that they have seen for the same task id.
  core::epoch_number epoch = 0;
  std::string worker;      ///< of the current or last assignment
  std::string checkpoint;  ///< to resume from; empty if there is none
  bool cancel_requested = false;
  core::result_code code = core::result_code::ok;  ///< outcome, or reason of the last requeue
  std::string result;
  bool result_kept = true;            ///< false if the result was dropped to save memory
  std::uint32_t assignments = 0;      ///< how often the task was assigned
  std::uint32_t failed_attempts = 0;  ///< requeues with the failed flag
  std::uint32_t evictions = 0;
  std::vector<std::string> failed_workers;  ///< distinct, in the order of their failures
  std::int64_t assigned_wall_ms = 0;        ///< of the last assignment; 0 if never assigned
  std::int64_t ended_wall_ms = 0;           ///< 0 unless ended
  bool operator==(const task_entry&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, state, epoch, worker, checkpoint, cancel_requested, code, result, result_kept,
            assignments, failed_attempts, evictions, failed_workers, assigned_wall_ms,
            ended_wall_ms);
  }
};

/// A released claim leaves no entry: its key is free.
enum class claim_state : std::uint8_t { made, settled };

/// Claim of a non-idempotent request.
struct claim_entry {
  std::string key;
  claim_state state = claim_state::made;
  std::uint64_t request_digest = 0;
  std::string team;
  core::fence_number fence = 0;  ///< ownership under which the claim was made
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

  /// @return the task, or nullptr. Valid until the next change of the table.
  const task_entry* FindTask(std::string_view task) const;
  /// @return the claim, or nullptr. Valid until the next change of the table.
  const claim_entry* FindClaim(std::string_view key) const;

  const task_map& tasks() const noexcept { return tasks_; }
  const claim_map& claims() const noexcept { return claims_; }
  /// @return the fence of the last ownership; 0 for a shard that never had an owner.
  core::fence_number fence() const noexcept { return fence_; }
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

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks_, claims_, ended_tasks_, settled_claims_, epoch_floor_, fence_, owner_, released_,
            orphan_wait_ms_, next_index_, wall_ms_);
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
  void End(task_entry& task, core::result_code code, std::string result);
  void Prune(const retention_limits& limits);
  void PruneTask();
  void PruneClaim();

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
  ended_queue ended_tasks_;
  ended_queue settled_claims_;
  core::epoch_number epoch_floor_ = 0;
  core::fence_number fence_ = 0;
  std::string owner_;
  bool released_ = false;
  std::int64_t orphan_wait_ms_ = 0;
  std::uint64_t next_index_ = 1;
  std::int64_t wall_ms_ = 0;
};

}  // namespace coltsfoot::ledger
