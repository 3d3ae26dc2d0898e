#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/headroom_model.h"
#include "jobs/messages.h"

namespace coltsfoot::runner {

/// Settings of the pacer.
struct pacer_options {
  /// Minimum headroom (goal / tail latency) that is left to serving tasks.
  double min_headroom = 1.12;
  /// Time ahead for which headroom is predicted: half the window of a reading, the time until the
  /// next reading, and the delay until a change of pace takes effect.
  core::milliseconds horizon{600};
  /// Number of standard deviations that are added to an estimated pressure.
  double caution = 0.5;
  /// Headroom that filling tasks may always take; it is below the error of the prediction.
  double min_budget = 0.22;
  /// Maximum increase of a pace per update, in percentage points.
  std::uint32_t rise_step = 35;
  /// A lower pace becomes 0 and a smaller increase is skipped, to save commands; in percentage
  /// points.
  std::uint32_t min_change = 10;
  /// Time with missed goals after which all filling tasks are paused regardless of the model.
  core::milliseconds stop_after{1200};
  bool operator==(const pacer_options&) const = default;
};

/// Pace to set at the target.
struct pace_change {
  jobs::run_id run;
  std::uint32_t percent = 100;
  bool operator==(const pace_change&) const = default;
};

/// Slows filling tasks so that the serving tasks of the target meet their goals. Images that take
/// the most headroom per processor are slowed first. Paces follow the predicted headroom instead of
/// missed goals, because the load of a service may swing within seconds.
class pacer {
 public:
  explicit pacer(pacer_options options) : options_(options) {}

  /// Learns from the latest readings and computes new paces.
  /// @param listed runs of the target.
  /// @param facts properties of these runs, as far as known.
  /// @return the changes to send.
  std::vector<pace_change> Update(const std::vector<jobs::running_task>& listed,
                                  const std::map<jobs::run_id, jobs::task_facts>& facts,
                                  core::mono_time now);
  /// Sets pressures that the coordinator estimated from all workers.
  void Adopt(const std::vector<jobs::pair_pressure>& pressures);
  /// Records that the target has applied a change.
  void Confirm(const pace_change& change);
  /// Resets all state, for a new incarnation of the target.
  void Clear();
  /// @return the confirmed pace of a run, in percent.
  std::uint32_t PaceOf(const jobs::run_id& run) const;

 private:
  /// Filling tasks of one image.
  struct filling_image {
    double used = 0;    ///< processors in use at the last reading
    double wanted = 0;  ///< processors at full pace
    double share = 1;   ///< planned share of full pace
  };
  using image_map = std::map<std::string, filling_image>;

  image_map GatherFilling(const std::vector<jobs::running_task>& listed,
                          const std::map<jobs::run_id, jobs::task_facts>& facts) const;
  /// Updates the model with the readings of serving tasks and sets the shares of filling images.
  /// @return true if a serving task missed its goal.
  bool PlanShares(const std::vector<jobs::running_task>& listed,
                  const std::map<jobs::run_id, jobs::task_facts>& facts, image_map& filling,
                  core::mono_time now);
  /// Lowers shares, those of the most harmful images first, until filling tasks take no more than
  /// `budget` of the headroom of `victim`.
  void ReduceToBudget(const std::string& victim, double budget, image_map& filling) const;
  std::uint32_t NextPace(const std::string& image, double share) const;

  pacer_options options_;
  jobs::headroom_model model_;
  std::map<std::string, std::uint32_t>
      planned_pace_;  ///< by image; only images that run at the target
  std::optional<core::mono_time> goal_missed_since_;
  std::map<jobs::run_id, std::uint32_t> confirmed_pace_;
};

}  // namespace coltsfoot::runner
