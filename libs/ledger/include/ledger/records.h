#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/result_code.h"
#include "wire/messages.h"

/// Records of the task log. A record is an immutable value; `shard_table::ApplyBatch` defines its
/// effect. The order of the alternatives of `record` is part of the stored format: add new
/// records at the end.
namespace coltsfoot::ledger {

/// Maximum size of an encoded record. A task that has not ended holds a payload and a checkpoint,
/// each from one record.
inline constexpr std::size_t kMaxRecordBytes = 384U << 10U;
/// Maximum size of an encoded batch; records that do not fit wait for the next append.
inline constexpr std::size_t kMaxBatchBytes = 512U << 10U;

/// A task as submitted by its caller; never changes.
struct task_spec {
  std::string task;  ///< task id
  std::string team;
  std::string task_class;
  core::task_kind kind = core::task_kind::batch;
  bool urgent = false;
  core::resources need;
  std::uint32_t expected_ms = 0;  ///< declared run time; 0 if not declared
  std::string payload;
  std::uint64_t request_digest = 0;    ///< of the submission; tells a retry from a reused key
  std::int64_t submitted_wall_ms = 0;  ///< wall time of the submission since the Unix epoch
  bool operator==(const task_spec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, team, task_class, kind, urgent, need, expected_ms, payload,
            wire::FullWidth(request_digest), submitted_wall_ms);
  }
};

/// A new task. No effect if the table has the task, even if it has ended and is not yet pruned.
struct task_submitted {
  task_spec spec;
  bool operator==(const task_submitted&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec);
  }
};

/// A queued task is assigned to a worker. No effect unless `epoch` is higher than any before, or if
/// the task's cancellation was requested.
struct task_assigned {
  std::string task;
  core::epoch_number epoch = 0;
  std::string worker;
  bool operator==(const task_assigned&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch, worker);
  }
};

/// The task ends with `code` and `result`. Applies to an assigned task and to a queued one
/// (`never_fits`, `failed_everywhere`, or the late result of an attempt that was considered lost)
/// if `epoch` is the task's current epoch.
struct task_finished {
  std::string task;
  core::epoch_number epoch = 0;
  core::result_code code = core::result_code::ok;
  std::string result;
  bool operator==(const task_finished&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch, code, result);
  }
};

/// The current assignment ended without a result and the task runs again: refused, lost, or
/// failed. `failed` counts the attempt against the task and remembers the worker.
struct task_requeued {
  std::string task;
  core::epoch_number epoch = 0;
  core::result_code code = core::result_code::ok;
  bool failed = false;
  bool operator==(const task_requeued&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch, code, failed);
  }
};

/// The current assignment was stopped; the task is queued again. An empty checkpoint keeps the
/// previous one.
struct task_evicted {
  std::string task;
  core::epoch_number epoch = 0;
  std::string checkpoint;
  core::result_code reason = core::result_code::evicted;
  bool operator==(const task_evicted&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch, checkpoint, reason);
  }
};

/// The current assignment has written a new checkpoint and continues.
struct task_checkpointed {
  std::string task;
  core::epoch_number epoch = 0;
  std::string checkpoint;
  bool operator==(const task_checkpointed&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch, checkpoint);
  }
};

/// A caller asked to cancel a task that has not ended; it is not assigned again.
struct cancel_requested {
  std::string task;
  bool operator==(const cancel_requested&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task);
  }
};

/// The task ends as cancelled. Applies to a queued or assigned task if `epoch` is its current
/// epoch (0 if it was never assigned and no floor applies, see `task_entry::epoch`).
struct task_cancelled {
  std::string task;
  core::epoch_number epoch = 0;
  bool operator==(const task_cancelled&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch);
  }
};

/// A non-idempotent request is about to be dispatched. No effect if the key is already claimed.
struct claim_made {
  std::string key;
  std::uint64_t request_digest = 0;
  std::string team;
  bool operator==(const claim_made&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, wire::FullWidth(request_digest), team);
  }
};

/// The claimed request ended; also written with 3xx codes if its outcome remains unknown.
struct claim_settled {
  std::string key;
  core::result_code code = core::result_code::ok;
  std::string answer;
  bool answer_kept = true;  ///< false if the answer was too large to keep
  bool operator==(const claim_settled&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, code, answer, answer_kept);
  }
};

/// The claimed request is proved not to have run; its key may be claimed again.
struct claim_released {
  std::string key;
  bool operator==(const claim_released&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key);
  }
};

/// First record of each ownership. Written by `shard_manager` only.
struct owner_changed {
  std::string entry;
  core::fencing_token fence = 0;
  bool operator==(const owner_changed&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, fence);
  }
};

/// Last record of an ownership that ends gracefully: the owner renews no execution lease after
/// it sends this record. Written by `shard_manager` only.
struct owner_released {
  std::string entry;
  core::fencing_token fence = 0;
  /// For how long an owner before this one may still renew execution leases, in milliseconds.
  std::int64_t orphan_wait_ms = 0;
  bool operator==(const owner_released&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, fence, orphan_wait_ms);
  }
};

using record =
    std::variant<task_submitted, task_assigned, task_finished, task_requeued, task_evicted,
                 task_checkpointed, cancel_requested, task_cancelled, claim_made, claim_settled,
                 claim_released, owner_changed, owner_released>;

/// Identifies one write of one batch, so that a write whose answer was lost can be recognized.
struct batch_token {
  std::uint64_t writer = 0;  ///< random number of the process
  std::uint64_t batch = 0;   ///< random number of the batch
  bool operator==(const batch_token&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(wire::FullWidth(writer), wire::FullWidth(batch));
  }
};

/// Limits of what a shard keeps of ended tasks and settled claims. Each batch carries the limits
/// of its writer, so that a replay by an entry with other options prunes the same entries.
struct retention_limits {
  std::int64_t retention_ms = 3'600'000;  ///< measured in the wall time of batches
  /// The oldest are removed first. Each kept entry adds to the time that the control thread spends
  /// encoding a snapshot.
  std::uint64_t max_ended_tasks = 5'000;
  std::uint64_t max_settled_claims = 20'000;
  /// Limit on the bytes of all results of ended tasks, and separately on those of all answers of
  /// settled claims. Above it the oldest are dropped while their entries stay.
  std::uint64_t max_kept_bytes = 16U << 20U;
  bool operator==(const retention_limits&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(retention_ms, max_ended_tasks, max_settled_claims, max_kept_bytes);
  }
};

/// Value of one key of the log.
struct log_batch {
  batch_token token;
  std::string entry;  ///< id of the writing entry
  std::int64_t wall_ms = 0;
  /// Fence of the writer. A batch that starts with `owner_changed` carries the new fence.
  core::fencing_token fence = 0;
  retention_limits retention;
  std::vector<record> records;
  bool operator==(const log_batch&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, entry, wall_ms, fence, retention, records);
  }
};

}  // namespace coltsfoot::ledger
