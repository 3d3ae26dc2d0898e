#pragma once

#include <optional>

#include "core/clock.h"
#include "core/error.h"
#include "heartbeat_log.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// State of the worker that determines whether it accepts new work.
struct worker_state {
  std::string worker;  ///< id of this worker
  std::uint64_t incarnation = 0;
  bool recovering = true;    ///< the target's tasks are not yet known
  bool target_live = false;  ///< announced recently and not shutting down
  bool stopping = false;     ///< the agent is shutting down
  wire::agent_policy policy;

  /// @return true if running tasks are evicted and new work is refused.
  bool draining() const noexcept { return stopping || policy.drain; }
};

/// Admission checks that requests and tasks have in common.
class admission_gate {
 public:
  admission_gate(const core::clock& time, const heartbeat_log& heartbeats, worker_state& state)
      : time_(time), heartbeats_(heartbeats), state_(state) {}

  /// Applies a policy if it is newer than the current one.
  void ApplyPolicy(const std::optional<wire::agent_policy>& policy);
  /// @return why a message with this token and configuration version is refused; nothing if it is
  /// accepted.
  std::optional<core::error_reason> RefusalReason(const wire::liveness_token& token,
                                                  core::config_version config) const;
  /// @return the end of a lease that starts at the token's heartbeat; nothing if the token is
  /// stale.
  std::optional<core::mono_time> LeaseEnd(const wire::liveness_token& token) const;

 private:
  const core::clock& time_;
  const heartbeat_log& heartbeats_;
  worker_state& state_;
};

}  // namespace coltsfoot::agent
