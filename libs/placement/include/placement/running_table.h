#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/types.h"

namespace coltsfoot::placement {

/// State of a running task: the latest command that the scheduler issued.
enum class running_state : std::uint8_t {
  assigned,  ///< sent to the worker, not yet confirmed
  running,
  throttled,
  evicting,  ///< checkpoint and stop commanded
  stopping,  ///< stop without a checkpoint commanded
};

/// Task of this entry's shards that is assigned to a worker.
struct running_task {
  task_spec spec;
  worker_index worker = kNoWorker;
  membership::assignment_id assignment = 0;
  running_state state = running_state::assigned;
  core::mono_time assigned_at;
  core::mono_time checkpointed_at;  ///< start or newest checkpoint; a stop loses the work since
  core::mono_time issued_at;        ///< when the command for `state` was issued
  bool borrows_headroom = false;
  bool makes_room = false;  ///< the agent may evict batch tasks for it
  interference::class_id interference_class = interference::kOtherClass;
};

/// Tasks of this entry's shards by worker.
class running_table {
 public:
  /// Adds a task; replaces an older assignment of the same task.
  void Add(running_task task, const membership::worker_table& workers);
  /// Removes a task.
  /// @return the removed row, or nothing if the task is not in the table.
  std::optional<running_task> Remove(std::string_view task);
  /// @return the task, or nullptr. Valid until the next `Add` or `Remove`.
  running_task* Find(std::string_view task) noexcept;
  const running_task* Find(std::string_view task) const noexcept;
  /// @return row numbers of the tasks on a worker, for `at`.
  std::span<const std::uint32_t> OnWorker(worker_index worker) const noexcept;
  const running_task& at(std::uint32_t row) const { return rows_[row]; }
  running_task& at(std::uint32_t row) { return rows_[row]; }
  /// @return the number of tasks.
  std::size_t size() const noexcept { return index_.size(); }
  /// @return processors of the batch tasks on the worker that are not being evicted or stopped, in
  /// thousandths. Zero means that the worker has nothing to evict and can be skipped.
  std::int64_t BatchCpu(worker_index worker) const noexcept;
  /// @return the number of tasks of the same team and class as `spec` by rack (`name_id`); racks
  /// beyond the end have none. Valid until the next `Add` or `Remove`.
  std::span<const std::uint32_t> CountsByRack(const task_spec& spec) const;
  /// Sets the state of a running task and updates the sums per worker.
  void SetState(running_task& task, running_state state, core::mono_time now);

 private:
  /// Tasks of one team and class.
  struct group_row {
    std::vector<std::uint32_t> by_rack;
    std::uint32_t total = 0;
  };
  void AdjustBatchCpu(const running_task& task, std::int64_t sign);

  std::vector<running_task> rows_;
  std::vector<std::uint32_t> free_rows_;
  std::unordered_map<std::string, std::uint32_t> index_;
  std::vector<std::vector<std::uint32_t>> by_worker_;
  std::vector<std::int64_t> batch_cpu_;
  std::vector<membership::name_id> rack_of_row_;
  std::unordered_map<std::string, group_row> groups_;
};

}  // namespace coltsfoot::placement
