#include "retry/retry_policy.h"

#include <algorithm>

namespace coltsfoot::retry {
namespace {

using core::nanoseconds;
using core::result_code;

constexpr int kGrowth = 3;

retry_decision GiveUp(give_up reason, result_code code) {
  return {.retry = false, .reason = reason, .code = code};
}

}  // namespace

nanoseconds NextDelay(const retry_options& options, nanoseconds previous,
                      core::random_source& random) {
  const nanoseconds upper = std::max(options.base_delay, previous) * kGrowth;
  const auto spread = static_cast<double>((upper - options.base_delay).count());
  const nanoseconds drawn =
      options.base_delay + nanoseconds{static_cast<std::int64_t>(random.Uniform() * spread)};
  return std::min(options.max_delay, drawn);
}

const char* ToString(give_up reason) noexcept {
  switch (reason) {
    case give_up::none:
      return "none";
    case give_up::success:
      return "success";
    case give_up::final_outcome:
      return "final_outcome";
    case give_up::may_have_run:
      return "may_have_run";
    case give_up::attempts_used:
      return "attempts_used";
    case give_up::no_time:
      return "no_time";
    case give_up::budget_exhausted:
      return "budget_exhausted";
  }
  return "unknown";
}

bool IsTransient(result_code code) noexcept {
  switch (code) {
    // Refusals of one worker or entry; another one, or the same one a moment later, may accept.
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
    // Failures after the request was sent; only idempotent requests are repeated.
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
  if (code == result_code::ok) return GiveUp(give_up::success, code);
  if (!IsTransient(code)) return GiveUp(give_up::final_outcome, code);
  if (!core::IsNotRun(code) && !outcome.idempotent) return GiveUp(give_up::may_have_run, code);
  if (outcome.attempt >= options.max_attempts) return GiveUp(give_up::attempts_used, code);
  const nanoseconds delay = NextDelay(options, outcome.previous_delay, random);
  if (delay + outcome.expected >= outcome.time_left) return GiveUp(give_up::no_time, code);
  // Last, so that a request that is given up for another reason takes no token.
  if (!budget.TryWithdraw()) return GiveUp(give_up::budget_exhausted, code);
  return {.retry = true, .after = delay, .code = code};
}

}  // namespace coltsfoot::retry
