#pragma once

#include <vector>

#include "core/clock.h"
#include "membership/worker_table.h"

namespace coltsfoot::placement {

/// Service of a worker with the greatest slowdown against its own baseline.
struct slowed_service {
  membership::name_id service = membership::kNoName;
  double slowdown = 1;  ///< service time divided by the baseline
};

/// Learns a baseline of the service time of each service on each worker from the averages that
/// agents report. The baseline follows faster answers within seconds and slower ones within
/// minutes, so that it does not absorb temporary interference but adapts to a lasting change.
class service_slowdown {
 public:
  /// Updates the baselines from the newest averages of a worker. Call it at least once a second.
  /// @return the service with the greatest slowdown against its baseline; a slowdown of 1 during
  /// warm-up.
  slowed_service Observe(const membership::worker_table& workers, membership::worker_index worker,
                         core::mono_time now);
  /// Clears the baselines of a worker whose index is reused.
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
