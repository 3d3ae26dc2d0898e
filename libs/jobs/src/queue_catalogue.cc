#include "jobs/queue_catalogue.h"

#include <utility>

namespace coltsfoot::jobs {

queue_catalogue::queue_catalogue(std::uint64_t version, std::vector<queue_config> queues,
                                 std::vector<service_config> services)
    : version_(version), queues_(std::move(queues)), services_(std::move(services)) {
  for (std::size_t index = 0; index < queues_.size(); ++index) {
    by_name_.emplace(queues_[index].name, index);
  }
}

const queue_config* queue_catalogue::FindByPath(std::string_view host,
                                                std::string_view path) const noexcept {
  const queue_config* best = nullptr;
  for (const queue_config& queue : queues_) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

const queue_config* queue_catalogue::FindByName(std::string_view name) const noexcept {
  const auto place = by_name_.find(name);
  return place == by_name_.end() ? nullptr : &queues_[place->second];
}

}  // namespace coltsfoot::jobs
