#include "ledger_context.h"

#include <algorithm>

namespace coltsfoot::ledger {
namespace {

// One failed call may be a single lost answer; two consecutive ones count as an outage.
constexpr int kFailuresUntilUnreachable = 2;
constexpr core::milliseconds kFirstRetryDelay{50};
// Bounds how long after the end of an outage this entry makes its next attempt.
constexpr core::milliseconds kMaxRetryDelay{1000};
constexpr unsigned kMaxDoublings = 5;

}  // namespace

void store_health::Record(store::kv_status status) noexcept {
  const bool answered = status == store::kv_status::ok || status == store::kv_status::not_found ||
                        status == store::kv_status::conflict;
  consecutive_failures_ = answered ? 0 : consecutive_failures_ + 1;
}

bool store_health::reachable() const noexcept {
  return consecutive_failures_ < kFailuresUntilUnreachable;
}

ledger_metrics::ledger_metrics(metrics::registry& metrics_registry)
    : registry(metrics_registry),
      appends(metrics_registry.GetCounter("coltsfoot_ledger_appends_total")),
      append_bytes(metrics_registry.GetCounter("coltsfoot_ledger_append_bytes_total")),
      records(metrics_registry.GetCounter("coltsfoot_ledger_records_total")),
      ignored_records(metrics_registry.GetCounter("coltsfoot_ledger_ignored_records_total")),
      read_backs(metrics_registry.GetCounter("coltsfoot_ledger_read_backs_total")),
      snapshots(metrics_registry.GetCounter("coltsfoot_ledger_snapshots_total")),
      deleted_keys(metrics_registry.GetCounter("coltsfoot_ledger_deleted_keys_total")),
      lease_expiries(metrics_registry.GetCounter("coltsfoot_ledger_lease_lapses_total")),
      owned_shards(metrics_registry.GetGauge("coltsfoot_ledger_owned_shards")),
      append_wait(metrics_registry.GetHistogram("coltsfoot_ledger_append_wait")) {}

core::nanoseconds backoff::Next(core::random_source& random) noexcept {
  const core::nanoseconds doubled = kFirstRetryDelay * (1U << attempts_);
  attempts_ = std::min(attempts_ + 1, kMaxDoublings);
  const core::nanoseconds delay = std::min<core::nanoseconds>(doubled, kMaxRetryDelay);
  const auto half = static_cast<std::uint64_t>(delay.count()) / 2;
  return core::nanoseconds{static_cast<std::int64_t>(half + random.Below(half + 1))};
}

bool HadNoEffect(store::kv_status status) noexcept {
  return status == store::kv_status::refused || status == store::kv_status::unreachable;
}

void CountRetry(const ledger_context& context, std::string_view where, store::kv_status status) {
  context.metrics.registry.CountRetry(where, HadNoEffect(status)
                                                 ? core::result_code::store_unavailable
                                                 : core::result_code::outcome_unknown);
}

}  // namespace coltsfoot::ledger
