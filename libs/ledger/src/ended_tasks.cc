#include "ledger/ended_tasks.h"

#include <utility>

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

std::string Encode(const task_entry& task) {
  std::string bytes = wire::EncodeValue(task);
  bytes.shrink_to_fit();
  return bytes;
}

task_entry Decode(const std::string& bytes) {
  core::last_error error;
  return wire::DecodeValue<task_entry>(bytes, error).value();
}

}  // namespace

void ended_tasks::Add(const task_entry& task) {
  sequence_by_hash_.emplace(core::StableHash(task.spec.task), first_sequence_ + rows_.size());
  rows_.push_back({task.ended_wall_ms, Encode(task)});
  kept_bytes_ += task.result.size();
  count_by_team_[task.spec.team] += 1;
}

std::optional<task_entry> ended_tasks::Find(std::string_view task) const {
  const auto [first, last] = sequence_by_hash_.equal_range(core::StableHash(task));
  for (auto position = first; position != last; ++position) {
    task_entry found = At(position->second - first_sequence_);
    if (found.spec.task == task) return found;
  }
  return std::nullopt;
}

task_entry ended_tasks::At(std::size_t position) const { return Decode(rows_[position].encoded); }

task_entry ended_tasks::Pop() {
  task_entry oldest = At(0);
  const auto [first, last] = sequence_by_hash_.equal_range(core::StableHash(oldest.spec.task));
  for (auto position = first; position != last; ++position) {
    if (position->second != first_sequence_) continue;
    sequence_by_hash_.erase(position);
    break;
  }
  rows_.pop_front();
  first_sequence_ += 1;
  kept_bytes_ -= oldest.result.size();
  if (dropped_results_ > 0) dropped_results_ -= 1;
  const auto team = count_by_team_.find(oldest.spec.team);
  if (--team->second == 0) count_by_team_.erase(team);
  return oldest;
}

void ended_tasks::DropOldestResult() {
  row& oldest_kept = rows_[dropped_results_++];
  task_entry task = Decode(oldest_kept.encoded);
  kept_bytes_ -= task.result.size();
  task.result_kept = task.result.empty();
  task.result = {};
  oldest_kept.encoded = Encode(task);
}

bool ended_tasks::operator==(const ended_tasks& other) const {
  return rows_ == other.rows_ && dropped_results_ == other.dropped_results_;
}

}  // namespace coltsfoot::ledger
