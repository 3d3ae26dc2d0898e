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

/// Decides which waiting tasks start where. Plain code over tables: no network, no wall clock.
namespace coltsfoot::jobs {

/// Settings of the planner.
struct planner_options {
  /// Share of a worker's processors, in thousandths, that only queues of priority 0 may use. Keeps
  /// room for short urgent tasks while batch fills the fleet.
  std::int64_t urgent_headroom_permille = 40;
  /// Most new starts of one plan, so that a burst of wide jobs does not hold the control thread.
  std::size_t max_starts = 200;
  /// Lateness, as a multiple of the objective, after which a job earns its caller nothing.
  double worthless_factor = 3.0;
  /// Share of their processors, in thousandths, that long-running tasks use on average. Filling
  /// tasks get the rest.
  std::int64_t serving_use_permille = 500;
  /// Time with nothing running after which a job gets one filling task placed, idle processors or
  /// not, so that a steady load does not shut late jobs out.
  core::milliseconds starved_after{6000};
  /// The same while less than `free_fleet_permille` of the service's processors is committed: there
  /// a job must not stand still for the sake of goals that agents protect by pacing.
  core::milliseconds starved_after_on_free_fleet{1500};
  std::int64_t free_fleet_permille = 600;
  /// Share of a serving task's headroom at its highest load that filling tasks beside it may take.
  double max_pressure = 1.0;
  /// Age at which a job's filling tasks may take headroom that only the present load leaves; agents
  /// slow them when the load rises.
  core::milliseconds relaxed_after{1500};
  /// Share of the headroom at the present load that they may take then.
  double max_present_pressure = 0.6;
  /// Pace of a filling task, in percent, below which it counts as slowed down.
  std::uint32_t min_pace = 50;
  /// Time for which filling tasks are slowed down before they are moved to idle processors.
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

/// Why a step found no worker: the last of the conditions that some worker met.
enum class wait_reason : std::uint8_t {
  no_worker,   ///< none takes tasks of its service, with its label
  room,        ///< processors or memory are committed
  spread,      ///< workers with room hold as many tasks of the step as they may
  processors,  ///< filling: serving and filling tasks use all processors
  goals,       ///< filling: serving tasks would miss their goals
};

/// @return the reason's name in logs and metrics.
const char* ToString(wait_reason reason) noexcept;

/// Outcome of planning.
struct start_plan {
  std::vector<planned_start> starts;
  std::map<wait_reason, std::uint64_t> waits;  ///< kinds of steps that found no worker
  std::uint64_t considered = 0;                ///< workers that were rated; what a plan costs
  bool operator==(const start_plan&) const = default;
};

/// Order of a job's tasks among those of other jobs; smaller comes first.
struct job_rank {
  std::uint32_t priority = 0;
  bool long_running = false;   ///< tasks that do not leave again wait for those that do
  std::uint32_t lateness = 0;  ///< 0: can meet its objective, 1: late but of use, 2: too late
  std::int64_t work_ms = 0;    ///< estimated processor time that is left
  auto operator<=>(const job_rank&) const = default;
};

/// @return the rank of `job` at time `now`.
job_rank RankJob(const job_row& job, core::mono_time now, const planner_options& options);

/// @return true if the worker takes new tasks of this service.
bool TakesTasks(const worker_row& worker, std::string_view service, core::mono_time now);

/// @return the name under which the load of a step's tasks is known.
std::string GroupOf(std::string_view job, std::uint32_t step);

/// What a task of this step takes of a worker's capacity.
core::resources Reserved(const step_spec& step);

/// Plans starts for all released tasks without a copy, best rank first.
/// @param workers is changed: planned starts are added to what is committed.
start_plan Plan(const job_table& jobs, worker_table& workers, const headroom_model& model,
                core::mono_time now, const planner_options& options);

/// Why a running task is stopped to start again elsewhere.
enum class move_reason : std::uint8_t {
  slowed,  ///< serving tasks beside it leave it no processors
  stuck,   ///< it makes no progress
};

/// @return the reason's name in logs and metrics.
const char* ToString(move_reason reason) noexcept;

/// A run to stop, so that its task starts again on another worker.
struct planned_move {
  run_id run;
  std::string agent;
  move_reason reason = move_reason::slowed;
  bool operator==(const planned_move&) const = default;
};

/// Plans moves of filling tasks that are slowed down while processors elsewhere are idle, and of
/// tasks that stand still.
/// @param workers with what is committed after `Plan`.
std::vector<planned_move> PlanMoves(const job_table& jobs, worker_table& workers,
                                    const headroom_model& model, core::mono_time now,
                                    const planner_options& options);

/// State of the fleet at one moment, for logs.
struct fleet_summary {
  std::uint32_t usable = 0;       ///< workers that take tasks
  std::uint32_t quarantined = 0;  ///< workers that get none because tasks failed there
  std::uint32_t slowed = 0;       ///< workers whose filling tasks are slowed down
  std::int64_t cpu_millis = 0;
  std::int64_t committed_millis = 0;
  std::int64_t filling_millis = 0;
  std::uint32_t open_jobs = 0;
  std::uint32_t waiting_tasks = 0;    ///< released, not filling
  std::uint32_t waiting_filling = 0;  ///< released, filling
  std::uint32_t running = 0;          ///< copies
  bool operator==(const fleet_summary&) const = default;
};

/// @return the state of the fleet.
fleet_summary Summarize(const job_table& jobs, const worker_table& workers, core::mono_time now);

}  // namespace coltsfoot::jobs
