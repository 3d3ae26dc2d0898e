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

/// @return the worker's uncommitted processors, in thousandths.
std::int64_t FreeCpu(const worker_row& worker);

/// @return the processors, in thousandths, that no task is expected to use; negative if filling
/// tasks demand more than there are.
std::int64_t IdleCpu(const worker_row& worker, const planner_options& options);

/// Share of its headroom that the most affected serving task of a worker loses to filling tasks.
struct pressure_share {
  double now = 0;      ///< of the headroom at the current load
  double at_peak = 0;  ///< of the headroom at the highest recent load
};

/// State that is shared by all steps of one plan: the workers that accept tasks, the headroom that
/// filling tasks take from serving ones, and the kinds of tasks that were found not to fit. Caching
/// these keeps the cost of a plan independent of the length of the queue.
class plan_pass {
 public:
  plan_pass(worker_table& workers, const headroom_model& model, core::mono_time now,
            const planner_options& options);

  /// @return the workers of a service that accept tasks and are not isolated.
  const std::vector<worker_row*>& WorkersOf(const std::string& service) const;
  /// @return the isolated workers of a service that accept tasks.
  const std::vector<worker_row*>& IsolatedWorkersOf(const std::string& service) const;
  /// @return true if a worker in an evacuated zone belongs to the service and has the label.
  /// @param label empty: none is needed.
  bool HasEvacuated(std::string_view service, std::string_view label) const;
  /// @return true if less than `free_fleet_permille` of the service's processors is committed.
  bool IsMostlyFree(const std::string& service);
  /// @return the shares with one additional filling task of this step.
  pressure_share PressureWith(const worker_row& worker, const step_spec& step);
  /// @return true if a filling task of this step would find enough idle processors, or if the
  /// worker has no filling tasks. Without this limit filling tasks only slow each other; a few late
  /// jobs are better than all jobs late.
  bool HasIdleProcessors(const worker_row& worker, const step_spec& step) const;
  /// @param relaxed also accepts a worker whose headroom suffices only at the current load.
  /// @return true if serving tasks still meet their goals with a filling task of this step.
  bool KeepsGoals(const worker_row& worker, const step_spec& step, bool relaxed);
  /// Drops the cached groups of a worker to which a task was added.
  void InvalidateGroups(const worker_row& worker) { groups_.erase(&worker); }

  /// @return true if a step of the same kind that needs no more than this one was found not to fit
  /// on any worker.
  bool IsFull(const job_row& job, const step_spec& step, bool relaxed) const;
  /// Records that no worker has room for a task of this step.
  void RecordFull(const job_row& job, const step_spec& step, bool relaxed);

 private:
  /// Headroom above the goal that a group of serving tasks can spare, on any worker.
  struct group_budget {
    std::uint32_t image = 0;  ///< index of the image
    double now = 0;           ///< at the current load
    double at_peak = 0;       ///< at the highest recent load
  };
  /// Serving tasks of one group on a worker.
  struct serving_group {
    const group_budget* budget = nullptr;
    double taken = 0;  ///< headroom that filling tasks take
  };
  /// Properties other than the needed resources that decide whether a task fits.
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
  /// @return the index of the image in this pass; adds the image if it is new.
  std::uint32_t ImageIndex(std::string_view image);

  const headroom_model& model_;
  const planner_options& options_;
  core::mono_time now_;
  std::map<std::string, std::vector<worker_row*>> by_service_;
  std::map<std::string, std::vector<worker_row*>> isolated_by_service_;
  std::vector<const worker_row*> evacuated_;
  std::unordered_map<const worker_row*, std::vector<serving_group>> groups_;
  std::unordered_map<std::string_view, group_budget> budgets_;  ///< by group
  std::unordered_map<std::string_view, std::uint32_t> image_indices_;
  std::vector<std::string_view> images_;        ///< by index
  std::vector<std::vector<double>> pressures_;  ///< by victim and image; negative: not cached yet
  std::map<step_kind, core::resources> full_;
  std::map<std::string, bool> mostly_free_;  ///< by service
};

}  // namespace coltsfoot::jobs
