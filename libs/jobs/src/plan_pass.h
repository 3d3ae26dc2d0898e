#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/headroom_model.h"
#include "jobs/planner.h"

namespace coltsfoot::jobs {

/// @return processors of the worker that are not committed, in thousandths.
std::int64_t FreeCpu(const worker_row& worker);

/// @return the processors that neither filling nor other tasks are expected to use.
std::int64_t IdleCpu(const worker_row& worker, const planner_options& options);

/// What filling tasks take of the headroom of the serving task that suffers most, as a share.
struct pressure_share {
  double now = 0;      ///< of its headroom at its present load
  double at_peak = 0;  ///< of its headroom at its highest load of late
};

/// What all steps of one plan share: the workers that take tasks, what filling tasks take from
/// serving ones, and what was found to have no room, so that a long queue costs no more than a
/// short one.
class plan_pass {
 public:
  plan_pass(worker_table& workers, const headroom_model& model, core::mono_time now,
            const planner_options& options);

  /// @return the workers of a service that take tasks.
  const std::vector<worker_row*>& WorkersOf(const std::string& service) const;
  /// @return true if little of the service's processors is committed.
  bool IsMostlyFree(const std::string& service);
  /// @return the shares with one more filling task of this step.
  pressure_share PressureWith(const worker_row& worker, const step_spec& step);
  /// @return true if a filling task of this step would get processors. Beyond the idle processors
  /// filling tasks only slow each other down; a few late jobs are better than all jobs late.
  bool HasIdleProcessors(const worker_row& worker, const step_spec& step) const;
  /// @param relaxed the present load decides, not the highest one.
  /// @return true if serving tasks keep their goals beside a filling task of this step.
  bool KeepsGoals(const worker_row& worker, const step_spec& step, bool relaxed);
  /// Notes that a task was added to a worker.
  void Forget(const worker_row& worker) { groups_.erase(&worker); }

  /// @return true if a step that asks for no more was found to have no room.
  bool IsFull(const job_row& job, const step_spec& step, bool relaxed) const;
  void NoteFull(const job_row& job, const step_spec& step, bool relaxed);

 private:
  /// What one group of serving tasks can give, wherever its tasks run.
  struct group_budget {
    std::uint32_t image = 0;
    double now = 0;  ///< headroom above the goal
    double at_peak = 0;
  };
  /// Serving tasks of one group at a worker.
  struct serving_group {
    const group_budget* budget = nullptr;
    double taken = 0;  ///< headroom that filling tasks take
  };
  /// What decides besides the need whether a task fits.
  struct step_kind {
    std::string service;
    std::string label;
    std::string filling_image;
    bool fills = false;
    bool long_running = false;
    bool urgent = false;
    bool relaxed = false;
    auto operator<=>(const step_kind&) const = default;
  };

  static step_kind KindOf(const job_row& job, const step_spec& step, bool relaxed);
  const std::vector<serving_group>& GroupsAt(const worker_row& worker);
  const group_budget& BudgetOf(const std::string& group, const std::string& image);
  double MeanPressure(std::uint32_t victim, std::uint32_t image);
  /// @return the number under which the image is known in this pass.
  std::uint32_t NumberOf(std::string_view image);

  const headroom_model& model_;
  const planner_options& options_;
  core::mono_time now_;
  std::map<std::string, std::vector<worker_row*>> by_service_;
  std::unordered_map<const worker_row*, std::vector<serving_group>> groups_;
  std::unordered_map<std::string_view, group_budget> budgets_;  ///< by group
  std::unordered_map<std::string_view, std::uint32_t> numbers_;
  std::vector<std::string_view> images_;        ///< by number
  std::vector<std::vector<double>> pressures_;  ///< by victim and image; negative: not read yet
  std::map<step_kind, core::resources> full_;
  std::map<std::string, bool> mostly_free_;  ///< by service
};

}  // namespace coltsfoot::jobs
