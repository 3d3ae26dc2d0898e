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
  numbers_.emplace(core::StableHash(task.spec.task), removed_ + rows_.size());
  rows_.push_back({task.ended_wall_ms, Encode(task)});
  kept_bytes_ += task.result.size();
}

std::optional<task_entry> ended_tasks::Find(std::string_view task) const {
  const auto [first, last] = numbers_.equal_range(core::StableHash(task));
  for (auto position = first; position != last; ++position) {
    task_entry found = At(position->second - removed_);
    if (found.spec.task == task) return found;
  }
  return std::nullopt;
}

task_entry ended_tasks::At(std::size_t position) const { return Decode(rows_[position].encoded); }

task_entry ended_tasks::Pop() {
  task_entry oldest = At(0);
  const auto [first, last] = numbers_.equal_range(core::StableHash(oldest.spec.task));
  for (auto position = first; position != last; ++position) {
    if (position->second != removed_) continue;
    numbers_.erase(position);
    break;
  }
  rows_.pop_front();
  removed_ += 1;
  kept_bytes_ -= oldest.result.size();
  if (dropped_ > 0) dropped_ -= 1;
  return oldest;
}

void ended_tasks::DropOldestResult() {
  row& kept = rows_[dropped_++];
  task_entry task = Decode(kept.encoded);
  kept_bytes_ -= task.result.size();
  task.result_kept = task.result.empty();
  task.result = {};
  kept.encoded = Encode(task);
}

bool ended_tasks::operator==(const ended_tasks& other) const {
  return rows_ == other.rows_ && dropped_ == other.dropped_;
}

}  // namespace coltsfoot::ledger
