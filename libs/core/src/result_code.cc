#include "core/result_code.h"

#include <algorithm>
#include <array>

namespace coltsfoot::core {
namespace {

using enum result_code;

constexpr std::array kTable = {
    result_code_info{ok, "ok", "The call succeeded."},
    result_code_info{malformed_request, "malformed_request", "The request cannot be parsed."},
    result_code_info{unknown_field, "unknown_field", "The request has a field that is not known."},
    result_code_info{body_too_large, "body_too_large", "The body exceeds the size limit."},
    result_code_info{method_not_allowed, "method_not_allowed",
                     "The path does not support this method."},
    result_code_info{not_found, "not_found", "No such path, task, service or exception."},
    result_code_info{invalid_argument, "invalid_argument",
                     "A value has the wrong type or is out of range."},
    result_code_info{missing_reason, "missing_reason", "An exception needs a written reason."},
    result_code_info{conflict, "conflict",
                     "The configuration changed since the version that the change is based on."},
    result_code_info{idempotency_key_reused, "idempotency_key_reused",
                     "The idempotency key was used with another request body."},
    result_code_info{missing_idempotency_key, "missing_idempotency_key",
                     "A non-idempotent request needs an idempotency key."},
    result_code_info{no_capacity, "no_capacity",
                     "The worker has not enough free processors, memory, accelerators or slots."},
    result_code_info{queue_full, "queue_full", "The request queue is at its limit."},
    result_code_info{deadline_unmeetable, "deadline_unmeetable",
                     "The request cannot finish before its deadline."},
    result_code_info{draining, "draining", "The worker or target is being drained."},
    result_code_info{recovering, "recovering",
                     "The agent restarted and has not yet relearned what runs on its worker."},
    result_code_info{stale_config, "stale_config",
                     "The dispatch was decided under an older configuration version."},
    result_code_info{quota_exceeded, "quota_exceeded", "The team's quota is used up."},
    result_code_info{no_target, "no_target", "No live target offers the service."},
    result_code_info{store_unavailable, "store_unavailable",
                     "The key-value service cannot be reached; the work cannot be recorded."},
    result_code_info{no_configuration, "no_configuration",
                     "The process has not yet learned the fleet configuration."},
    result_code_info{not_owner, "not_owner", "The entry does not own the shard."},
    result_code_info{stale_fence, "stale_fence", "A newer owner of the shard is known."},
    result_code_info{stale_epoch, "stale_epoch", "A newer assignment of the task is known."},
    result_code_info{stale_token, "stale_token",
                     "The dispatch names a heartbeat that is older than the lease."},
    result_code_info{retry_budget_exhausted, "retry_budget_exhausted",
                     "The retry budget is used up."},
    result_code_info{shutting_down, "shutting_down", "The process is shutting down."},
    result_code_info{quarantined, "quarantined",
                     "All matching workers are quarantined after repeated failures."},
    result_code_info{never_fits, "never_fits", "The task is larger than every worker."},
    result_code_info{concurrency_limit, "concurrency_limit",
                     "The target is at its adaptive concurrency limit."},
    result_code_info{config_pending, "config_pending",
                     "The agent does not yet have the configuration version of the dispatch."},
    result_code_info{fair_share_exceeded, "fair_share_exceeded",
                     "The team exceeds its fair share while the service is overloaded."},
    result_code_info{connect_failed, "connect_failed", "No connection was made; nothing was sent."},
    result_code_info{unsupported, "unsupported",
                     "The job needs what this version does not support."},
    result_code_info{overloaded, "overloaded", "The process holds as many requests as it may."},
    result_code_info{outcome_unknown, "outcome_unknown", "The work may or may not have run."},
    result_code_info{deadline_exceeded, "deadline_exceeded",
                     "The deadline passed after the work had started."},
    result_code_info{connection_lost, "connection_lost",
                     "The connection was lost after the work had been sent."},
    result_code_info{answer_truncated, "answer_truncated", "The answer arrived incomplete."},
    result_code_info{answer_not_kept, "answer_not_kept",
                     "The request ran once before; its answer was too large to keep."},
    result_code_info{cancelled, "cancelled", "The task was cancelled."},
    result_code_info{task_failed, "task_failed", "The task ran and failed."},
    result_code_info{failed_everywhere, "failed_everywhere",
                     "The task failed on several healthy workers and is not retried."},
    result_code_info{target_error, "target_error", "The target answered with an error."},
    result_code_info{lease_lapsed, "lease_lapsed", "The execution lease of the task lapsed."},
    result_code_info{evicted, "evicted",
                     "The task was checkpointed and stopped to free its place."},
    result_code_info{internal_error, "internal_error", "An internal error occurred."},
    result_code_info{version_mismatch, "version_mismatch",
                     "The peer speaks another protocol version."},
    result_code_info{decode_error, "decode_error", "A message could not be decoded."},
};

}  // namespace

std::span<const result_code_info> AllResultCodes() noexcept { return kTable; }

std::string_view ToString(result_code code) noexcept {
  const auto row = std::lower_bound(
      kTable.begin(), kTable.end(), code,
      [](const result_code_info& info, result_code value) { return info.code < value; });
  return row != kTable.end() && row->code == code ? row->name : "unknown";
}

int HttpStatus(result_code code) noexcept {
  switch (code) {
    case ok:
      return 200;
    case body_too_large:
      return 413;
    case method_not_allowed:
      return 405;
    case not_found:
      return 404;
    case conflict:
    case idempotency_key_reused:
      return 409;
    case no_capacity:
    case queue_full:
    case quota_exceeded:
    case retry_budget_exhausted:
    case concurrency_limit:
    case fair_share_exceeded:
      return 429;
    case never_fits:
      return 422;
    case deadline_exceeded:
      return 504;
    default:
      break;
  }
  const auto number = static_cast<std::uint16_t>(code);
  if (number < 200) return 400;
  if (number < 300) return 503;
  if (number < 400) return 502;
  return number < 500 ? 422 : 500;
}

}  // namespace coltsfoot::core
