#pragma once

#include <optional>
#include <span>

#include "placement/running_table.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Result of the filters for one worker.
struct filter_result {
  std::optional<filter_reason> rejected_by;
  bool borrows = false;  ///< fits only if it borrows headroom
};

/// Filters for one task. What does not depend on the worker is computed once.
class worker_filter {
 public:
  worker_filter(const task_spec& task, const placement_view& view, core::mono_time now);

  /// Applies all filters. A worker on which the task fits only with headroom passes if the headroom
  /// may be borrowed.
  filter_result Apply(worker_index worker) const;
  /// Applies all filters except those on free capacity.
  std::optional<filter_reason> ApplyWithoutCapacity(worker_index worker) const;
  /// @return the number of tasks of the same team and class in the rack of the worker.
  std::uint32_t CountInRack(worker_index worker) const;

 private:
  std::optional<filter_reason> ApplyState(worker_index worker) const;
  bool LeavesHeadroom(worker_index worker) const;
  bool MayBorrow(worker_index worker) const;

  const task_spec& task_;
  const placement_view& view_;
  core::mono_time now_;
  task_tier tier_;
  std::span<const std::uint32_t> rack_counts_;
};

/// @return the quarantine state of a worker; workers beyond the end of the column are trusted.
inline blame::quarantine_state QuarantineStateOf(const placement_view& view, worker_index worker) {
  return worker < view.quarantine_states.size() ? view.quarantine_states[worker]
                                                : blame::quarantine_state::trusted;
}

}  // namespace coltsfoot::placement
