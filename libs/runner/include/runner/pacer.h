#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"

namespace coltsfoot::runner {

/// Settings of the pacer.
struct pacer_options {
  /// Tail latency, as a share of its goal in percent, above which filling tasks are slowed down.
  std::uint32_t slow_at_percent = 85;
  /// Share below which they get some of their processors back.
  std::uint32_t restore_below_percent = 60;
  /// Step by which they get them back, in percent points.
  std::uint32_t restore_step = 20;
  /// Time between two steps back, longer than the readings' window.
  core::milliseconds restore_period{1500};
  bool operator==(const pacer_options&) const = default;
};

/// A change of pace to order.
struct pace_change {
  jobs::run_id run;
  std::uint32_t percent = 100;
  bool operator==(const pace_change&) const = default;
};

/// Slows filling tasks down while a serving task beside them misses its goal: at once and far, back
/// in steps.
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
  /// @return the pace of filling tasks at this target, in percent.
  std::uint32_t percent() const noexcept { return percent_; }

 private:
  void Adjust(const std::vector<jobs::running_task>& listed,
              const std::map<jobs::run_id, jobs::task_facts>& facts, core::mono_time now);

  pacer_options options_;
  std::uint32_t percent_ = 100;
  core::mono_time changed_at_;
  std::map<jobs::run_id, std::uint32_t> confirmed_;
};

}  // namespace coltsfoot::runner
