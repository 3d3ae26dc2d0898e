#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot::jobs {

/// A queue that jobs are submitted to.
struct queue_config {
  std::string name;
  std::string host;                ///< `Host` header of the requests to this queue
  std::string prefix;              ///< path prefix of its requests, with the trailing slash
  std::string service;             ///< service whose workers run its tasks
  std::uint32_t priority = 0;      ///< 0 is the highest
  std::uint32_t attempts = 1;      ///< failed runs of a task after which the job fails
  double stretch = 1.0;            ///< objective: factor on the critical path of the job
  std::uint32_t objective_ms = 0;  ///< objective: time added to the stretched critical path
  bool needs_advice = false;       ///< an external policy must approve each worker
  bool operator==(const queue_config&) const = default;
};

/// A service whose workers run tasks.
struct service_config {
  std::string name;
  bool guards_capacity = false;  ///< its targets refuse tasks that exceed their capacity
  bool operator==(const service_config&) const = default;
};

/// Queues and services of one version of the fleet configuration.
class queue_catalogue {
 public:
  queue_catalogue() = default;
  queue_catalogue(std::uint64_t version, std::vector<queue_config> queues,
                  std::vector<service_config> services);

  std::uint64_t version() const noexcept { return version_; }
  const std::vector<queue_config>& queues() const noexcept { return queues_; }
  const std::vector<service_config>& services() const noexcept { return services_; }

  /// @return the queue of `host` with the longest matching path prefix, or null.
  const queue_config* FindByPath(std::string_view host, std::string_view path) const noexcept;
  /// @return the queue with this name, or null.
  const queue_config* FindByName(std::string_view name) const noexcept;

  bool operator==(const queue_catalogue&) const = default;

 private:
  std::uint64_t version_ = 0;
  std::vector<queue_config> queues_;
  std::vector<service_config> services_;
  std::map<std::string, std::size_t, std::less<>> by_name_;
};

}  // namespace coltsfoot::jobs
