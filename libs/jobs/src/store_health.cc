#include "jobs/store_health.h"

#include <spdlog/spdlog.h>

namespace coltsfoot::jobs {
namespace {

// One lost answer is no outage; each process calls the store several times a second.
constexpr core::milliseconds kOutageAfter{700};

}  // namespace

void store_health::Record(store::kv_status status) {
  const bool failed = status == store::kv_status::refused ||
                      status == store::kv_status::unreachable ||
                      status == store::kv_status::unknown;
  const core::mono_time now = time_.Now();
  if (failed) {
    if (first_failure_ == core::mono_time{}) {
      first_failure_ = now;
      spdlog::warn("event=store_failing status={}", static_cast<int>(status));
    }
    return;
  }
  if (first_failure_ != core::mono_time{}) {
    spdlog::info("event=store_regained after_ms={}", core::ToMs(now - first_failure_));
  }
  answered_ = true;
  last_success_ = now;
  first_failure_ = {};
}

bool store_health::reachable() const {
  if (!answered_) return false;
  return first_failure_ == core::mono_time{} || time_.Now() - last_success_ < kOutageAfter;
}

}  // namespace coltsfoot::jobs
