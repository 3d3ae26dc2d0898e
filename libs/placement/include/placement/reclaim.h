#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "placement/preemption.h"
#include "placement/running_table.h"
#include "placement/service_slowdown.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Rules of headroom reclaim.
struct reclaim_options {
  /// Reclaim starts when the latency-critical load exceeds this percentage of the headroom, and
  /// ends when it has been below `low_percent` for `cooldown`.
  std::uint32_t high_percent = 100;
  std::uint32_t low_percent = 70;
  core::nanoseconds cooldown = std::chrono::seconds{10};
  /// The load must exceed the limit for this long, so that a single slow request does not throttle
  /// tasks.
  core::nanoseconds activation_delay = std::chrono::milliseconds{200};
  /// If the load is still too high this long after throttling, tasks are evicted, one per
  /// `evict_interval`.
  core::nanoseconds evict_after = std::chrono::seconds{3};
  core::nanoseconds evict_interval = std::chrono::seconds{2};
  /// As in `preemption_options`. Throttled tasks are unthrottled after `cooldown` when the capacity
  /// that they freed is available again.
  std::uint32_t throttle_frees_percent = 0;
  /// Batch tasks beside a service whose slowdown has exceeded `placement_view::tolerated_slowdown`
  /// for this long are throttled, one per `slowdown_throttle_interval`. They are unthrottled when
  /// the slowdown has been below half of the tolerated excess for `cooldown`.
  core::nanoseconds slowdown_activation_delay = std::chrono::milliseconds{500};
  core::nanoseconds slowdown_throttle_interval = std::chrono::milliseconds{500};
};

/// Change that reclaim makes to one task.
struct reclaim_action {
  enum class kind : std::uint8_t { throttle, unthrottle, evict };
  std::string task;
  worker_index worker = kNoWorker;
  kind action = kind::throttle;
  bool operator==(const reclaim_action&) const = default;
};

/// @return the latency-critical load of a worker as a percentage of its slots: requests that run or
/// wait, from all entries as last reported and from this entry since.
double LatencyCriticalLoadPercent(const membership::worker_table& workers, worker_index worker);

/// Reclaims headroom that batch tasks borrowed from latency-critical work: throttles batch tasks on
/// a worker whose latency-critical load exceeds the headroom, then evicts them, and unthrottles
/// them after the load has fallen. Batch tasks that have borrowed nothing are throttled, but never
/// evicted, while a service beside them is slower than its baseline.
class headroom_reclaim {
 public:
  explicit headroom_reclaim(reclaim_options options = {}) : options_(options) {}

  /// Examines up to `kMaxWorkersPerTick` workers, in round-robin order across calls. Workers that
  /// run no batch tasks and have no active reclaim only have their service baselines updated.
  /// @param running receives the new states of tasks that are throttled, unthrottled or evicted.
  /// @param budget is charged for evictions.
  std::vector<reclaim_action> Tick(const placement_view& view, running_table& running,
                                   eviction_budget& budget, core::mono_time now);
  /// Per worker index: nonzero while reclaim is active; see `placement_view::no_borrowing`.
  std::span<const std::uint8_t> active() const noexcept { return active_; }
  /// Clears the state of a worker whose index is reused.
  void ResetWorker(worker_index worker);

  /// At 50 ticks per second, this examines each of 990 workers at least twice a second.
  static constexpr std::uint32_t kMaxWorkersPerTick = 64;

 private:
  struct worker_row {
    core::mono_time above_since{};
    core::mono_time below_since{};
    core::mono_time activated_at{};
    core::mono_time evicted_at{};
    core::mono_time slow_since{};
    core::mono_time fast_since{};
    core::mono_time slowdown_throttled_at{};
    bool above = false;
    bool below = false;
    bool slow = false;
    bool fast = false;
  };
  void UpdateReclaim(worker_index worker, const placement_view& view, running_table& running,
                     eviction_budget& budget, core::mono_time now,
                     std::vector<reclaim_action>& actions);
  void ProtectService(worker_index worker, const placement_view& view, running_table& running,
                      core::mono_time now, std::vector<reclaim_action>& actions);
  void Throttle(worker_index worker, std::int64_t borrowed, running_table& running,
                core::mono_time now, std::vector<reclaim_action>& actions);
  void Unthrottle(worker_index worker, std::int64_t free_cpu, running_table& running,
                  core::mono_time now, std::vector<reclaim_action>& actions) const;
  bool EvictOne(worker_index worker, running_table& running, eviction_budget& budget,
                core::mono_time now, std::vector<reclaim_action>& actions);

  reclaim_options options_;
  service_slowdown slowdowns_;
  std::vector<worker_row> rows_;
  std::vector<std::uint8_t> active_;
  worker_index next_worker_ = 0;
};

}  // namespace coltsfoot::placement
