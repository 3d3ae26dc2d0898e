#include "placement/reclaim.h"

#include <algorithm>

namespace coltsfoot::placement {

namespace {

bool IsBatch(const running_task& task) { return task.spec.tier() == task_tier::batch; }

/// Processors that batch has borrowed from the headroom of a worker, in thousandths.
std::int64_t BorrowedCpu(const placement_view& view, worker_index worker) {
  const std::int64_t headroom =
      view.workers->total()[worker].cpu_millis * view.headroom_percent / 100;
  return headroom - view.workers->available()[worker].cpu_millis;
}

/// @return batch tasks on the worker in the given state; those that borrow come first,
/// then those with the least work since their last checkpoint.
std::vector<running_task*> BatchTasks(running_table& running, worker_index worker,
                                      running_state state) {
  std::vector<running_task*> tasks;
  for (const std::uint32_t row : running.OnWorker(worker)) {
    running_task& task = running.at(row);
    if (IsBatch(task) && task.state == state) tasks.push_back(&task);
  }
  std::sort(tasks.begin(), tasks.end(), [](const running_task* left, const running_task* right) {
    if (left->borrows_headroom != right->borrows_headroom) return left->borrows_headroom;
    return left->saved_at > right->saved_at;
  });
  return tasks;
}

}  // namespace

double LatencyCriticalLoadPercent(const membership::worker_table& workers, worker_index worker) {
  const std::uint32_t slots = workers.slots_total()[worker];
  if (slots == 0) return 0;
  std::uint32_t pending = 0;
  for (const membership::service_row& row : workers.services(worker)) pending += row.pending();
  return 100.0 * pending / slots;
}

std::vector<reclaim_action> headroom_reclaim::Tick(const placement_view& view,
                                                   running_table& running, eviction_budget& budget,
                                                   core::mono_time now) {
  std::vector<reclaim_action> actions;
  const auto workers = static_cast<worker_index>(view.workers->size());
  if (workers == 0 || view.headroom_percent == 0) return actions;
  if (rows_.size() < workers) {
    rows_.resize(workers);
    active_.resize(workers);
  }
  for (std::uint32_t i = 0; i < std::min(kWorkersPerTick, workers); ++i) {
    next_ = next_ + 1 < workers ? next_ + 1 : 0;
    if (active_[next_] == 0 && running.BatchCpu(next_) <= 0) continue;
    Examine(next_, view, running, budget, now, actions);
  }
  return actions;
}

void headroom_reclaim::ResetWorker(worker_index worker) {
  if (worker >= rows_.size()) return;
  rows_[worker] = {};
  active_[worker] = 0;
}

void headroom_reclaim::Examine(worker_index worker, const placement_view& view,
                               running_table& running, eviction_budget& budget, core::mono_time now,
                               std::vector<reclaim_action>& actions) {
  worker_row& row = rows_[worker];
  const double share = view.headroom_percent;
  const double load = LatencyCriticalLoadPercent(*view.workers, worker) * 100 / share;
  const bool above = load > options_.high_percent;
  const bool below = load < options_.low_percent;
  if (above && !row.above) row.above_since = now;
  if (below && !row.below) row.below_since = now;
  row.above = above;
  row.below = below;
  if (active_[worker] == 0) {
    const bool starts = above && now - row.above_since >= options_.onset;
    if (!above) {
      Unthrottle(worker, view.workers->available()[worker].cpu_millis, running, now, actions);
    }
    if (!starts || BorrowedCpu(view, worker) <= 0) return;
    active_[worker] = 1;
    row.started = now;
    Throttle(worker, BorrowedCpu(view, worker), running, now, actions);
    return;
  }
  if (below && now - row.below_since >= options_.calm) {
    active_[worker] = 0;
    Unthrottle(worker, view.workers->available()[worker].cpu_millis, running, now, actions);
    return;
  }
  const bool due = now - std::max(row.started + options_.evict_after,
                                  row.evicted_at + options_.evict_interval) >=
                   core::nanoseconds{0};
  if (!above || !due || BorrowedCpu(view, worker) <= 0) return;
  if (EvictOne(worker, running, budget, now, actions)) row.evicted_at = now;
}

void headroom_reclaim::Throttle(worker_index worker, std::int64_t borrowed, running_table& running,
                                core::mono_time now, std::vector<reclaim_action>& actions) {
  for (running_task* task : BatchTasks(running, worker, running_state::running)) {
    if (borrowed <= 0) return;
    borrowed -= task->spec.need.cpu_millis;
    running.SetState(*task, running_state::throttled, now);
    actions.push_back({task->spec.task, worker, reclaim_action::kind::throttle});
  }
}

void headroom_reclaim::Unthrottle(worker_index worker, std::int64_t free_cpu,
                                  running_table& running, core::mono_time now,
                                  std::vector<reclaim_action>& actions) const {
  for (running_task* task : BatchTasks(running, worker, running_state::throttled)) {
    const std::int64_t freed = task->spec.need.cpu_millis * options_.throttle_frees_percent / 100;
    if (now - task->ordered_at < options_.calm || freed > free_cpu) continue;
    free_cpu -= freed;
    running.SetState(*task, running_state::running, now);
    actions.push_back({task->spec.task, worker, reclaim_action::kind::unthrottle});
  }
}

bool headroom_reclaim::EvictOne(worker_index worker, running_table& running,
                                eviction_budget& budget, core::mono_time now,
                                std::vector<reclaim_action>& actions) {
  const auto tasks = BatchTasks(running, worker, running_state::throttled);
  if (tasks.empty()) {
    // Tasks that were placed or unthrottled meanwhile are throttled before any is evicted.
    Throttle(worker, 1, running, now, actions);
    return true;
  }
  if (!budget.Take(now)) return false;
  running.SetState(*tasks.front(), running_state::evicting, now);
  actions.push_back({tasks.front()->spec.task, worker, reclaim_action::kind::evict});
  return true;
}

}  // namespace coltsfoot::placement
