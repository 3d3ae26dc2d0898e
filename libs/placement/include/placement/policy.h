#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include "core/random_source.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Worker chosen for a task.
struct placement_choice {
  worker_index worker = kNoWorker;
  double score = 0;
  bool borrows_headroom = false;  ///< the task uses headroom reserved for latency-critical work
  bool is_probe = false;          ///< the worker is `probe_due`; report the probe to the quarantine
  bool operator==(const placement_choice&) const = default;
};

/// Chooses workers for tasks. All policies apply the same filters; they differ in how they choose
/// among the workers that pass.
class placement_policy {
 public:
  virtual ~placement_policy() = default;

  /// Chooses a worker for `task`. Does not change the tables.
  /// @param explain if not null, receives counts over all workers; the call then always scans the
  /// whole table.
  /// @return the choice, or nothing if no worker passes the filters.
  virtual std::optional<placement_choice> Choose(const task_spec& task, const placement_view& view,
                                                 core::mono_time now, core::random_source& random,
                                                 placement_explanation* explain) = 0;
};

/// Kinds of placement and routing policies, as in the setting `placement.policy`.
enum class policy_kind : std::uint8_t { weighted, random, round_robin, least_loaded };

/// @return the kind named `name`, or nothing.
std::optional<policy_kind> ParsePolicyKind(std::string_view name) noexcept;

/// Options of the weighted policy; the other policies ignore them.
struct policy_options {
  goal_weights weights;
  /// A scan ends after this many workers have passed the filters without borrowing headroom, which
  /// bounds the cost on large fleets. It starts at a random row.
  std::uint32_t max_scored = 128;
};

/// @return a policy of the given kind.
std::unique_ptr<placement_policy> MakePlacementPolicy(policy_kind kind,
                                                      const policy_options& options = {});

/// Applies the filters to one worker.
/// @param may_borrow whether a batch task may use the headroom for latency-critical work.
/// @return the first filter that rejects the worker, or nothing if the task fits.
std::optional<filter_reason> FilterWorker(const task_spec& task, const placement_view& view,
                                          worker_index worker, bool may_borrow,
                                          core::mono_time now);

}  // namespace coltsfoot::placement
