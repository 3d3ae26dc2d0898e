#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "jobs/coordinator.h"

// Part of the coordinator that keeps tasks out of evacuated zones.
namespace coltsfoot::jobs {

bool coordinator::KnowsEvacuations(core::mono_time now) {
  if (evacuations_ == nullptr) return true;
  const bool current = evacuations_->IsCurrent(now);
  if (std::exchange(evacuations_current_, current) != current) {
    spdlog::info("event=evacuations_{} term={}", current ? "known" : "unknown", term_);
  }
  if (!current) metrics_.GetCounter("coltsfoot_plans_without_evacuations_total").Add();
  return current;
}

void coordinator::MarkEvacuated() {
  if (evacuations_ == nullptr) return;
  for (auto& [agent, worker] : workers_) worker.evacuated = evacuations_->Contains(worker.zone);
  // Before all workers have reported their zones, each zone may seem unknown.
  if (!takeover_settled_ ||
      std::exchange(evacuations_logged_, evacuations_->changes()) == evacuations_->changes()) {
    return;
  }
  for (const std::string& zone : evacuations_->zones()) {
    const auto count = std::count_if(workers_.begin(), workers_.end(),
                                     [&](const auto& each) { return each.second.zone == zone; });
    if (count > 0) {
      spdlog::info("event=workers_evacuated zone={} workers={}", zone, count);
    } else {
      spdlog::warn("event=evacuated_zone_unknown zone={}", zone);
    }
  }
}

std::int64_t coordinator::StartExpiry(const worker_row& worker) const {
  if (evacuations_ == nullptr) return 0;
  // The start of the agent's clock, so that an earlier, unanswered call is not repeated.
  constexpr std::int64_t kExpired = 1;
  if (evacuations_->Contains(worker.zone)) return kExpired;
  // The agent sent its last report before it arrived here, so its clock reaches this value no later
  // than this host's clock reaches the limit.
  const std::int64_t left_ms = core::ToMs(evacuations_->start_limit() - worker.last_report_at);
  return std::max(kExpired, worker.last_report_sent_ms + left_ms);
}

}  // namespace coltsfoot::jobs
