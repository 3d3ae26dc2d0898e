#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/resources.h"

/// Jobs: steps with dependencies, many tasks a step, attempts and checkpoints.
namespace coltsfoot::jobs {

/// Limits of a job, so that one request can neither fill a coordinator's memory nor its processor.
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerStep = 1000;
inline constexpr std::size_t kMaxSpecBytes = 4000;

/// Name of a task.
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

/// What the tasks of a step need and how they behave.
struct step_spec {
  std::uint32_t count = 0;
  core::resources need;           ///< of each task
  std::uint32_t estimate_ms = 0;  ///< rough duration of a task
  std::vector<std::uint32_t> after;
  bool checkpoints = false;
  bool speculative = false;          ///< copies may run in parallel, the first to finish counts
  bool long_running = false;         ///< tasks run until the job is cancelled
  bool fills = false;                ///< takes only processors that other tasks leave unused
  std::uint32_t max_per_worker = 0;  ///< 0: no limit
  std::uint32_t may_miss = 0;        ///< tasks that the scheduler may interrupt at a time
  std::uint32_t goal_ms = 0;         ///< limit of a long-running task's tail latency; 0: none
  std::string image;                 ///< tasks of one image behave alike
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

/// @return true if a job in this state runs nothing any more.
constexpr bool IsEnded(job_state state) noexcept {
  return state == job_state::complete || state == job_state::failed ||
         state == job_state::cancelled;
}

/// How a run of a task ended.
enum class end_reason : std::uint8_t {
  done,
  failed,   ///< through the fault of the task or of the worker; counts as an attempt
  stopped,  ///< by a command
  lapsed,   ///< the lease ran out
  broken,   ///< another member of the group ended
  alone,    ///< the other members of the group did not start
};

/// @return the state's name in logs and on the product's interface.
const char* ToString(job_state state) noexcept;
/// @return the reason's name in logs and metrics.
const char* ToString(end_reason reason) noexcept;
/// @return "job.occurrence.step.index", for logs.
std::string ToString(const task_id& task);

}  // namespace coltsfoot::jobs
