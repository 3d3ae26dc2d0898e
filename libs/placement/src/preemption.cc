#include "placement/preemption.h"

#include <algorithm>
#include <limits>

#include "core/ids.h"
#include "worker_filter.h"

namespace coltsfoot::placement {

namespace {

/// Work that each eviction wastes besides the lost work itself: checkpoint, transfer and restart.
constexpr double kCpuSecondsPerEviction = 2;
/// Prime by which the first worker of a plan moves each millisecond.
constexpr std::uint64_t kTurnStride = 104'729;
/// An eviction that was ordered longer ago than this no longer counts as capacity to come.
constexpr core::nanoseconds kEvictionTrusted = std::chrono::seconds{5};

/// @return the row with which the plan of a task starts. It differs between tasks and between
/// attempts, so that all workers get their turn.
std::size_t FirstRow(const task_spec& task, std::size_t rows, core::mono_time now) {
  const auto turn = static_cast<std::uint64_t>(core::ToMs(now.time_since_epoch()));
  return (core::StableHash(task.task) + turn * kTurnStride) % rows;
}

/// @return how many of `count` parts of `whole` are needed for `missing`, at least.
std::uint32_t PartsFor(std::int64_t missing, std::int64_t whole, std::uint32_t count) {
  if (missing <= 0 || whole <= 0) return 0;
  return static_cast<std::uint32_t>((missing * count + whole - 1) / whole);
}

/// @return estimated evictions that free `missing`.
std::uint32_t EstimateEvictions(const core::resources& missing, const core::resources& evictable,
                                std::uint32_t tasks) {
  return std::max({1U, PartsFor(missing.cpu_millis, evictable.cpu_millis, tasks),
                   PartsFor(missing.memory_mb, evictable.memory_mb, tasks),
                   PartsFor(missing.accelerators, evictable.accelerators, tasks)});
}

/// Running task that may be a victim.
struct candidate {
  const running_task* task = nullptr;
  double wasted_cpu_seconds = 0;
};

/// Search for the cheapest plan of one task.
class plan_search {
 public:
  plan_search(const task_spec& task, core::nanoseconds waited, double budget,
              const placement_view& view, const preemption_options& options, core::mono_time now)
      : task_(task),
        view_(view),
        options_(options),
        now_(now),
        filter_(task, view, now),
        override_(task.urgent && waited >= options.urgent_override),
        max_evictions_(budget) {}

  std::optional<preemption_plan> Run();

 private:
  std::optional<preemption_plan> PlanFor(worker_index worker) const;
  core::resources Coming(worker_index worker) const;
  std::vector<candidate> Candidates(worker_index worker) const;
  bool IsProtected(const running_task& task) const;
  std::optional<preemption_plan> ThrottleOnly(worker_index worker, const core::resources& missing,
                                              const std::vector<candidate>& candidates) const;
  static std::vector<candidate> Select(std::vector<candidate> candidates,
                                       const core::resources& missing);

