#include "placement/service_slowdown.h"

#include <algorithm>

namespace coltsfoot::placement {

namespace {

/// During warm-up the baseline follows the averages quickly, since the first ones cover few
/// requests.
constexpr core::nanoseconds kWarmUp = std::chrono::seconds{2};
/// Time constants of the baseline, in seconds: during warm-up, for falling averages and for rising
/// averages.
constexpr double kWarmUpTimeConstant = 0.5;
constexpr double kFallTimeConstant = 2;
constexpr double kRiseTimeConstant = 120;

double Seconds(core::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

slowed_service service_slowdown::Observe(const membership::worker_table& workers,
                                         membership::worker_index worker, core::mono_time now) {
  if (rows_.size() <= worker) rows_.resize(worker + 1);
  std::vector<service_baseline>& row = rows_[worker];
  slowed_service slowest;
  for (const membership::service_row& service : workers.services(worker)) {
    if (service.average_us == 0) continue;
    auto baseline = std::find_if(row.begin(), row.end(), [&](const service_baseline& known) {
      return known.service == service.service;
    });
    if (baseline == row.end()) {
      row.push_back({service.service, static_cast<double>(service.average_us), now, now});
      continue;
    }
    const bool warmed_up = now - baseline->learning_since >= kWarmUp;
    const double change = service.average_us - baseline->average_us;
    const double time_constant =
        !warmed_up ? kWarmUpTimeConstant : (change < 0 ? kFallTimeConstant : kRiseTimeConstant);
    // Without requests the average that the agent reports decays, which says nothing about the
    // service.
    if (service.pending() > 0) {
      baseline->average_us +=
          change * std::min(1.0, Seconds(now - baseline->updated_at) / time_constant);
    }
    baseline->updated_at = now;
    const double slowdown = service.average_us / baseline->average_us;
    if (warmed_up && slowdown > slowest.slowdown) slowest = {service.service, slowdown};
  }
  return slowest;
}

void service_slowdown::ResetWorker(membership::worker_index worker) {
  if (worker < rows_.size()) rows_[worker].clear();
}

}  // namespace coltsfoot::placement
