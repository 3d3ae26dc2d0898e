#include "admission_gate.h"

namespace coltsfoot::agent {

using core::error_reason;
using core::result_code;

void admission_gate::ApplyPolicy(const std::optional<wire::agent_policy>& policy) {
  if (policy && policy->version > state_.policy.version) state_.policy = *policy;
}

std::optional<core::mono_time> admission_gate::LeaseEnd(const wire::liveness_token& token) const {
  if (token.incarnation != state_.incarnation) return std::nullopt;
  return heartbeats_.LeaseEnd(token.seq, time_.Now());
}

std::optional<error_reason> admission_gate::RefusalReason(const wire::liveness_token& token,
                                                          core::config_version config) const {
  if (!LeaseEnd(token)) {
    return error_reason{result_code::stale_token, "the token is older than the lease time"};
  }
  if (state_.draining()) return error_reason{result_code::draining, "the worker is draining"};
  if (state_.recovering) {
    return error_reason{result_code::recovering, "the target's tasks are not yet known"};
  }
  if (!state_.target_live) return error_reason{result_code::no_target, "no live target"};
  if (config < state_.policy.version) {
    return error_reason{result_code::stale_config, "a newer configuration is in force"};
  }
  if (config > state_.policy.version) {
    return error_reason{result_code::config_pending, "the configuration is not yet known"};
  }
  return std::nullopt;
}

}  // namespace coltsfoot::agent
