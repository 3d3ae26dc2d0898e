#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/result_code.h"

namespace coltsfoot::blame {

/// Parameters of the decisions on failed tasks.
struct task_failure_options {
  /// A task that failed on this many different healthy workers ends with result code
  /// `failed_everywhere`.
  std::uint32_t max_worker_failures = 3;
};

/// Decision on a task that failed or cannot be placed.
struct task_decision {
  bool ends = false;  ///< the task ends with `code`; otherwise it is retried
  core::result_code code = core::result_code::ok;
  bool operator==(const task_decision&) const = default;
};

/// Tracks the workers on which each task failed and decides when a task has failed permanently. The
/// state is in memory only and exists only for tasks that failed at least once.
class task_failures {
 public:
  explicit task_failures(task_failure_options options = {}) : options_(options) {}
  void SetOptions(const task_failure_options& options) { options_ = options; }

  /// Records a failure of `task` on `worker`. Repeated failures on the same worker count once.
  /// @param fleet_size number of dispatchable workers. If it is less than `max_worker_failures`,
  /// the task ends after it has failed on this many workers.
  task_decision OnFailed(std::string_view task, std::uint32_t worker, std::size_t fleet_size);
  /// Removes a failure whose worker has been quarantined, see
  /// `quarantine_change::retracted`.
  /// @return true if a failure was removed.
  bool RetractFailure(std::string_view task, std::uint32_t worker);
  /// Decides on a task that currently fits on no worker.
  /// @param workers number of known workers.
  /// @param big_enough number of known workers whose total capacity is sufficient for the task.
  /// @return `never_fits` if workers are known and none is big enough.
  static task_decision CheckFit(std::size_t workers, std::size_t big_enough) noexcept;
  /// Discards the state of a task that has ended.
  void OnEnded(std::string_view task);
  /// Removes `worker` from all tasks, because its index is reused.
  void ResetWorker(std::uint32_t worker);
  /// @return workers on which the task failed, which placement excludes. Valid until the next
  /// change.
  std::span<const std::uint32_t> FailedOn(std::string_view task) const;

 private:
  task_failure_options options_;
  std::unordered_map<std::string, std::vector<std::uint32_t>> failed_on_;
};

}  // namespace coltsfoot::blame
