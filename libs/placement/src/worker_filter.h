#pragma once

#include <optional>
#include <span>

#include "placement/running_table.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Result of the filters for one worker.
struct filter_result {
  std::optional<filter_reason> removed_by;
  bool borrows = false;  ///< fits only with headroom
};

/// Filters of one task, with all that does not depend on the worker resolved once.
class worker_filter {
 public:
  worker_filter(const task_spec& task, const placement_view& view, core::mono_time now);

  /// Applies all filters; a worker that only fits with headroom passes if it may be borrowed.
  filter_result Apply(worker_index worker) const;
  /// Applies all filters but the ones on free capacity.
  std::optional<filter_reason> ApplyWithoutCapacity(worker_index worker) const;
  /// @return tasks of the same team and class in the rack of the worker.
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

/// @return the quarantine state of a worker; workers beyond the column are trusted.
inline blame::quarantine_state QuarantineStateOf(const placement_view& view, worker_index worker) {
  return worker < view.quarantine_states.size() ? view.quarantine_states[worker]
                                                : blame::quarantine_state::trusted;
}

}  // namespace coltsfoot::placement
