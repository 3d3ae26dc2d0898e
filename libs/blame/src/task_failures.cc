#include "blame/task_failures.h"

#include <algorithm>

namespace coltsfoot::blame {

task_decision task_failures::OnFailed(std::string_view task, std::uint32_t worker,
                                      std::size_t fleet_size) {
  std::vector<std::uint32_t>& workers = failed_on_[std::string(task)];
  if (std::find(workers.begin(), workers.end(), worker) == workers.end()) {
    workers.push_back(worker);
  }
  const std::size_t limit =
      std::min<std::size_t>(options_.max_worker_failures, std::max<std::size_t>(fleet_size, 1));
  if (workers.size() < limit) return {};
  return {.ends = true, .code = core::result_code::failed_everywhere};
}

bool task_failures::RetractFailure(std::string_view task, std::uint32_t worker) {
  const auto entry = failed_on_.find(std::string(task));
  if (entry == failed_on_.end()) return false;
  const bool retracted = std::erase(entry->second, worker) > 0;
  if (entry->second.empty()) failed_on_.erase(entry);
  return retracted;
}

task_decision task_failures::CheckFit(std::size_t workers, std::size_t big_enough) noexcept {
  if (workers == 0 || big_enough > 0) return {};
  return {.ends = true, .code = core::result_code::never_fits};
}

void task_failures::OnEnded(std::string_view task) { failed_on_.erase(std::string(task)); }

void task_failures::ResetWorker(std::uint32_t worker) {
  for (auto& [task, workers] : failed_on_) std::erase(workers, worker);
  std::erase_if(failed_on_, [](const auto& entry) { return entry.second.empty(); });
}

std::span<const std::uint32_t> task_failures::FailedOn(std::string_view task) const {
  const auto entry = failed_on_.find(std::string(task));
  if (entry == failed_on_.end()) return {};
  return entry->second;
}

}  // namespace coltsfoot::blame
