#include "plan_pass.h"

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

// A group that misses its goal by itself has nothing to give.
constexpr double kLeastBudget = 0.1;
// Lowest headroom above the goal that is believed of a peak: estimates at a saturated queue are
// too low, and agents slow filling tasks that take too much.
constexpr double kLeastPeakBudget = 0.35;

}  // namespace

std::int64_t FreeCpu(const worker_row& worker) {
  return worker.capacity.cpu_millis - worker.committed.cpu_millis;
}

std::int64_t IdleCpu(const worker_row& worker, const planner_options& options) {
  const std::int64_t unused_by_serving =
      worker.serving_cpu * (1000 - options.serving_use_permille) / 1000;
  return FreeCpu(worker) + unused_by_serving - worker.filling_cpu;
}

plan_pass::plan_pass(worker_table& workers, const headroom_model& model, core::mono_time now,
                     const planner_options& options)
    : model_(model), options_(options), now_(now) {
  for (auto& [agent, worker] : workers) {
    if (TakesTasks(worker, worker.service, now)) by_service_[worker.service].push_back(&worker);
  }
}

const std::vector<worker_row*>& plan_pass::WorkersOf(const std::string& service) const {
  static const std::vector<worker_row*> none;
  const auto place = by_service_.find(service);
  return place == by_service_.end() ? none : place->second;
}

pressure_share plan_pass::PressureWith(const worker_row& worker, const step_spec& step) {
  const double cores = static_cast<double>(step.need.cpu_millis) / 1000.0;
  pressure_share share;
  for (const serving_group& group : GroupsAt(worker)) {
    const double taken = group.taken + MeanPressure(*group.image, step.image) * cores;
    share.now = std::max(share.now, taken / group.budget_now);
    share.at_peak = std::max(share.at_peak, taken / group.budget_at_peak);
  }
  return share;
}

bool plan_pass::IsWorthFilling(const worker_row& worker, const step_spec& step, bool relaxed) {
  // Filling tasks beyond the idle processors only slow each other down; a few late jobs are better
  // than all jobs late.
  if (worker.filling_cpu != 0 && 10 * IdleCpu(worker, options_) < 8 * step.need.cpu_millis) {
    return false;
  }
  const pressure_share share = PressureWith(worker, step);
  return share.at_peak <= options_.highest_pressure ||
         (relaxed && share.now <= options_.highest_present_pressure);
}

const std::vector<plan_pass::serving_group>& plan_pass::GroupsAt(const worker_row& worker) {
  const auto [place, added] = groups_.try_emplace(&worker);
  if (!added) return place->second;
  for (const auto& [name, image] : worker.serving_groups) {
    serving_group& group = place->second.emplace_back();
    group.image = &image;
    const double present = std::min(model_.MeanBase(name), model_.BaseAt(name, now_));
    group.budget_now = std::max(kLeastBudget, present - 1.0);
    group.budget_at_peak = std::max(kLeastPeakBudget, model_.LowBase(name) - 1.0);
    for (const auto& [filling, cores] : worker.filling_cores) {
      group.taken += MeanPressure(image, filling) * cores;
    }
  }
  return place->second;
}

double plan_pass::MeanPressure(const std::string& victim, const std::string& image) {
  const auto [place, added] = pressures_[image].try_emplace(victim, 0.0);
  if (added) place->second = model_.PressureOf(victim, image).mean;
  return place->second;
}

plan_pass::step_kind plan_pass::KindOf(const job_row& job, const step_spec& step, bool relaxed) {
  return {.service = job.queue.service,
          .label = step.label,
          .filling_image = step.fills ? step.image : std::string(),
          .fills = step.fills,
          .lasting = step.lasting,
          .urgent = job.queue.priority == 0,
          .relaxed = relaxed};
}

bool plan_pass::IsFull(const job_row& job, const step_spec& step, bool relaxed) const {
  const auto place = full_.find(KindOf(job, step, relaxed));
  return place != full_.end() && place->second.FitsIn(step.need);
}

void plan_pass::NoteFull(const job_row& job, const step_spec& step, bool relaxed) {
  full_.insert_or_assign(KindOf(job, step, relaxed), step.need);
}

}  // namespace coltsfoot::jobs
