#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace coltsfoot::core {

/// Outcome of a call, a request or a task. The hundreds digit gives the class:
/// 0 success, 1xx bad input, 2xx refused and not run, 3xx outcome unknown, 4xx ended without
/// success, 5xx internal error. docs/result-codes.md describes each code for callers.
enum class result_code : std::uint16_t {
  ok = 0,

  malformed_request = 100,
  unknown_field = 101,
  body_too_large = 102,
  method_not_allowed = 103,
  not_found = 104,
  invalid_argument = 105,
  missing_reason = 106,
  conflict = 107,
  idempotency_key_reused = 108,
  missing_idempotency_key = 109,

  no_capacity = 200,
  queue_full = 201,
  deadline_unmeetable = 202,
  draining = 203,
  recovering = 204,
  stale_config = 205,
  quota_exceeded = 206,
  no_target = 207,
  store_unavailable = 208,
  no_configuration = 209,
  not_owner = 210,
  stale_fence = 211,
  stale_epoch = 212,
  stale_token = 213,
  retry_budget_exhausted = 214,
  shutting_down = 215,
  quarantined = 216,
  never_fits = 217,
  concurrency_limit = 218,
  config_pending = 219,
  fair_share_exceeded = 220,
  connect_failed = 221,
  unsupported = 222,
  overloaded = 223,

  outcome_unknown = 300,
  deadline_exceeded = 301,
  connection_lost = 302,
  answer_truncated = 303,
  answer_not_kept = 304,

  cancelled = 400,
  task_failed = 401,
  failed_everywhere = 402,
  target_error = 403,
  lease_lapsed = 404,
  evicted = 405,

  internal_error = 500,
  version_mismatch = 501,
  decode_error = 502,
};

/// One row of the result code table.
struct result_code_info {
  result_code code;
  std::string_view name;
  std::string_view description;
};

/// @return all result codes in ascending order of their numbers.
std::span<const result_code_info> AllResultCodes() noexcept;

/// @return the name of `code` as used in JSON answers and metrics; "unknown" for other values.
std::string_view ToString(result_code code) noexcept;

/// @return true if `code` proves that the work did not run (classes 1xx and 2xx).
constexpr bool IsNotRun(result_code code) noexcept {
  const auto number = static_cast<std::uint16_t>(code);
  return number >= 100 && number < 300;
}

/// @return true if the work may or may not have run (class 3xx).
constexpr bool IsOutcomeUnknown(result_code code) noexcept {
  const auto number = static_cast<std::uint16_t>(code);
  return number >= 300 && number < 400;
}

/// @return the HTTP status that an entry answers with for `code`.
int HttpStatus(result_code code) noexcept;

}  // namespace coltsfoot::core
