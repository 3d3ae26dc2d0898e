#include "jobs/zone_evacuations.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace coltsfoot::jobs {

zone_evacuations::zone_evacuations(core::milliseconds bound, metrics::registry& metrics)
    : bound_(bound), metrics_(metrics) {}

void zone_evacuations::Replace(std::set<std::string, std::less<>> zones) {
  const std::set<std::string, std::less<>> before = zones_;
  for (const std::string& zone : before) {
    if (!zones.contains(zone)) Set(zone, false);
  }
  for (const std::string& zone : zones) Set(zone, true);
}

void zone_evacuations::Set(std::string_view zone, bool evacuated) {
  if (evacuated) {
    if (!zones_.emplace(zone).second) return;
    spdlog::info("event=zone_evacuated zone={}", zone);
  } else {
    const auto known = zones_.find(zone);
    if (known == zones_.end()) return;
    zones_.erase(known);
    spdlog::info("event=zone_restored zone={}", zone);
  }
  ++changes_;
  metrics_.GetGauge("coltsfoot_evacuated_zones").Set(static_cast<std::int64_t>(zones_.size()));
}

void zone_evacuations::Confirm(core::mono_time at) {
  confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
}

core::mono_time zone_evacuations::start_limit() const {
  if (!confirmed_at_) return {};
  return *confirmed_at_ + bound_ * kUsablePermille / 1000;
}

core::mono_time zone_evacuations::refresh_at() const {
  if (!confirmed_at_) return {};
  return *confirmed_at_ + bound_ * kRefreshPermille / 1000;
}

}  // namespace coltsfoot::jobs
