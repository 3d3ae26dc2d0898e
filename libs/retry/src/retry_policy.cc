#include "retry/retry_policy.h"

#include <algorithm>

namespace coltsfoot::retry {
namespace {

using core::nanoseconds;
using core::result_code;

constexpr int kDelayGrowth = 3;

retry_decision Stop(stop_reason reason, result_code code) {
  return {.retry = false, .reason = reason, .code = code};
}

}  // namespace

nanoseconds NextDelay(const retry_options& options, nanoseconds previous,
                      core::random_source& random) {
  const nanoseconds upper = std::max(options.base_delay, previous) * kDelayGrowth;
  const auto spread = static_cast<double>((upper - options.base_delay).count());
  const nanoseconds jittered =
      options.base_delay + nanoseconds{static_cast<std::int64_t>(random.Uniform() * spread)};
  return std::min(options.max_delay, jittered);
}

const char* ToString(stop_reason reason) noexcept {
  switch (reason) {
    case stop_reason::none:
      return "none";
    case stop_reason::success:
      return "success";
    case stop_reason::final_outcome:
      return "final_outcome";
    case stop_reason::may_have_run:
      return "may_have_run";
    case stop_reason::attempts_used:
      return "attempts_used";
    case stop_reason::no_time:
      return "no_time";
    case stop_reason::budget_exhausted:
      return "budget_exhausted";
  }
  return "unknown";
}

bool IsTransient(result_code code) noexcept {
  switch (code) {
    // Refused by one worker or entry; another one, or the same one a moment later, may accept.
    case result_code::no_capacity:
    case result_code::queue_full:
    case result_code::draining:
    case result_code::recovering:
    case result_code::stale_config:
    case result_code::no_target:
    case result_code::not_owner:
    case result_code::stale_fence:
    case result_code::stale_token:
    case result_code::shutting_down:
    case result_code::concurrency_limit:
    case result_code::config_pending:
    case result_code::connect_failed:
    // Failed after the request was sent; only idempotent requests are retried.
    case result_code::outcome_unknown:
    case result_code::connection_lost:
    case result_code::answer_truncated:
    case result_code::target_error:
    case result_code::internal_error:
    case result_code::version_mismatch:
    case result_code::decode_error:
      return true;
    default:
      return false;
  }
}

retry_decision ShouldRetry(const attempt_outcome& outcome, const retry_options& options,
                           retry_budget& budget, core::random_source& random) {
  const result_code code = outcome.code;
  if (code == result_code::ok) return Stop(stop_reason::success, code);
  if (!IsTransient(code)) return Stop(stop_reason::final_outcome, code);
  if (!core::IsNotRun(code) && !outcome.idempotent) return Stop(stop_reason::may_have_run, code);
  if (outcome.attempt >= options.max_attempts) return Stop(stop_reason::attempts_used, code);
  const nanoseconds delay = NextDelay(options, outcome.previous_delay, random);
  if (delay + outcome.expected >= outcome.time_left) return Stop(stop_reason::no_time, code);
  // Checked last, so that a request that is not retried for another reason takes no token.
  if (!budget.TryWithdraw()) return Stop(stop_reason::budget_exhausted, code);
  return {.retry = true, .delay = delay, .code = code};
}

}  // namespace coltsfoot::retry
