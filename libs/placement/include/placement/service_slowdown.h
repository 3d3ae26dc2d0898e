#pragma once

#include <vector>

#include "core/clock.h"
#include "membership/worker_table.h"

namespace coltsfoot::placement {

/// Slowest service of a worker, compared with its own usual time.
struct slowed_service {
  membership::name_id service = membership::kNoName;
  double slowdown = 1;  ///< factor on the usual service time
};

/// Learns how long each service usually takes on each worker, from the averages in the agents'
/// answers. The usual time follows faster answers within seconds and slower ones within minutes, so
/// that interference does not become usual while it lasts, and a lasting change does.
class service_slowdown {
 public:
  /// Learns from the newest averages of a worker. Call it at least once a second.
  /// @return the service that is slowest against its usual time; a factor of 1 while that is being
  /// learned.
  slowed_service Observe(const membership::worker_table& workers, membership::worker_index worker,
                         core::mono_time now);
  /// Forgets a worker whose index is reused.
  void ResetWorker(membership::worker_index worker);

 private:
  struct service_baseline {
    membership::name_id service = membership::kNoName;
    double average_us = 0;
    core::mono_time learning_since{};
    core::mono_time updated_at{};
  };
  std::vector<std::vector<service_baseline>> rows_;  ///< by worker
};

}  // namespace coltsfoot::placement
