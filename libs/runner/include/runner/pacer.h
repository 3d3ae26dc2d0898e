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
  /// Headroom (goal / tail latency) that serving tasks keep.
  double min_headroom = 1.12;
  /// Time ahead for which headroom is planned: half the window of a reading, the time until the
  /// next one, and the time until a change of pace takes effect.
  core::milliseconds horizon{600};
  /// Standard deviations by which an uncertain pressure is taken for higher.
  double caution = 0.5;
  /// Headroom that filling tasks may always take: less than the forecast is wrong by.
  double min_budget = 0.22;
  /// Most percent points by which a pace rises at a time.
  std::uint32_t rise_step = 35;
  /// Paces and rises below this, in percent points, are not worth a command.
  std::uint32_t min_change = 10;
  /// Time of missed goals after which all filling tasks stop, whatever the model says.
  core::milliseconds stop_after{1200};
  bool operator==(const pacer_options&) const = default;
};

/// A change of pace to send to the target.
struct pace_change {
  jobs::run_id run;
  std::uint32_t percent = 100;
  bool operator==(const pace_change&) const = default;
};

/// Slows filling tasks so far that the serving tasks beside them keep their goals. Images that take
/// the most headroom for each processor are slowed first. Answers services whose load swings within
/// seconds: a pace follows the headroom that is expected, not the goal that was missed.
class pacer {
 public:
  explicit pacer(pacer_options options) : options_(options) {}

  /// @param listed what the target runs; @param facts of these runs, as far as known.
  /// @return the changes to send now.
  std::vector<pace_change> Update(const std::vector<jobs::running_task>& listed,
                                  const std::map<jobs::run_id, jobs::task_facts>& facts,
                                  core::mono_time now);
  /// Takes over what the coordinator learned from all workers.
  void Adopt(const std::vector<jobs::pair_pressure>& pressures);
  /// Records that a change was carried out.
  void Confirm(const pace_change& change);
  /// Forgets all runs, for another incarnation of the target.
  void Clear();
  /// @return the pace of a run, in percent.
  std::uint32_t PaceOf(const jobs::run_id& run) const;

 private:
  /// Filling tasks of one image.
  struct filling_image {
    double used = 0;    ///< processors, by the last reading
    double wanted = 0;  ///< processors at full pace
    double share = 1;   ///< of full pace, planned
  };
  using image_map = std::map<std::string, filling_image>;

  image_map GatherFilling(const std::vector<jobs::running_task>& listed,
                          const std::map<jobs::run_id, jobs::task_facts>& facts) const;
  /// Learns from the serving tasks and plans the shares that they leave.
  /// @return true if a serving task missed its goal.
  bool PlanShares(const std::vector<jobs::running_task>& listed,
                  const std::map<jobs::run_id, jobs::task_facts>& facts, image_map& filling,
                  core::mono_time now);
  void Fit(const std::string& victim, double budget, image_map& filling) const;
  std::uint32_t NextPace(const std::string& image, double share) const;

  pacer_options options_;
  jobs::headroom_model model_;
  std::map<std::string, std::uint32_t> percent_;  ///< by image; only those that run here
  std::optional<core::mono_time> missing_since_;
  std::map<jobs::run_id, std::uint32_t> confirmed_;
};

}  // namespace coltsfoot::runner
