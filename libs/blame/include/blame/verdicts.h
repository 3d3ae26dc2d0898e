#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/result_code.h"

namespace coltsfoot::blame {

/// Rules of the verdicts.
struct verdict_options {
  /// A task that failed on this many different healthy workers ends with `failed_everywhere`.
  std::uint32_t max_worker_failures = 3;
};

/// What to do with a task that failed or cannot be placed.
struct verdict {
  bool ends = false;  ///< the task ends with `code`; otherwise it is placed again
  core::result_code code = core::result_code::ok;
  bool operator==(const verdict&) const = default;
};

/// Decides when a task has failed for good. Soft state per task that failed at least once.
class task_verdicts {
 public:
  explicit task_verdicts(verdict_options options = {}) : options_(options) {}
  void SetOptions(const verdict_options& options) { options_ = options; }

  /// Records a failure of `task` on `worker`. A second failure on the same worker does not count.
  /// @param fleet_size dispatchable workers; a fleet smaller than `max_worker_failures` ends the
  /// task once it has failed on all of them.
  verdict OnFailed(std::string_view task, std::uint32_t worker, std::size_t fleet_size);
  /// Takes back a failure whose worker was found bad, see `quarantine_change::refunds`.
  /// @return true if a failure was taken back.
  bool Refund(std::string_view task, std::uint32_t worker);
  /// Judges a task that no worker can take.
  /// @param workers known workers. @param big_enough those whose total capacity holds the task.
  /// @return `never_fits` if workers are known and none is big enough.
  static verdict CheckFit(std::size_t workers, std::size_t big_enough) noexcept;
  /// Forgets a task that ended.
  void OnEnded(std::string_view task);
  /// Removes `worker` from all tasks, because its index is reused.
  void ResetWorker(std::uint32_t worker);
  /// @return workers on which the task failed; placement excludes them. Valid until the next
  /// change.
  std::span<const std::uint32_t> FailedOn(std::string_view task) const;

 private:
  verdict_options options_;
  std::unordered_map<std::string, std::vector<std::uint32_t>> failed_on_;
};

}  // namespace coltsfoot::blame
