#include "runner/pacer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "jobs/planner.h"

namespace coltsfoot::runner {
namespace {

using facts_by_run = std::map<jobs::run_id, jobs::task_facts>;

constexpr std::uint32_t kFullPace = 100;
// Progress in percent from which a long-running task serves requests.
constexpr std::uint32_t kServingProgressPercent = 100;

const jobs::task_facts* FindFacts(const facts_by_run& facts, const jobs::running_task& task) {
  const auto known = facts.find({task.task, task.run});
  return known == facts.end() ? nullptr : &known->second;
}

}  // namespace

pacer::image_map pacer::GatherFilling(const std::vector<jobs::running_task>& listed,
                                      const facts_by_run& facts) const {
  image_map filling;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || !known->fills) continue;
    filling_image& image = filling[known->image];
    image.used += task.reading / 1000.0;
    image.wanted += static_cast<double>(known->cpu_millis) / 1000.0;
  }
  return filling;
}

bool pacer::PlanShares(const std::vector<jobs::running_task>& listed, const facts_by_run& facts,
                       image_map& filling, core::mono_time now) {
  std::vector<jobs::filling_use> co_located;
  for (const auto& [image, each] : filling) co_located.push_back({image, each.used});
  std::map<std::string, std::string> groups;
  bool missed = false;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || known->goal_ms == 0 || task.progress < kServingProgressPercent)
      continue;
    const std::string group = jobs::GroupOf(task.task.job, task.task.step);
    model_.Observe({group, known->image, task.reading, known->goal_ms}, co_located, now);
    missed = missed || task.reading > known->goal_ms;
    groups.emplace(group, known->image);
  }
  for (const auto& [group, victim] : groups) {
    // A pace holds until the next update, so the lower of the bases at its start and end counts; a
    // falling load has its lower base at the start.
    const double base =
        std::min(model_.BaseAt(group, now), model_.BaseAt(group, now + options_.horizon));
    ReduceToBudget(victim, base - options_.min_headroom, filling);
  }
  model_.ForgetGroups(now);
  return missed;
}

void pacer::ReduceToBudget(const std::string& victim, double budget, image_map& filling) const {
  struct cost {
    filling_image* image = nullptr;
    double per_core = 0;
  };
  std::vector<cost> costs;
  double taken = 0;
  for (auto& [name, image] : filling) {
    const jobs::pressure known = model_.PressureOf(victim, name);
    const double per_core = known.mean + options_.caution * std::sqrt(known.variance);
    taken += per_core * image.wanted * image.share;
    costs.push_back({&image, per_core});
  }
  std::sort(costs.begin(), costs.end(),
            [](const cost& left, const cost& right) { return left.per_core > right.per_core; });
  for (const cost& each : costs) {
    const double excess = taken - std::max(options_.min_budget, budget);
    if (excess <= 0) return;
    const double full_cost = each.per_core * each.image->wanted;
    if (full_cost <= 0) return;
    const double reduced_share = std::max(0.0, each.image->share - excess / full_cost);
    taken -= (each.image->share - reduced_share) * full_cost;
    each.image->share = reduced_share;
  }
}

std::uint32_t pacer::NextPace(const std::string& image, double share) const {
  const auto place = planned_pace_.find(image);
  const std::uint32_t current = place == planned_pace_.end() ? kFullPace : place->second;
  std::uint32_t wanted = static_cast<std::uint32_t>(share * kFullPace);
  wanted = std::min(wanted, current + options_.rise_step);
  if (wanted < options_.min_change) wanted = 0;
  // Skipping a small increase costs little throughput; a pace that is too high makes a serving task
  // miss its goal.
  const bool small_rise = wanted > current && wanted - current < options_.min_change;
  return small_rise && wanted != kFullPace ? current : wanted;
}

std::vector<pace_change> pacer::Update(const std::vector<jobs::running_task>& listed,
                                       const facts_by_run& facts, core::mono_time now) {
  image_map filling = GatherFilling(listed, facts);
  const bool missed = PlanShares(listed, facts, filling, now);
  if (!missed) {
    goal_missed_since_.reset();
  } else if (!goal_missed_since_) {
    goal_missed_since_ = now;
  }
  const bool stop = goal_missed_since_ && now - *goal_missed_since_ >= options_.stop_after;
  std::map<std::string, std::uint32_t> next;
  for (const auto& [image, each] : filling) {
    next.emplace(image, stop ? 0 : NextPace(image, each.share));
  }
  planned_pace_ = std::move(next);
  std::map<jobs::run_id, std::uint32_t> listed_pace;
  std::vector<pace_change> changes;
  for (const jobs::running_task& task : listed) {
    const jobs::task_facts* known = FindFacts(facts, task);
    if (known == nullptr || !known->fills) continue;
    const jobs::run_id run{task.task, task.run};
    const std::uint32_t current = PaceOf(run);
    listed_pace.emplace(run, current);
    const std::uint32_t wanted = planned_pace_.at(known->image);
    if (current != wanted) changes.push_back({run, wanted});
  }
  confirmed_pace_ = std::move(listed_pace);
  return changes;
}

void pacer::Adopt(const std::vector<jobs::pair_pressure>& pressures) {
  for (const jobs::pair_pressure& each : pressures) {
    model_.Adopt(each.victim, each.image, {each.mean, each.variance});
  }
}

std::uint32_t pacer::PaceOf(const jobs::run_id& run) const {
  const auto confirmed = confirmed_pace_.find(run);
  return confirmed == confirmed_pace_.end() ? kFullPace : confirmed->second;
}

void pacer::Confirm(const pace_change& change) {
  confirmed_pace_.insert_or_assign(change.run, change.percent);
}

void pacer::Clear() {
  model_.Clear();
  planned_pace_.clear();
  goal_missed_since_.reset();
  confirmed_pace_.clear();
}

}  // namespace coltsfoot::runner
