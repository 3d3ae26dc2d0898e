#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "blame/quarantine.h"
#include "core/clock.h"
#include "core/resources.h"
#include "interference/model.h"
#include "membership/worker_table.h"

namespace coltsfoot::placement {

using membership::kNoWorker;
using membership::worker_index;

/// Weights of the measures that a fleet cares about; only their ratios matter.
struct goal_weights {
  double tail_latency = 1;
  double throughput = 1;
  double evictions = 1;
  bool operator==(const goal_weights&) const = default;
};

/// Urgency of a queued task, most urgent first.
enum class task_tier : std::uint8_t { urgent = 0, latency_critical = 1, batch = 2 };

/// Number of tiers.
inline constexpr std::size_t kTiers = 3;

/// Task that waits for a worker or runs on one.
struct task_spec {
  std::string task;
  std::string team;
  std::string task_class;
  core::task_kind kind = core::task_kind::batch;
  bool urgent = false;
  core::resources need;           ///< corrected size
  std::uint32_t expected_ms = 0;  ///< corrected run time; 0 if not known
  core::mono_time submitted;      ///< first submission; kept when the task is queued again
  /// Zone that the task prefers, for example that of its data; `membership::kNoName` if any.
  membership::name_id zone = membership::kNoName;
  /// At most this many tasks of the class and team per rack, also those that run; 0: no limit.
  std::uint32_t max_per_rack = 0;
  /// Workers on which the task failed.
  std::vector<worker_index> failed_on;
  std::uint32_t evictions = 0;  ///< how often the task was evicted so far

  /// @return the tier of the task; urgent tasks of both kinds come first.
  task_tier tier() const noexcept {
    if (urgent) return task_tier::urgent;
    return kind == core::task_kind::latency_critical ? task_tier::latency_critical
                                                     : task_tier::batch;
  }
};

/// Why a worker cannot take a task. A worker counts under the first reason that applies, in this
/// order.
enum class filter_reason : std::uint8_t {
  dead,          ///< silent, gone or recovering
  draining,      ///< by the agent or an operator
  quarantined,   ///< or its probe is running
  failed_there,  ///< the task failed on this worker before
  accelerators,  ///< too few are free
  capacity,      ///< too little processor or memory is free
  headroom,      ///< only the share that is kept for latency-critical work is free
  spread,        ///< the rack already has `max_per_rack` of these tasks
};

/// Number of filter reasons.
inline constexpr std::size_t kFilterReasons = 8;

/// @return the name of the reason as used in JSON answers and metrics.
std::string_view ToString(filter_reason reason) noexcept;

/// Worker with its score; higher is better.
struct scored_worker {
  worker_index worker = kNoWorker;
  double score = 0;
  bool operator==(const scored_worker&) const = default;
};

/// Why a task was or was not placed. `examined` covers all workers if none was found.
struct placement_explanation {
  static constexpr std::size_t kBest = 5;

  std::uint32_t examined = 0;
  std::array<std::uint32_t, kFilterReasons> removed{};  ///< by filter_reason
  /// Workers in the table, also those that restart, and those whose total capacity holds the task.
  std::uint32_t known = 0;
  std::uint32_t big_enough = 0;
  std::vector<scored_worker> best;  ///< at most `kBest`, best first

  std::uint32_t removed_by(filter_reason reason) const noexcept {
    return removed[static_cast<std::size_t>(reason)];
  }
};

class running_table;

/// Tables that decisions read. All pointers outlive the call; those that may be null say so.
struct placement_view {
  const membership::worker_table* workers = nullptr;
  const running_table* running = nullptr;             ///< null: no spread limits
  const interference::model* interference = nullptr;  ///< null: no interference is predicted
  /// Quarantine states by worker index; missing ones are trusted.
  std::span<const blame::quarantine_state> quarantine_states;
  std::uint32_t headroom_percent = 0;  ///< of each worker, kept for latency-critical work
  /// Batch may use the headroom of a worker when it fits nowhere else.
  bool borrow_headroom = true;
  /// A service that takes longer than its usual time by more than this factor needs protection.
  double tolerated_slowdown = std::numeric_limits<double>::infinity();
  /// Column by worker index, nonzero where reclaim is active and nothing may be borrowed.
  std::span<const std::uint8_t> no_borrowing;
};

}  // namespace coltsfoot::placement
