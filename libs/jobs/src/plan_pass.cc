#include "plan_pass.h"

#include <algorithm>

namespace coltsfoot::jobs {
namespace {

// Lower limit of a group's budget: a group that misses its goal without filling tasks has no
// headroom to spare. Keeps the divisor of shares positive.
constexpr double kMinBudget = 0.1;
// Lower limit of the budget at peak load: estimates from a saturated queue are too low, and agents
// slow filling tasks that take too much.
constexpr double kMinPeakBudget = 0.35;
// Share of a filling task's processors, in tenths, that has to be idle.
constexpr std::int64_t kMinIdleTenths = 8;

const std::vector<worker_row*>& Find(
    const std::map<std::string, std::vector<worker_row*>>& by_service, const std::string& service) {
  static const std::vector<worker_row*> none;
  const auto place = by_service.find(service);
  return place == by_service.end() ? none : place->second;
}

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
    if (worker.evacuated && worker.state == target_state::ready) evacuated_.push_back(&worker);
    if (!TakesTasks(worker, worker.service, now)) continue;
    (worker.isolated ? isolated_by_service_ : by_service_)[worker.service].push_back(&worker);
  }
}

const std::vector<worker_row*>& plan_pass::WorkersOf(const std::string& service) const {
  return Find(by_service_, service);
}

const std::vector<worker_row*>& plan_pass::IsolatedWorkersOf(const std::string& service) const {
  return Find(isolated_by_service_, service);
}

bool plan_pass::HasEvacuated(std::string_view service, std::string_view label) const {
  return std::any_of(evacuated_.begin(), evacuated_.end(), [&](const worker_row* worker) {
    return worker->service == service && (label.empty() || worker->HasLabel(label));
  });
}

bool plan_pass::IsMostlyFree(const std::string& service) {
  const auto [place, added] = mostly_free_.try_emplace(service, false);
  if (!added) return place->second;
  std::int64_t capacity = 0;
  std::int64_t committed = 0;
  for (const worker_row* worker : WorkersOf(service)) {
    capacity += worker->capacity.cpu_millis;
    committed += worker->committed.cpu_millis;
  }
  place->second = 1000 * committed < capacity * options_.free_fleet_permille;
  return place->second;
}

pressure_share plan_pass::PressureWith(const worker_row& worker, const step_spec& step) {
  pressure_share share;
  const std::vector<serving_group>& groups = GroupsAt(worker);
  if (groups.empty()) return share;
  const double cores = static_cast<double>(step.need.cpu_millis) / 1000.0;
  const std::uint32_t image = ImageIndex(step.image);
  for (const serving_group& group : groups) {
    const double taken = group.taken + MeanPressure(group.budget->image, image) * cores;
    share.now = std::max(share.now, taken / group.budget->now);
    share.at_peak = std::max(share.at_peak, taken / group.budget->at_peak);
  }
  return share;
}

bool plan_pass::HasIdleProcessors(const worker_row& worker, const step_spec& step) const {
  return worker.filling_cpu == 0 ||
         10 * IdleCpu(worker, options_) >= kMinIdleTenths * step.need.cpu_millis;
}

bool plan_pass::KeepsGoals(const worker_row& worker, const step_spec& step, bool relaxed) {
  const pressure_share share = PressureWith(worker, step);
  return share.at_peak <= options_.max_pressure ||
         (relaxed && share.now <= options_.max_present_pressure);
}

const std::vector<plan_pass::serving_group>& plan_pass::GroupsAt(const worker_row& worker) {
  const auto [place, added] = groups_.try_emplace(&worker);
  std::vector<serving_group>& groups = place->second;
  if (!added) return groups;
  groups.reserve(worker.serving_groups.size());
  for (const auto& [name, image] : worker.serving_groups) {
    groups.push_back({&BudgetOf(name, image)});
  }
  if (groups.empty()) return groups;
  for (const auto& [name, cores] : worker.filling_cores) {
    const std::uint32_t image = ImageIndex(name);
    for (serving_group& group : groups) {
      group.taken += MeanPressure(group.budget->image, image) * cores;
    }
  }
  return groups;
}

const plan_pass::group_budget& plan_pass::BudgetOf(const std::string& group,
                                                   const std::string& image) {
  const auto [place, added] = budgets_.try_emplace(group);
  if (!added) return place->second;
  const double present = std::min(model_.MeanBase(group), model_.BaseAt(group, now_));
  place->second = {.image = ImageIndex(image),
                   .now = std::max(kMinBudget, present - 1.0),
                   .at_peak = std::max(kMinPeakBudget, model_.RecentMinBase(group) - 1.0)};
  return place->second;
}

std::uint32_t plan_pass::ImageIndex(std::string_view image) {
  const auto [place, added] =
      image_indices_.try_emplace(image, static_cast<std::uint32_t>(images_.size()));
  if (added) images_.push_back(image);
  return place->second;
}

double plan_pass::MeanPressure(std::uint32_t victim, std::uint32_t image) {
  if (victim >= pressures_.size()) pressures_.resize(victim + 1);
  std::vector<double>& row = pressures_[victim];
  if (image >= row.size()) row.resize(image + 1, -1.0);
  if (row[image] < 0) {
    row[image] = model_.PressureOf(std::string(images_[victim]), std::string(images_[image])).mean;
  }
  return row[image];
}

plan_pass::step_kind plan_pass::KindOf(const job_row& job, const step_spec& step, bool relaxed) {
  return {.service = job.queue.service,
          .label = step.label,
          .filling_image = step.fills ? step.image : std::string(),
          .fills = step.fills,
          .long_running = step.long_running,
          .urgent = job.queue.priority == 0,
          .relaxed = relaxed};
}

bool plan_pass::IsFull(const job_row& job, const step_spec& step, bool relaxed) const {
  const auto place = full_.find(KindOf(job, step, relaxed));
  return place != full_.end() && place->second.FitsIn(step.need);
}

void plan_pass::RecordFull(const job_row& job, const step_spec& step, bool relaxed) {
  full_.insert_or_assign(KindOf(job, step, relaxed), step.need);
}

}  // namespace coltsfoot::jobs
