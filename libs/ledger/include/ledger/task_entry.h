#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/result_code.h"
#include "ledger/records.h"

namespace coltsfoot::ledger {

enum class task_state : std::uint8_t { queued, assigned, ended };

/// One task. The payload, the checkpoint and the size are dropped when the task ends.
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
  bool result_kept = true;            ///< false if the result was dropped to limit memory
  std::uint32_t assignments = 0;      ///< number of times the task was assigned
  std::uint32_t failed_attempts = 0;  ///< number of requeues with `task_requeued::failed`
  std::uint32_t evictions = 0;
  std::vector<std::string> failed_workers;  ///< without duplicates, in the order of first failure
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

}  // namespace coltsfoot::ledger
