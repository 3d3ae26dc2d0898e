#include "jobs/queue_catalogue.h"

#include <utility>

namespace coltsfoot::jobs {

queue_catalogue::queue_catalogue(std::uint64_t version, std::vector<queue_config> queues,
                                 std::vector<service_config> services)
    : version_(version), queues_(std::move(queues)), services_(std::move(services)) {}

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
  for (const queue_config& queue : queues_) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

}  // namespace coltsfoot::jobs
