#include "placement/reclaim.h"

#include <algorithm>
#include <optional>

namespace coltsfoot::placement {

namespace {

/// Tasks of a class are not throttled to protect a service if the estimated slowdown of the service
/// by the class and its uncertainty (standard deviation of the logarithm) are both below these
/// limits.
constexpr double kMinHarmfulSlowdown = 1.1;
constexpr double kMaxUncertainty = 0.3;

bool IsBatch(const running_task& task) { return task.spec.tier() == task_tier::batch; }

/// @return processors that batch tasks of this entry have borrowed from the headroom of a worker,
/// in thousandths. Latency-critical tasks that use the headroom borrow nothing, since it is
/// reserved for them. Batch tasks of other entries are not known here; their entries reclaim from
/// them.
std::int64_t BorrowedCpu(const placement_view& view, const running_table& running,
                         worker_index worker) {
  const std::int64_t total = view.workers->total()[worker].cpu_millis;
  const std::int64_t headroom = total * view.headroom_percent / 100;
  return std::min(running.BatchCpu(worker) - (total - headroom),
                  headroom - view.workers->available()[worker].cpu_millis);
}

/// @return batch tasks on the worker in the given state; those that borrow headroom come first,
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
    return left->checkpointed_at > right->checkpointed_at;
  });
  return tasks;
}

/// @return the factor by which tasks of this class slow the service down (1: not at all), or
/// nothing if it is known to be too small for throttling.
std::optional<double> SlowdownBy(const placement_view& view, membership::name_id service,
                                 const running_task& task, core::mono_time now) {
  if (view.interference == nullptr) return 1;
  const interference::class_id victim =
      view.interference->FindClass(view.workers->service_names().Name(service));
  const auto estimate = view.interference->Estimate(victim, task.interference_class, now);
  const bool harmless =
      estimate.slowdown < kMinHarmfulSlowdown && estimate.uncertainty < kMaxUncertainty;
  return harmless ? std::nullopt : std::optional(estimate.slowdown);
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
  for (std::uint32_t i = 0; i < std::min(kMaxWorkersPerTick, workers); ++i) {
    next_worker_ = next_worker_ + 1 < workers ? next_worker_ + 1 : 0;
    if (active_[next_worker_] == 0 && running.BatchCpu(next_worker_) <= 0) {
      slowdowns_.Observe(*view.workers, next_worker_, now);
      continue;
    }
    ProtectService(next_worker_, view, running, now, actions);
    UpdateReclaim(next_worker_, view, running, budget, now, actions);
  }
  return actions;
}

void headroom_reclaim::ResetWorker(worker_index worker) {
  if (worker >= rows_.size()) return;
  rows_[worker] = {};
  active_[worker] = 0;
  slowdowns_.ResetWorker(worker);
}

void headroom_reclaim::UpdateReclaim(worker_index worker, const placement_view& view,
                                     running_table& running, eviction_budget& budget,
                                     core::mono_time now, std::vector<reclaim_action>& actions) {
  worker_row& row = rows_[worker];
  const double share = view.headroom_percent;
  const double load = LatencyCriticalLoadPercent(*view.workers, worker) * 100 / share;
  const bool above = load > options_.high_percent;
  const bool below = load < options_.low_percent;
  if (above && !row.above) row.above_since = now;
  if (below && !row.below) row.below_since = now;
  row.above = above;
  row.below = below;
  const bool may_unthrottle = row.fast && now - row.fast_since >= options_.cooldown;
  const std::int64_t available = view.workers->available()[worker].cpu_millis;
  const std::int64_t borrowed = BorrowedCpu(view, running, worker);
  if (active_[worker] == 0) {
    const bool starts = above && now - row.above_since >= options_.activation_delay;
    if ((!above || borrowed <= 0) && may_unthrottle) {
      Unthrottle(worker, available, running, now, actions);
    }
    if (!starts || borrowed <= 0) return;
    active_[worker] = 1;
    row.activated_at = now;
    Throttle(worker, borrowed, running, now, actions);
    return;
  }
  if (below && now - row.below_since >= options_.cooldown) {
    active_[worker] = 0;
    if (may_unthrottle) Unthrottle(worker, available, running, now, actions);
    return;
  }
  const bool due = now - std::max(row.activated_at + options_.evict_after,
                                  row.evicted_at + options_.evict_interval) >=
                   core::nanoseconds{0};
  if (!above || !due || borrowed <= 0) return;
  if (EvictOne(worker, running, budget, now, actions)) row.evicted_at = now;
}

void headroom_reclaim::ProtectService(worker_index worker, const placement_view& view,
                                      running_table& running, core::mono_time now,
                                      std::vector<reclaim_action>& actions) {
  worker_row& row = rows_[worker];
  const slowed_service slowed = slowdowns_.Observe(*view.workers, worker, now);
  const bool slow = slowed.slowdown > view.tolerated_slowdown;
  const bool fast = slowed.slowdown < (1 + view.tolerated_slowdown) / 2;
  if (slow && !row.slow) row.slow_since = now;
  if (fast && !row.fast) row.fast_since = now;
  row.slow = slow;
  row.fast = fast;
  if (!slow || now - row.slow_since < options_.slowdown_activation_delay) return;
  if (now - row.slowdown_throttled_at < options_.slowdown_throttle_interval) return;
  running_task* most_harmful = nullptr;
  double max_slowdown = 0;
  for (running_task* task : BatchTasks(running, worker, running_state::running)) {
    const auto task_slowdown = SlowdownBy(view, slowed.service, *task, now);
    if (!task_slowdown) continue;
    // Among equals the newest task is chosen, because the service has just become slow.
    const bool newer = most_harmful == nullptr || task->assigned_at > most_harmful->assigned_at;
    if (*task_slowdown < max_slowdown || (*task_slowdown == max_slowdown && !newer)) continue;
    most_harmful = task;
    max_slowdown = *task_slowdown;
  }
  if (most_harmful == nullptr) return;
  row.slowdown_throttled_at = now;
  running.SetState(*most_harmful, running_state::throttled, now);
  actions.push_back({most_harmful->spec.task, worker, reclaim_action::kind::throttle});
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
    if (now - task->issued_at < options_.cooldown || freed > free_cpu) continue;
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
    // Tasks that were placed or unthrottled in the meantime are throttled before any task is
    // evicted.
    Throttle(worker, 1, running, now, actions);
    return true;
  }
  if (!budget.Take(now)) return false;
  running.SetState(*tasks.front(), running_state::evicting, now);
  actions.push_back({tasks.front()->spec.task, worker, reclaim_action::kind::evict});
  return true;
}

}  // namespace coltsfoot::placement
