#include "placement/service_slowdown.h"

#include <algorithm>

namespace coltsfoot::placement {

namespace {

/// The first averages hold few requests and are followed at once.
constexpr core::nanoseconds kWarmUp = std::chrono::seconds{2};
constexpr double kWarmUpSeconds = 0.5;
constexpr double kFallSeconds = 2;
constexpr double kRiseSeconds = 120;

double Seconds(core::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

slowed_service service_slowdown::Observe(const membership::worker_table& workers,
                                         membership::worker_index worker, core::mono_time now) {
  if (rows_.size() <= worker) rows_.resize(worker + 1);
  std::vector<usual_time>& row = rows_[worker];
  slowed_service slowest;
  for (const membership::service_row& service : workers.services(worker)) {
    if (service.average_us == 0) continue;
    auto usual = std::find_if(row.begin(), row.end(), [&](const usual_time& known) {
      return known.service == service.service;
    });
    if (usual == row.end()) {
      row.push_back({service.service, static_cast<double>(service.average_us), now, now});
      continue;
    }
    const bool warm = now - usual->learned_from >= kWarmUp;
    const double change = service.average_us - usual->average_us;
    const double pace = !warm ? kWarmUpSeconds : (change < 0 ? kFallSeconds : kRiseSeconds);
    // Without requests the agent lets its average fall, which says nothing about the service.
    if (service.pending() > 0) {
      usual->average_us += change * std::min(1.0, Seconds(now - usual->learned_at) / pace);
    }
    usual->learned_at = now;
    const double slowdown = service.average_us / usual->average_us;
    if (warm && slowdown > slowest.slowdown) slowest = {service.service, slowdown};
  }
  return slowest;
}

void service_slowdown::ResetWorker(membership::worker_index worker) {
  if (worker < rows_.size()) rows_[worker].clear();
}

}  // namespace coltsfoot::placement
