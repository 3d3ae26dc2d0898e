#include "worker_filter.h"

#include <algorithm>

#include "placement/policy.h"

namespace coltsfoot::placement {

worker_filter::worker_filter(const task_spec& task, const placement_view& view, core::mono_time now)
    : task_(task), view_(view), now_(now), tier_(task.tier()) {
  if (view.running != nullptr) rack_counts_ = view.running->CountsByRack(task);
}

filter_result worker_filter::Apply(worker_index worker) const {
  if (const auto reason = ApplyState(worker)) return {.removed_by = reason};
  const core::resources& available = view_.workers->available()[worker];
  if (task_.need.accelerators > 0 && task_.need.accelerators > available.accelerators) {
    return {.removed_by = filter_reason::accelerators};
  }
  // Accelerators are compared above; a hold may make them negative without harm to others.
  if (task_.need.cpu_millis > available.cpu_millis || task_.need.memory_mb > available.memory_mb) {
    return {.removed_by = filter_reason::capacity};
  }
  const bool borrows = tier_ == task_tier::batch && !LeavesHeadroom(worker);
  if (borrows && !MayBorrow(worker)) return {.removed_by = filter_reason::headroom};
  if (task_.max_per_rack > 0 && CountInRack(worker) >= task_.max_per_rack) {
    return {.removed_by = filter_reason::spread};
  }
  return {.borrows = borrows};
}

std::optional<filter_reason> worker_filter::ApplyWithoutCapacity(worker_index worker) const {
  if (const auto reason = ApplyState(worker)) return reason;
  if (task_.max_per_rack > 0 && CountInRack(worker) >= task_.max_per_rack) {
    return filter_reason::spread;
  }
  return std::nullopt;
}

std::uint32_t worker_filter::CountInRack(worker_index worker) const {
  const membership::name_id rack = view_.workers->rack()[worker];
  return rack < rack_counts_.size() ? rack_counts_[rack] : 0;
}

std::optional<filter_reason> worker_filter::ApplyState(worker_index worker) const {
  if (!view_.workers->IsDispatchable(worker, now_)) {
    return view_.workers->State(worker, now_) == membership::worker_state::draining
               ? filter_reason::draining
               : filter_reason::dead;
  }
  const blame::quarantine_state state = QuarantineStateOf(view_, worker);
  const bool may_probe = state == blame::quarantine_state::probe_due && tier_ == task_tier::batch;
  if (state != blame::quarantine_state::trusted && !may_probe) {
    return filter_reason::quarantined;
  }
  const auto& failed_on = task_.failed_on;
  if (std::find(failed_on.begin(), failed_on.end(), worker) != failed_on.end()) {
    return filter_reason::failed_there;
  }
  return std::nullopt;
}

bool worker_filter::LeavesHeadroom(worker_index worker) const {
  const core::resources& available = view_.workers->available()[worker];
  const core::resources& total = view_.workers->total()[worker];
  const std::int64_t percent = view_.headroom_percent;
  return (available.cpu_millis - task_.need.cpu_millis) * 100 >= total.cpu_millis * percent &&
         (available.memory_mb - task_.need.memory_mb) * 100 >= total.memory_mb * percent;
}

bool worker_filter::MayBorrow(worker_index worker) const {
  if (!view_.borrow_headroom) return false;
  return worker >= view_.no_borrowing.size() || view_.no_borrowing[worker] == 0;
}

std::optional<filter_reason> FilterWorker(const task_spec& task, const placement_view& view,
                                          worker_index worker, bool may_borrow,
                                          core::mono_time now) {
  const filter_result result = worker_filter(task, view, now).Apply(worker);
  if (!result.removed_by && result.borrows && !may_borrow) return filter_reason::headroom;
  return result.removed_by;
}

}  // namespace coltsfoot::placement
