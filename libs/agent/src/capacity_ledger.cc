#include "agent/capacity_ledger.h"

#include <algorithm>

namespace coltsfoot::agent {
namespace {

constexpr std::uint32_t kPercent = 100;

core::resources ClampToZero(const core::resources& value) {
  return {std::max<std::int64_t>(value.cpu_millis, 0), std::max<std::int64_t>(value.memory_mb, 0),
          std::max<std::int64_t>(value.accelerators, 0)};
}

}  // namespace

void capacity_ledger::SetTotal(const core::resources& total, std::uint32_t slots,
                               std::uint32_t connections) {
  total_ = total;
  slots_total_ = slots;
  connections_total_ = connections;
}

void capacity_ledger::SetHeadroom(std::uint32_t percent) {
  headroom_percent_ = std::min(percent, kPercent);
}

bool capacity_ledger::ReserveTask(const std::string& task, const core::resources& need,
                                  core::task_kind kind) {
  if (!need.IsValid() || IsKnown(task)) return false;
  core::resources usable = total_;
  if (kind == core::task_kind::batch) {
    usable.cpu_millis = usable.cpu_millis * (kPercent - headroom_percent_) / kPercent;
  }
  // Compared with the remainder, because adding a corrupt `need` to the sum could overflow.
  if (!need.FitsIn(usable - committed_ - held())) return false;
  tasks_.emplace(task, need);
  committed_ += need;
  return true;
}

void capacity_ledger::CommitRunningTask(const std::string& task, const core::resources& need) {
  if (tasks_.emplace(task, need).second) committed_ += need;
}

void capacity_ledger::ReleaseTask(const std::string& task) {
  std::erase_if(holds_, [&task](const room_hold& hold) { return hold.task == task; });
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return;
  committed_ -= found->second;
  tasks_.erase(found);
}

bool capacity_ledger::HoldRoom(const std::string& task, const core::resources& need) {
  if (!need.IsValid() || !need.FitsIn(total_) || IsKnown(task)) return false;
  holds_.push_back({task, need});
  return true;
}

bool capacity_ledger::CommitHold(const std::string& task) {
  core::resources usable = total_ - committed_;
  for (auto hold = holds_.begin(); hold != holds_.end(); ++hold) {
    if (hold->task != task) {
      usable -= hold->need;
      continue;
    }
    if (!hold->need.FitsIn(usable)) return false;
    committed_ += hold->need;
    tasks_.emplace(task, hold->need);
    holds_.erase(hold);
    return true;
  }
  return false;
}

core::resources capacity_ledger::MissingRoom(const core::resources& releasing) const {
  return ClampToZero(committed_ + held() - releasing - total_);
}

bool capacity_ledger::IsKnown(const std::string& task) const {
  return tasks_.contains(task) ||
         std::any_of(holds_.begin(), holds_.end(),
                     [&task](const room_hold& hold) { return hold.task == task; });
}

core::resources capacity_ledger::held() const {
  core::resources sum;
  for (const room_hold& hold : holds_) sum += hold.need;
  return sum;
}

bool capacity_ledger::TakeConnection() {
  if (connections_used_ >= connections_total_) return false;
  ++connections_used_;
  return true;
}

void capacity_ledger::ReleaseConnection() { --connections_used_; }

bool capacity_ledger::TakeSlot() {
  if (slots_used_ >= slots_total_) return false;
  ++slots_used_;
  return true;
}

void capacity_ledger::ReleaseSlot() { --slots_used_; }

core::resources capacity_ledger::free() const { return ClampToZero(total_ - committed_ - held()); }

std::uint32_t capacity_ledger::slots_free() const {
  return slots_total_ - std::min(slots_used_, slots_total_);
}

std::uint32_t capacity_ledger::connections_free() const {
  return connections_total_ - std::min(connections_used_, connections_total_);
}

}  // namespace coltsfoot::agent
