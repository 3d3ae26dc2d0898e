#include "placement/running_table.h"

#include <algorithm>

namespace coltsfoot::placement {

namespace {

std::string GroupKey(const task_spec& spec) { return spec.team + '\n' + spec.task_class; }

bool IsEvictable(const running_task& task) {
  return task.spec.tier() == task_tier::batch && task.state != running_state::evicting &&
         task.state != running_state::stopping;
}

}  // namespace

void running_table::Add(running_task task, const membership::worker_table& workers) {
  Remove(task.spec.task);
  std::uint32_t row = static_cast<std::uint32_t>(rows_.size());
  if (free_rows_.empty()) {
    rows_.emplace_back();
    rack_of_row_.emplace_back();
  } else {
    row = free_rows_.back();
    free_rows_.pop_back();
  }
  if (task.worker >= by_worker_.size()) {
    by_worker_.resize(task.worker + 1);
    batch_cpu_.resize(task.worker + 1);
  }
  const membership::name_id rack = workers.rack()[task.worker];
  group_row& group = groups_[GroupKey(task.spec)];
  if (rack >= group.by_rack.size()) group.by_rack.resize(rack + 1);
  ++group.by_rack[rack];
  ++group.total;
  rack_of_row_[row] = rack;
  by_worker_[task.worker].push_back(row);
  index_[task.spec.task] = row;
  AdjustBatchCpu(task, 1);
  rows_[row] = std::move(task);
}

std::optional<running_task> running_table::Remove(std::string_view task) {
  const auto entry = index_.find(std::string(task));
  if (entry == index_.end()) return std::nullopt;
  const std::uint32_t row = entry->second;
  index_.erase(entry);
  running_task removed = std::move(rows_[row]);
  std::erase(by_worker_[removed.worker], row);
  AdjustBatchCpu(removed, -1);
  const auto group = groups_.find(GroupKey(removed.spec));
  --group->second.by_rack[rack_of_row_[row]];
  if (--group->second.total == 0) groups_.erase(group);
  rows_[row] = {};
  free_rows_.push_back(row);
  return removed;
}

running_task* running_table::Find(std::string_view task) noexcept {
  const auto entry = index_.find(std::string(task));
  return entry == index_.end() ? nullptr : &rows_[entry->second];
}

const running_task* running_table::Find(std::string_view task) const noexcept {
  const auto entry = index_.find(std::string(task));
  return entry == index_.end() ? nullptr : &rows_[entry->second];
}

std::span<const std::uint32_t> running_table::OnWorker(worker_index worker) const noexcept {
  if (worker >= by_worker_.size()) return {};
  return by_worker_[worker];
}

std::int64_t running_table::BatchCpu(worker_index worker) const noexcept {
  return worker < batch_cpu_.size() ? batch_cpu_[worker] : 0;
}

std::span<const std::uint32_t> running_table::CountsByRack(const task_spec& spec) const {
  const auto group = groups_.find(GroupKey(spec));
  if (group == groups_.end()) return {};
  return group->second.by_rack;
}

void running_table::SetState(running_task& task, running_state state, core::mono_time now) {
  AdjustBatchCpu(task, -1);
  task.state = state;
  task.issued_at = now;
  AdjustBatchCpu(task, 1);
}

void running_table::AdjustBatchCpu(const running_task& task, std::int64_t sign) {
  if (IsEvictable(task)) batch_cpu_[task.worker] += sign * task.spec.need.cpu_millis;
}

}  // namespace coltsfoot::placement
