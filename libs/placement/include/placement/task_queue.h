#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/result_code.h"
#include "placement/types.h"

namespace coltsfoot::placement {

/// Limits of the queue.
struct queue_options {
  std::size_t limit = 100'000;               ///< maximum number of queued tasks
  std::uint32_t max_attempts_per_pass = 64;  ///< placement attempts per pass, successful or not
  /// Maximum number of blocked attempts per pass. Each scans the whole worker table.
  std::uint32_t max_blocked_per_pass = 16;
  /// A batch task that has waited this long competes with latency-critical tasks.
  core::nanoseconds aging = std::chrono::minutes{2};
  /// Delay until a subqueue whose head could not be placed is retried; doubles up to the maximum.
  core::nanoseconds initial_backoff = std::chrono::milliseconds{20};
  core::nanoseconds max_backoff = std::chrono::milliseconds{500};
  /// A team with this many failed attempts in a tier since its last success is served after all
  /// other teams, including those of lower tiers, for `deferral`. Otherwise one team with many
  /// subqueues that cannot be placed would use up all attempts.
  std::uint32_t failures_before_deferral = 4;
  core::nanoseconds deferral = std::chrono::seconds{1};
};

/// Outcome of one placement attempt.
enum class attempt_outcome : std::uint8_t {
  placed,   ///< the task leaves the queue
  blocked,  ///< no worker has capacity now; the whole subqueue is retried later
  dropped,  ///< the task is given up and leaves the queue
};

/// Places the task that the queue offers.
class task_placer {
 public:
  virtual ~task_placer() = default;
  virtual attempt_outcome TryPlace(const task_spec& task) = 0;
};

/// Statistics of one pass.
struct pass_stats {
  std::uint32_t attempts = 0;
  std::uint32_t placed = 0;
  std::uint32_t over_quota = 0;  ///< subqueues skipped because their team is at its quota
};

/// Queue of tasks that wait for a worker.
///
/// Tasks with the same tier, team and requirements (class, size, constraints) form a subqueue. Only
/// the head of a subqueue is offered; if it cannot be placed, the whole subqueue backs off. The
/// cost of a pass thus does not grow with the number of identical tasks. Tiers are served in order;
/// within a tier the team with the smallest dominant share of the fleet comes first (dominant
/// resource fairness), and within a team the task that was submitted first. A subqueue that was
/// blocked is ordered by the end of its backoff instead.
class task_queue {
 public:
  explicit task_queue(queue_options options = {});

  /// Adds a task.
  /// @return ok; `queue_full` at the limit; `quota_exceeded` if the task alone exceeds the quota of
  /// its team; `conflict` if the task is already queued.
  core::result_code Push(task_spec task);
  /// Adds a task that was accepted before (evicted, refused by a worker, replayed from the log).
  /// No limit applies, since an accepted task must not be lost.
  /// @return false if the task is already queued.
  bool Requeue(task_spec task);
  /// Removes a task, for example because it was cancelled. The cost does not depend on the queue
  /// length.
  /// @return the task, or nothing if it is not queued.
  std::optional<task_spec> Remove(std::string_view task);
  /// @return the queued task, or nullptr. Valid until the next change.
  const task_spec* Find(std::string_view task) const noexcept;
  /// Offers the heads of subqueues to `placer` until all subqueues back off or a limit on attempts
  /// is reached.
  pass_stats RunPass(task_placer& placer, core::mono_time now);

  /// Sets the total capacity from which dominant shares are computed.
  void SetFleetTotal(const core::resources& total);
  /// Sets or clears the processor quota of a team; zero means that the team runs nothing.
  void SetQuota(std::string_view team, std::optional<std::int64_t> cpu_millis);
  /// Counts a task of the team as running. `RunPass` does not do this itself.
  void OnRunning(std::string_view team, const core::resources& need);
  /// Counts a task of the team as no longer running.
  void OnStopped(std::string_view team, const core::resources& need);
  /// @return the resources in use by a team.
  core::resources Usage(std::string_view team) const;
  /// @return the largest share of any resource of the fleet that the team uses, in [0, 1].
  double DominantShare(std::string_view team) const;
  /// @return true if the usage of the team plus `need` stays within its quota.
  bool IsWithinQuota(std::string_view team, const core::resources& need) const;