  const task_spec& task_;
  const placement_view& view_;
  const preemption_options& options_;
  core::mono_time now_;
  worker_filter filter_;
  bool override_;
  double max_evictions_;
};

std::optional<preemption_plan> plan_search::Run() {
  const std::size_t rows = view_.workers->size();
  std::optional<preemption_plan> best;
  if (rows == 0) return best;
  std::uint32_t compared = 0;
  const std::size_t start = FirstRow(task_, rows, now_);
  const std::size_t examined = std::min<std::size_t>(rows, options_.max_examined);
  for (std::size_t i = 0; i < examined && compared < options_.max_candidates; ++i) {
    const auto worker = static_cast<worker_index>((start + i) % rows);
    if (!task_.need.FitsIn(view_.workers->total()[worker])) continue;
    if (filter_.ApplyWithoutCapacity(worker)) continue;
    if (QuarantineStateOf(view_, worker) != blame::quarantine_state::trusted) continue;
    auto plan = PlanFor(worker);
    if (!plan) continue;
    ++compared;
    if (!best || plan->wasted_cpu_seconds < best->wasted_cpu_seconds) best = std::move(plan);
  }
  return best;
}

std::optional<preemption_plan> plan_search::PlanFor(worker_index worker) const {
  const core::resources missing = task_.need - view_.workers->available()[worker] - Coming(worker);
  if (missing.cpu_millis <= 0 && missing.memory_mb <= 0 && missing.accelerators <= 0) {
    return preemption_plan{.worker = worker};
  }
  const std::vector<candidate> candidates = Candidates(worker);
  if (candidates.empty()) return std::nullopt;
  if (auto throttle = ThrottleOnly(worker, missing, candidates)) return throttle;
  const std::vector<candidate> chosen = Select(candidates, missing);
  if (chosen.empty() || chosen.size() > options_.max_victims) return std::nullopt;
  if (static_cast<double>(chosen.size()) > max_evictions_) return std::nullopt;
  preemption_plan plan{.worker = worker,
                       .evictions = static_cast<std::uint32_t>(chosen.size()),
                       .overrides_protection = override_};
  for (const candidate& row : chosen) {
    plan.victims.push_back({row.task->spec.task, worker, preemption_step::evict});
    plan.wasted_cpu_seconds += row.wasted_cpu_seconds + kCpuSecondsPerEviction;
  }
  return plan;
}

core::resources plan_search::Coming(worker_index worker) const {
  core::resources coming;
  for (const std::uint32_t row : view_.running->OnWorker(worker)) {
    const running_task& task = view_.running->at(row);
    const bool ending =
        task.state == running_state::evicting || task.state == running_state::stopping;
    if (ending && now_ - task.issued_at < kEvictionTrusted) coming += task.spec.need;
  }
  return coming;
}

std::vector<candidate> plan_search::Candidates(worker_index worker) const {
  std::vector<candidate> candidates;
  if (view_.running->BatchCpu(worker) <= 0) return candidates;
  for (const std::uint32_t row : view_.running->OnWorker(worker)) {
    const running_task& task = view_.running->at(row);
    if (task.spec.tier() != task_tier::batch) continue;
    // A command for a task that is still `assigned` could overtake its start.
    if (task.state != running_state::running && task.state != running_state::throttled) continue;
    if (!override_ && IsProtected(task)) continue;
    const double seconds = std::chrono::duration<double>(now_ - task.saved_at).count();
    candidates.push_back(
        {&task, seconds * static_cast<double>(task.spec.need.cpu_millis) / 1000.0});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& left, const candidate& right) {
              return left.wasted_cpu_seconds < right.wasted_cpu_seconds;
            });
  return candidates;
}

bool plan_search::IsProtected(const running_task& task) const {
  const core::nanoseconds protection =
      task.spec.evictions > 0 ? options_.protect_evicted : options_.protect_started;
  return now_ - task.assigned_at < protection;
}

std::optional<preemption_plan> plan_search::ThrottleOnly(
    worker_index worker, const core::resources& missing,
    const std::vector<candidate>& candidates) const {
  if (options_.throttle_frees_percent == 0) return std::nullopt;
  if (missing.memory_mb > 0 || missing.accelerators > 0) return std::nullopt;
  preemption_plan plan{.worker = worker, .overrides_protection = override_};
  std::int64_t freed = 0;
  for (const candidate& row : candidates) {
    if (freed >= missing.cpu_millis) break;
    if (row.task->state == running_state::throttled) continue;
    freed += row.task->spec.need.cpu_millis * options_.throttle_frees_percent / 100;
    plan.victims.push_back({row.task->spec.task, worker, preemption_step::throttle});
  }
  if (freed < missing.cpu_millis) return std::nullopt;
  return plan;
}

// Takes candidates from the cheapest on until enough is freed, then gives back the most expensive
// ones that turn out not to be needed.
std::vector<candidate> plan_search::Select(std::vector<candidate> candidates,
                                           const core::resources& missing) {
  const core::resources wanted{std::max<std::int64_t>(0, missing.cpu_millis),
                               std::max<std::int64_t>(0, missing.memory_mb),
                               std::max<std::int64_t>(0, missing.accelerators)};
  core::resources freed;
  std::vector<candidate> chosen;
  for (const candidate& row : candidates) {
    if (wanted.FitsIn(freed)) break;
    freed += row.task->spec.need;
    chosen.push_back(row);
  }
  if (!wanted.FitsIn(freed)) return {};
  for (std::size_t i = chosen.size(); i-- > 0;) {
    if (!wanted.FitsIn(freed - chosen[i].task->spec.need)) continue;
    freed -= chosen[i].task->spec.need;
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return chosen;
}

}  // namespace

bool eviction_budget::Take(core::mono_time now, bool overdraw) {
  if (Available(now, overdraw) < 1) return false;
  tokens_ = std::max(tokens_ - 1, -per_minute_);
  return true;
}

double eviction_budget::Available(core::mono_time now, bool overdraw) {
  if (refilled_at_ == core::mono_time{}) refilled_at_ = now;
  const double minutes = std::chrono::duration<double, std::ratio<60>>(now - refilled_at_).count();
  tokens_ = std::min(per_minute_, tokens_ + minutes * per_minute_);
  refilled_at_ = now;
  if (overdraw && per_minute_ > 0) return std::numeric_limits<double>::infinity();
  return tokens_;
}

std::optional<preemption_plan> PlanPreemption(const task_spec& task, core::nanoseconds waited,
                                              double budget, const placement_view& view,
                                              const preemption_options& options,
                                              core::mono_time now) {
  if (task.tier() == task_tier::batch || view.running == nullptr) return std::nullopt;
  return plan_search(task, waited, budget, view, options, now).Run();
}

std::optional<room_plan> PlanRoom(const task_spec& task, core::nanoseconds waited, double budget,
                                  const placement_view& view, const preemption_options& options,
                                  core::mono_time now) {
  const std::size_t rows = view.workers->size();
  if (!task.urgent || waited < options.urgent_override || rows == 0) return std::nullopt;
  const worker_filter filter(task, view, now);
  const std::size_t start = FirstRow(task, rows, now);
  const std::size_t examined = std::min<std::size_t>(rows, options.max_examined);
  std::optional<room_plan> best;
  for (std::size_t i = 0; i < examined; ++i) {
    const auto worker = static_cast<worker_index>((start + i) % rows);
    const core::resources& available = view.workers->available()[worker];
    const core::resources& evictable = view.workers->evictable()[worker];
    if (!task.need.FitsIn(view.workers->total()[worker])) continue;
    if (!task.need.FitsIn(available + evictable)) continue;
    if (filter.ApplyWithoutCapacity(worker)) continue;
    if (QuarantineStateOf(view, worker) != blame::quarantine_state::trusted) continue;
    const std::uint32_t evictions = std::min(
        options.max_victims, EstimateEvictions(task.need - available, evictable,
                                               view.workers->identity(worker).running_tasks));
    if (static_cast<double>(evictions) > budget) continue;
    if (!best || evictions < best->evictions) best = room_plan{worker, evictions};
  }
  return best;
}

}  // namespace coltsfoot::placement
