#include "runner/pacer.h"

#include <algorithm>

namespace coltsfoot::runner {

void pacer::Adjust(const std::vector<jobs::running_task>& listed,
                   const std::map<jobs::run_id, jobs::task_facts>& facts, core::mono_time now) {
  std::uint32_t worst_percent = 0;
  for (const jobs::running_task& task : listed) {
    const auto known = facts.find({task.task, task.run});
    if (known == facts.end() || known->second.goal_ms == 0) continue;
    worst_percent = std::max(worst_percent, 100 * task.reading / known->second.goal_ms);
  }
  const bool settled = now - changed_at_ >= options_.step_period;
  if (worst_percent >= options_.miss_at_percent) {
    if (!missing_since_) missing_since_ = now;
    if (percent_ == 0 || !settled || now - *missing_since_ < options_.slow_after) return;
    percent_ = percent_ > options_.slowed_percent ? options_.slowed_percent : 0;
    changed_at_ = now;
    return;
  }
  missing_since_.reset();
  if (worst_percent < options_.restore_below_percent && percent_ < 100 && settled) {
    percent_ = std::min<std::uint32_t>(100, percent_ + options_.restore_step);
    changed_at_ = now;
  }
}

std::vector<pace_change> pacer::Update(const std::vector<jobs::running_task>& listed,
                                       const std::map<jobs::run_id, jobs::task_facts>& facts,
                                       core::mono_time now) {
  Adjust(listed, facts, now);
  std::map<jobs::run_id, std::uint32_t> kept;
  std::vector<pace_change> changes;
  for (const jobs::running_task& task : listed) {
    const jobs::run_id run{task.task, task.run};
    const auto known = facts.find(run);
    if (known == facts.end() || !known->second.fills) continue;
    const auto confirmed = confirmed_.find(run);
    const std::uint32_t present = confirmed == confirmed_.end() ? 100 : confirmed->second;
    kept.emplace(run, present);
    if (present != percent_) changes.push_back({run, percent_});
  }
  confirmed_ = std::move(kept);
  return changes;
}

void pacer::Confirm(const pace_change& change) {
  confirmed_.insert_or_assign(change.run, change.percent);
}

void pacer::Clear() {
  percent_ = 100;
  missing_since_.reset();
  confirmed_.clear();
}

}  // namespace coltsfoot::runner
