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
  /// Reclaim starts when the latency-critical load is above this percentage of its share, and ends
  /// when it has been below `low_percent` for `cooldown`.
  std::uint32_t high_percent = 100;
  std::uint32_t low_percent = 70;
  core::nanoseconds cooldown = std::chrono::seconds{10};
  /// Load above the limit must last this long, so that one slow request throttles nothing.
  core::nanoseconds activation_delay = std::chrono::milliseconds{200};
  /// Throttling that has not helped for this long is followed by evictions, one per interval.
  core::nanoseconds evict_after = std::chrono::seconds{3};
  core::nanoseconds evict_interval = std::chrono::seconds{2};
  /// As in `preemption_options`: tasks that preemption throttled are unthrottled after `cooldown`
  /// when what they gave up is free again.
  std::uint32_t throttle_frees_percent = 0;
  /// Batch beside a service that is slower than `placement_view::tolerated_slowdown` for this long
  /// is throttled, one task per interval, until the service has lost half of its slowness for
  /// `cooldown`.
  core::nanoseconds slowdown_activation_delay = std::chrono::milliseconds{500};
  core::nanoseconds slowdown_throttle_interval = std::chrono::milliseconds{500};
};

/// Change that reclaim orders for one task.
struct reclaim_action {
  enum class kind : std::uint8_t { throttle, unthrottle, evict };
  std::string task;
  worker_index worker = kNoWorker;
  kind action = kind::throttle;
  bool operator==(const reclaim_action&) const = default;
};

/// @return the latency-critical load of a worker in percent of its slots: requests that run or
/// wait, by all entries as last reported.
double LatencyCriticalLoadPercent(const membership::worker_table& workers, worker_index worker);

/// Gives capacity that batch borrowed back to latency-critical work: throttles batch tasks on a
/// worker whose latency-critical load exceeds its share, then evicts them, and lifts the throttle
/// after the load has fallen. Batch that has borrowed nothing is throttled, and never evicted,
/// while the services beside it are slower than usual.
class headroom_reclaim {
 public:
  explicit headroom_reclaim(reclaim_options options = {}) : options_(options) {}

  /// Examines workers that run batch tasks, at most `kMaxWorkersPerTick` per call in turn.
  /// @param running states of throttled and evicted tasks are changed here.
  /// @param budget evictions are taken from it.
  std::vector<reclaim_action> Tick(const placement_view& view, running_table& running,
                                   eviction_budget& budget, core::mono_time now);
  /// Column by worker index, nonzero while reclaim is active; see `placement_view::no_borrowing`.
  std::span<const std::uint8_t> active() const noexcept { return active_; }
  /// Forgets a worker whose index is reused.
  void ResetWorker(worker_index worker);

  /// A fleet of 990 workers is examined twice a second at 50 ticks per second.
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
