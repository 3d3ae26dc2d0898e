#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
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

/// Order of a job's tasks among those of other jobs; smaller comes first.
struct job_rank {
  std::uint32_t priority = 0;
  std::uint32_t lateness = 0;  ///< 0: can meet its objective, 1: late but of use, 2: too late
  std::int64_t key_ms = 0;     ///< time by which its remaining chain has to begin
  auto operator<=>(const job_rank&) const = default;
};

/// @return the rank of `job` at time `now`.
job_rank RankJob(const job_row& job, core::mono_time now, const planner_options& options);

/// @return true if the worker takes new tasks of this service.
bool TakesTasks(const worker_row& worker, std::string_view service, core::mono_time now);

/// What a task of this step takes of a worker's capacity.
core::resources Reserved(const step_spec& step);

/// Plans starts for all released tasks without a copy, best rank first.
/// @param workers is changed: planned starts are added to what is committed.
std::vector<planned_start> Plan(const job_table& jobs, worker_table& workers, core::mono_time now,
                                const planner_options& options);

}  // namespace coltsfoot::jobs