  /// @return the number of queued tasks.
  std::size_t size() const noexcept { return tasks_.size(); }
  /// @return queued tasks of a tier.
  std::size_t size(task_tier tier) const noexcept;
  /// Lists tasks of `tier` that have waited longer than `age`, grouped by subqueue, oldest subqueue
  /// first.
  /// @param skip returns true for tasks to leave out. The cost grows only with their number and
  /// `limit`.
  /// @return at most `limit` tasks. Valid until the next change.
  std::vector<const task_spec*> WaitingLongerThan(
      task_tier tier, core::nanoseconds age, std::size_t limit, core::mono_time now,
      const std::function<bool(const task_spec&)>& skip) const;

 private:
  using team_index = std::uint32_t;
  using subqueue_index = std::uint32_t;
  struct subqueue {
    std::string key;
    task_tier tier = task_tier::batch;
    team_index team = 0;
    std::list<task_spec> tasks;  ///< by submission
    bool ready = false;          ///< in `ready_subqueues`; otherwise backs off until `retry_at`
    bool aged = false;           ///< served in the latency-critical tier
    core::mono_time retry_at{};
    core::nanoseconds backoff{};
    core::mono_time head_submitted_at{};  ///< submission time of the head; the key in `by_age_`
    /// The key in `ready_subqueues`: `head_submitted_at`, or the last retry time.
    core::mono_time ready_key{};
  };
  /// Failed placements and deferral of a team in one tier.
  struct team_tier_state {
    std::uint32_t failed_placements = 0;  ///< since the last success or deferral
    core::mono_time deferred_at{};        ///< zero if the team is not deferred
  };
  struct team_row {
    std::string name;
    core::resources usage;
    double share = 0;
    std::optional<std::int64_t> cpu_quota_millis;
    std::array<team_tier_state, kTiers> tiers;
    /// Ready subqueues by tier and `ready_key`.
    std::array<std::set<std::pair<core::mono_time, subqueue_index>>, kTiers> ready_subqueues;
  };
  struct task_location {
    subqueue_index subqueue = 0;
    std::list<task_spec>::iterator position;
  };

  team_index FindOrAddTeam(std::string_view name);
  subqueue_index FindOrAddSubqueue(const task_spec& task, team_index team);
  static task_tier EffectiveTier(const subqueue& row) noexcept;
  void AddToIndexes(subqueue_index index);
  void RemoveFromIndexes(subqueue_index index);
  void Activate(subqueue_index index);
  void Deactivate(subqueue_index index);
  void StartBackoff(subqueue_index index, core::mono_time now);
  void EndDueBackoffs(core::mono_time now);
  void EndDeferrals(core::mono_time now);
  void InsertTeam(std::size_t tier, team_index team);
  void EraseTeam(std::size_t tier, team_index team);
  void CountFailedPlacement(subqueue_index index, core::mono_time now);
  void PromoteAged(core::mono_time now);
  void EraseTask(subqueue_index index, std::list<task_spec>::iterator position);
  void ReleaseSubqueue(subqueue_index index);
  void UpdateShare(team_index team);
  std::optional<subqueue_index> NextSubqueue() const;
  static bool FitsQuota(const team_row& team, const core::resources& need) noexcept;

  queue_options options_;
  core::resources fleet_total_;
  std::vector<team_row> teams_;
  std::unordered_map<std::string, team_index> team_ids_;
  std::vector<subqueue> subqueues_;
  std::vector<subqueue_index> free_subqueues_;
  std::unordered_map<std::string, subqueue_index> subqueue_ids_;
  std::unordered_map<std::string, task_location> tasks_;
  /// Teams with ready subqueues by tier and dominant share.
  std::array<std::set<std::pair<double, team_index>>, kTiers> ready_teams_;
  /// Deferred teams with ready subqueues by tier and time of the deferral.
  std::array<std::set<std::pair<core::mono_time, team_index>>, kTiers> deferred_teams_;
  /// All subqueues by tier and submission time of their head.
  std::array<std::set<std::pair<core::mono_time, subqueue_index>>, kTiers> by_age_;
  std::set<std::pair<core::mono_time, subqueue_index>> backing_off_;
  std::array<std::size_t, kTiers> tier_sizes_{};
};

}  // namespace coltsfoot::placement
