#include "ledger_context.h"

#include <algorithm>

namespace coltsfoot::ledger {
namespace {

// One failed call may be a single lost answer; two in a row are taken for an outage.
constexpr int kFailuresUntilUnreachable = 2;
constexpr core::milliseconds kFirstRetryDelay{50};
// Bounds the time that an outage outlasts its end for this entry.
constexpr core::milliseconds kMaxRetryDelay{1000};
constexpr unsigned kMaxDoublings = 5;

}  // namespace

void store_health::Record(store::kv_status status) noexcept {
  const bool answered = status == store::kv_status::ok || status == store::kv_status::not_found ||
                        status == store::kv_status::conflict;
  failures_in_row_ = answered ? 0 : failures_in_row_ + 1;
}

bool store_health::reachable() const noexcept {
  return failures_in_row_ < kFailuresUntilUnreachable;
}

ledger_metrics::ledger_metrics(metrics::registry& target)
    : registry(target),
      appends(target.GetCounter("coltsfoot_ledger_appends_total")),
      append_bytes(target.GetCounter("coltsfoot_ledger_append_bytes_total")),
      records(target.GetCounter("coltsfoot_ledger_records_total")),
      ignored(target.GetCounter("coltsfoot_ledger_ignored_records_total")),
      read_backs(target.GetCounter("coltsfoot_ledger_read_backs_total")),
      snapshots(target.GetCounter("coltsfoot_ledger_snapshots_total")),
      deleted_keys(target.GetCounter("coltsfoot_ledger_deleted_keys_total")),
      lease_expiries(target.GetCounter("coltsfoot_ledger_lease_lapses_total")),
      owned_shards(target.GetGauge("coltsfoot_ledger_owned_shards")),
      wait(target.GetHistogram("coltsfoot_ledger_append_wait")) {}

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
