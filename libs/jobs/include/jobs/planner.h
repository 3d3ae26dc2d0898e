#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "jobs/headroom_model.h"
#include "jobs/job_table.h"
#include "jobs/worker_table.h"

/// Places waiting tasks on workers and decides which running tasks move. Works on in-memory tables
/// only; uses neither the network nor the wall clock.
///
/// Serving tasks are long-running tasks, usually with a latency goal. Filling tasks are
/// best-effort: they reserve no processors and use those that other tasks leave idle.
namespace coltsfoot::jobs {

/// Settings of the planner.
struct planner_options {
  /// Share of a worker's processors, in thousandths, that is reserved for queues of priority 0, so
  /// that short urgent tasks find room while batch tasks occupy the fleet.
  std::int64_t urgent_headroom_permille = 40;
  /// Maximum number of starts in one plan, so that a burst of wide jobs does not block the control
  /// thread.
  std::size_t max_starts = 200;
  /// Age at completion, as a multiple of the objective, beyond which a job is of no use to its
  /// caller.
  double worthless_factor = 3.0;
  /// Share of their processors, in thousandths, that serving tasks use on average. Filling tasks
  /// may use the rest.
  std::int64_t serving_use_permille = 500;
  /// Time without a running task after which one filling task of a job is placed even if no
  /// processors are idle, so that a steady load does not starve late jobs.
  core::milliseconds starved_after{6000};
  /// `starved_after` while less than `free_fleet_permille` of the service's processors is
  /// committed. A job need not wait there for latency goals, which agents protect by pacing.
  core::milliseconds starved_after_on_free_fleet{1500};
  /// Committed share of the service's processors, in thousandths, below which it is mostly free.
  std::int64_t free_fleet_permille = 600;
  /// Share of a serving task's headroom at its peak load that filling tasks on its worker may take.
  double max_pressure = 1.0;
  /// Age at which a job's filling tasks may use headroom that is available only at the current
  /// load; agents slow them when the load rises.
  core::milliseconds relaxed_after{1500};
  /// Share of the headroom at the current load that they may take after `relaxed_after`.
  double max_present_pressure = 0.6;
  /// Pace of a filling task, in percent, below which it counts as slowed.
  std::uint32_t min_pace = 50;
  /// Time for which a filling task has to be slowed before it is moved to idle processors.
  core::milliseconds move_slowed_after{1000};
  /// Time without progress after which a task counts as stuck.
  core::milliseconds stuck_after{2500};
  bool operator==(const planner_options&) const = default;
};

/// A task to start.
struct planned_start {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::string agent;
  bool operator==(const planned_start&) const = default;
};

/// Why no worker was found for a step: the last condition, in the order of the enumerators, that
/// was checked on any worker.
enum class wait_reason : std::uint8_t {
  no_worker,   ///< no worker accepts tasks of the service and has the label
  evacuated,   ///< only workers in evacuated zones accept them and have the label
  room,        ///< not enough free processors, memory or accelerators
  spread,      ///< workers with room are at the step's limit of tasks per worker
  processors,  ///< filling tasks: no idle processors
  goals,       ///< filling tasks: serving tasks would miss their goals
  isolation,   ///< suspects of crashes: no isolated worker is free
};

/// @return the reason's name in logs and metrics.
const char* ToString(wait_reason reason) noexcept;

/// Outcome of planning.
struct start_plan {
  std::vector<planned_start> starts;
  std::map<wait_reason, std::uint64_t> waits;  ///< number of kinds of steps without a worker
  std::uint64_t workers_examined = 0;          ///< summed over tasks; measures the plan's cost
  bool operator==(const start_plan&) const = default;
};

/// Scheduling order of a job's tasks among those of other jobs; the smallest rank comes first.
struct job_rank {
  std::uint32_t priority = 0;
  bool long_running = false;   ///< tasks that end are placed before tasks that do not
  std::uint32_t lateness = 0;  ///< 0: can meet its objective, 1: late but useful, 2: too late
  std::int64_t work_ms = 0;    ///< estimated remaining processor time
  auto operator<=>(const job_rank&) const = default;
};

/// @return the rank of `job` at time `now`.
job_rank RankJob(const job_row& job, core::mono_time now, const planner_options& options);

/// @return true if the worker accepts new tasks of this service.
bool TakesTasks(const worker_row& worker, std::string_view service, core::mono_time now);

/// @return true if a further task of the step has room on the worker now, and the worker has the
/// step's label and is below its limit of tasks per worker.
bool HasRoomFor(const worker_row& worker, const job_row& job, std::uint32_t step);

/// @return the name of the group of a step's tasks; tasks of one group have the same load.
std::string GroupOf(std::string_view job, std::uint32_t step);

/// @return the capacity that a task of this step reserves on a worker.
core::resources Reserved(const step_spec& step);

/// Plans starts for all released tasks that have no copy, in order of rank.
/// @param workers modified: planned starts are added to the committed resources.
start_plan Plan(const job_table& jobs, worker_table& workers, const headroom_model& model,
                core::mono_time now, const planner_options& options);

/// Why a running task is stopped to be restarted on another worker.
enum class move_reason : std::uint8_t {
  slowed,  ///< its agent slows it to protect serving tasks on the worker
  stuck,   ///< it reports no progress
};

/// @return the reason's name in logs and metrics.
const char* ToString(move_reason reason) noexcept;

/// A run to stop so that its task restarts on another worker.
struct planned_move {
  run_id run;
  std::string agent;
  move_reason reason = move_reason::slowed;
  bool operator==(const planned_move&) const = default;
};

/// Plans moves of filling tasks that are slowed while processors on other workers are idle, and of
/// tasks without progress.
/// @param workers committed resources have to include the starts of `Plan`.
std::vector<planned_move> PlanMoves(const job_table& jobs, worker_table& workers,
                                    const headroom_model& model, core::mono_time now,
                                    const planner_options& options);

/// Snapshot of the fleet, for logs.
struct fleet_summary {
  std::uint32_t usable = 0;       ///< workers that accept tasks
  std::uint32_t quarantined = 0;  ///< workers that get no tasks because tasks failed there
  std::uint32_t slowed = 0;       ///< workers with slowed filling tasks
  std::uint32_t evacuated = 0;    ///< workers in evacuated zones
  std::int64_t cpu_millis = 0;
  std::int64_t committed_millis = 0;
  std::int64_t filling_millis = 0;
  std::uint32_t open_jobs = 0;
  std::uint32_t waiting_tasks = 0;    ///< released tasks that are not filling tasks
  std::uint32_t waiting_filling = 0;  ///< released filling tasks
  std::uint32_t running = 0;          ///< running copies of tasks
  bool operator==(const fleet_summary&) const = default;
};

/// @return a snapshot of the fleet.
fleet_summary Summarize(const job_table& jobs, const worker_table& workers, core::mono_time now);

}  // namespace coltsfoot::jobs
