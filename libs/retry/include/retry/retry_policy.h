#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/random_source.h"
#include "core/result_code.h"
#include "retry/retry_budget.h"

namespace coltsfoot::retry {

/// Parameters of the retry decision.
struct retry_options {
  std::uint32_t max_attempts = 4;  ///< including the first attempt
  core::nanoseconds base_delay = core::milliseconds{5};
  core::nanoseconds max_delay = core::milliseconds{500};

  bool operator==(const retry_options&) const = default;
};

/// Computes a retry delay with decorrelated jitter: uniformly distributed between `base_delay` and
/// three times the previous delay, capped at `max_delay`.
/// @param previous the previous delay; 0 for the first retry.
core::nanoseconds NextDelay(const retry_options& options, core::nanoseconds previous,
                            core::random_source& random);

/// Outcome of one attempt of a request, and the state of the request.
struct attempt_outcome {
  core::result_code code = core::result_code::ok;
  bool idempotent = false;
  std::uint32_t attempt = 1;            ///< attempts made so far, including this one
  core::nanoseconds time_left{0};       ///< until the deadline
  core::nanoseconds expected{0};        ///< expected duration of another attempt
  core::nanoseconds previous_delay{0};  ///< delay before this attempt

  bool operator==(const attempt_outcome&) const = default;
};

/// Reason why a request is not retried.
enum class stop_reason : std::uint8_t {
  none,             ///< the request is retried
  success,          ///< the attempt succeeded
  final_outcome,    ///< another attempt would have the same outcome
  may_have_run,     ///< not idempotent, and not proven not to have run
  attempts_used,    ///< maximum number of attempts reached
  no_time,          ///< the deadline would expire before the answer
  budget_exhausted  ///< retry budget exhausted
};

/// @return the name of a reason, for metrics and for explanations to users.
const char* ToString(stop_reason reason) noexcept;

/// Result of `ShouldRetry`.
struct retry_decision {
  bool retry = false;
  core::nanoseconds delay{0};  ///< delay before the next attempt
  stop_reason reason = stop_reason::none;
  /// Result code for the caller if the request is not retried. It is the code of the attempt, so
  /// that the caller still learns whether the request provably did not run or may have run.
  core::result_code code = core::result_code::ok;

  bool operator==(const retry_decision&) const = default;
};

/// @return true if an attempt that failed with `code` may succeed at another target or a moment
/// later.
bool IsTransient(core::result_code code) noexcept;

/// Decides whether to retry a request; if so, takes a token from the budget. A request is retried
/// only if it is idempotent or provably did not run.
retry_decision ShouldRetry(const attempt_outcome& outcome, const retry_options& options,
                           retry_budget& budget, core::random_source& random);

}  // namespace coltsfoot::retry
