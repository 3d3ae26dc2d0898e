#include "runner/pacer.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::runner {
namespace {

using facts_by_run = std::map<jobs::run_id, jobs::task_facts>;

const jobs::task_facts* FindFacts(const facts_by_run& facts, const jobs::running_task& task) {
  const auto known = facts.find({task.task, task.run});
  return known == facts.end() ? nullptr : &known->second;
}

}  // namespace

pacer::worst_task pacer::Learn(const std::vector<jobs::running_task>& listed,
                               const facts_by_run& facts, core::mono_time now) {
  std::map<std::string, std::uint32_t> present;
  std::vector<jobs::filling_use> beside;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || !known->fills) continue;
    const auto paced = percent_.find(known->image);
    present.emplace(known->image, paced == percent_.end() ? 100 : paced->second);
    const auto use = std::find_if(beside.begin(), beside.end(),
                                  [&](const auto& each) { return each.image == known->image; });
    jobs::filling_use& row =
        use == beside.end() ? beside.emplace_back(jobs::filling_use{known->image, 0}) : *use;
    row.cores += task.reading / 1000.0;
  }
  percent_ = std::move(present);
  worst_task worst;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || known->goal_ms == 0) continue;
    const std::uint32_t percent = 100 * task.reading / known->goal_ms;
    risk_.Observe(known->image, percent / 100.0, beside, now);
    if (percent > worst.percent) worst = {percent, known->image};
  }
  return worst;
}

void pacer::Adjust(const worst_task& worst, core::mono_time now) {
  const bool settled = now - changed_at_ >= options_.step_period;
  if (worst.percent >= options_.miss_at_percent) {
    if (!missing_since_) missing_since_ = now;
    if (!settled || now - *missing_since_ < options_.slow_after) return;
    Slow(worst.image);
    changed_at_ = now;
    return;
  }
  missing_since_.reset();
  if (worst.percent >= options_.restore_below_percent || !settled) return;
  Restore();
  changed_at_ = now;
}

void pacer::Slow(const std::string& victim) {
  double highest = 0;
  for (const auto& [image, percent] : percent_) {
    if (percent > 0) highest = std::max(highest, risk_.Risk(victim, image));
  }
  for (auto& [image, percent] : percent_) {
    if (risk_.Risk(victim, image) >= options_.suspect_share * highest) percent = 0;
  }
}

void pacer::Restore() {
  for (auto& [image, percent] : percent_) {
    percent = std::min<std::uint32_t>(100, percent + options_.restore_step);
  }
}

std::vector<pace_change> pacer::Update(const std::vector<jobs::running_task>& listed,
                                       const facts_by_run& facts, core::mono_time now) {
  Adjust(Learn(listed, facts, now), now);
  std::map<jobs::run_id, std::uint32_t> kept;
  std::vector<pace_change> changes;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || !known->fills) continue;
    const jobs::run_id run{task.task, task.run};
    const std::uint32_t present = PaceOf(run);
    kept.emplace(run, present);
    const std::uint32_t wanted = percent_.at(known->image);
    if (present != wanted) changes.push_back({run, wanted});
  }
  confirmed_ = std::move(kept);
  return changes;
}

std::uint32_t pacer::PaceOf(const jobs::run_id& run) const {
  const auto confirmed = confirmed_.find(run);
  return confirmed == confirmed_.end() ? 100 : confirmed->second;
}

void pacer::Confirm(const pace_change& change) {
  confirmed_.insert_or_assign(change.run, change.percent);
}

void pacer::Clear() {
  risk_.Clear();
  percent_.clear();
  missing_since_.reset();
  confirmed_.clear();
}

}  // namespace coltsfoot::runner
