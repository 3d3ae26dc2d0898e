#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"
#include "jobs/pair_risk.h"

namespace coltsfoot::runner {

/// Settings of the pacer.
struct pacer_options {
  /// Tail latency, as a share of its goal in percent, that counts as a miss.
  std::uint32_t miss_at_percent = 100;
  /// Share below which filling tasks get processors back.
  std::uint32_t restore_below_percent = 90;
  /// Time of misses after which filling tasks are slowed. Readings cover half a second, and a short
  /// peak of the serving task's own load is none of theirs.
  core::milliseconds slow_after{400};
  /// Time between two further changes, longer than the readings' window.
  core::milliseconds step_period{700};
  /// Step by which filling tasks get their processors back, in percent points.
  std::uint32_t restore_step = 35;
  /// Images with at least this share of the highest risk beside a missed goal are slowed first.
  double suspect_share = 0.6;
  bool operator==(const pacer_options&) const = default;
};

/// A change of pace to order.
struct pace_change {
  jobs::run_id run;
  std::uint32_t percent = 100;
  bool operator==(const pace_change&) const = default;
};

/// Stops filling tasks while a serving task beside them misses its goal: first those of the images
/// that are suspect, then all. Gives their processors back in steps.
class pacer {
 public:
  explicit pacer(pacer_options options) : options_(options) {}

  /// @param listed what the target runs; @param facts of these runs, as far as known.
  /// @return the changes to order now.
  std::vector<pace_change> Update(const std::vector<jobs::running_task>& listed,
                                  const std::map<jobs::run_id, jobs::task_facts>& facts,
                                  core::mono_time now);
  /// Records that a change was carried out.
  void Confirm(const pace_change& change);
  /// Forgets all runs, for another life of the target.
  void Clear();
  /// @return the pace of a run, in percent.
  std::uint32_t PaceOf(const jobs::run_id& run) const;

 private:
  /// The serving task that is furthest over its goal.
  struct worst_task {
    std::uint32_t percent = 0;
    std::string image;
  };

  worst_task Learn(const std::vector<jobs::running_task>& listed,
                   const std::map<jobs::run_id, jobs::task_facts>& facts, core::mono_time now);
  void Adjust(const worst_task& worst, core::mono_time now);
  void Slow(const std::string& victim);
  void Restore();

  pacer_options options_;
  jobs::pair_risk risk_;
  std::map<std::string, std::uint32_t> percent_;  ///< by image; only those that run here
  core::mono_time changed_at_;
  std::optional<core::mono_time> missing_since_;
  std::map<jobs::run_id, std::uint32_t> confirmed_;
};

}  // namespace coltsfoot::runner
