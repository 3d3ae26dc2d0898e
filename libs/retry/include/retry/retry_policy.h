#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/random_source.h"
#include "core/result_code.h"
#include "retry/retry_budget.h"

namespace coltsfoot::retry {

/// Options of the retry decision.
struct retry_options {
  std::uint32_t max_attempts = 4;  ///< including the first
  core::nanoseconds base_delay = core::milliseconds{5};
  core::nanoseconds max_delay = core::milliseconds{500};

  bool operator==(const retry_options&) const = default;
};

/// Draws delays with decorrelated jitter: uniform between the base and three times the delay
/// before, up to the longest.
/// @param previous the delay before; 0 for the first retry.
core::nanoseconds NextDelay(const retry_options& options, core::nanoseconds previous,
                            core::random_source& random);

/// How one attempt of a request ended.
struct attempt_outcome {
  core::result_code code = core::result_code::ok;
  bool idempotent = false;
  std::uint32_t attempt = 1;            ///< attempts made so far, including this one
  core::nanoseconds time_left{0};       ///< until the deadline
  core::nanoseconds expected{0};        ///< expected time of another attempt
  core::nanoseconds previous_delay{0};  ///< delay before this attempt

  bool operator==(const attempt_outcome&) const = default;
};

/// Why a request is not attempted again.
enum class give_up : std::uint8_t {
  none,             ///< it is attempted again
  success,          ///< nothing to repeat
  final_outcome,    ///< another attempt would end the same way
  may_have_run,     ///< not idempotent and no proof that it did not run
  attempts_used,    ///< attempt limit reached
  no_time,          ///< the deadline would pass first
  budget_exhausted  ///< retry budget used up
};

/// @return the name of a reason for metrics and explanations.
const char* ToString(give_up reason) noexcept;

/// Result of `ShouldRetry`.
struct retry_decision {
  bool retry = false;
  core::nanoseconds after{0};  ///< delay before the next attempt
  give_up reason = give_up::none;
  /// Code for the caller when the request is given up: the outcome of the attempt, which keeps
  /// the proof "not run" or "unknown".
  core::result_code code = core::result_code::ok;

  bool operator==(const retry_decision&) const = default;
};

/// @return true if an attempt that ended with `code` can end differently at another target or a
/// moment later.
bool IsTransient(core::result_code code) noexcept;

/// Decides whether a request is attempted again, and takes a token from the budget if so. Retries
/// happen only after a proved "not run" or for idempotent requests.
retry_decision ShouldRetry(const attempt_outcome& outcome, const retry_options& options,
                           retry_budget& budget, core::random_source& random);

}  // namespace coltsfoot::retry
