#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/resources.h"

/// Jobs consist of steps with dependencies. Each step has tasks, which run on workers, are retried
/// after failures and may be resumed from checkpoints.
namespace coltsfoot::jobs {

/// Limits of a job, so that a single request cannot exhaust the coordinator's memory or processor.
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 1000;
inline constexpr std::size_t kMaxSpecBytes = 4000;
/// Exceeds the capacity of any worker, yet is small enough that sums over all tasks and workers do
/// not overflow.
inline constexpr std::int64_t kMaxResourceAmount = 1'000'000'000;
/// Maximum `stretch` of a queue, so that objectives fit their type.
inline constexpr double kMaxStretch = 1e6;
/// Highest run number. Larger ones come from damaged data; the next one would not fit its type.
inline constexpr std::uint32_t kMaxRun = 0x7fff'ffff;

/// Identifies a task.
struct task_id {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const task_id&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, occurrence, step, index);
  }
};

/// Requirements and behaviour of the tasks of a step.
struct step_spec {
  std::uint32_t count = 0;
  core::resources need;              ///< of each task
  std::uint32_t estimate_ms = 0;     ///< expected duration of a task
  std::vector<std::uint32_t> after;  ///< indexes of the steps that must complete first
  bool checkpoints = false;          ///< tasks report checkpoints and can resume from them
  bool speculative = false;          ///< copies may run in parallel; the first result is used
  bool long_running = false;         ///< tasks run until the job is cancelled
  bool fills = false;                ///< tasks use only processors that other tasks leave idle
  std::uint32_t max_per_worker = 0;  ///< 0: no limit
  std::uint32_t may_miss = 0;        ///< tasks that the scheduler may interrupt at the same time
  std::uint32_t goal_ms = 0;         ///< objective for a long-running task's tail latency; 0: none
  std::string image;                 ///< program of the tasks; interference is modelled per image
  std::string label;                 ///< label that the worker must have; empty: any
  std::string data_rack;             ///< rack on which the tasks run fastest; empty: any
  bool operator==(const step_spec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, need, estimate_ms, after, checkpoints, speculative, long_running, fills,
            max_per_worker, may_miss, goal_ms, image, label, data_rack);
  }
};

/// A job as its caller submitted it.
struct job_spec {
  std::string payload;  ///< passed to each task
  std::vector<step_spec> steps;
  bool operator==(const job_spec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(payload, steps);
  }
};

enum class job_state : std::uint8_t { queued, active, complete, failed, cancelled };

/// @return true for final states, in which nothing runs any more.
constexpr bool IsEnded(job_state state) noexcept {
  return state == job_state::complete || state == job_state::failed ||
         state == job_state::cancelled;
}

/// How a run of a task ended.
enum class end_reason : std::uint8_t {
  done,
  failed,   ///< an error of the task or the worker; counts as a failed attempt
  stopped,  ///< stopped by a command
  lapsed,   ///< the lease expired
  broken,   ///< another member of the group ended
  alone,    ///< the other members of the group did not start
};

/// @return the state's name in logs and in the HTTP API.
const char* ToString(job_state state) noexcept;
/// @return the reason's name in logs and metrics.
const char* ToString(end_reason reason) noexcept;
/// @return the task as "job.occurrence.step.index", for logs.
std::string ToString(const task_id& task);

}  // namespace coltsfoot::jobs
