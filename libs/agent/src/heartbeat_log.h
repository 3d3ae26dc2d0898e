#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.h"

namespace coltsfoot::agent {

/// Send times of the agent's recent heartbeats, on its own monotonic clock. A lease starts when the
/// heartbeat is sent, which is before any entry can have acknowledged it.
class heartbeat_log {
 public:
  explicit heartbeat_log(core::milliseconds lease_ttl) : lease_ttl_(lease_ttl) {}

  /// Records that the next heartbeat is about to be sent.
  /// @return its sequence number.
  std::uint64_t Add(core::mono_time now);
  /// @return the end of a lease that starts at heartbeat `seq`; nothing if that heartbeat is older
  /// than the lease time at `now` or was never sent.
  std::optional<core::mono_time> LeaseEnd(std::uint64_t seq, core::mono_time now) const;

 private:
  struct sent_heartbeat {
    std::uint64_t seq;
    core::mono_time at;
  };
  core::milliseconds lease_ttl_;
  std::uint64_t last_seq_ = 0;
  std::deque<sent_heartbeat> sent_;
};

}  // namespace coltsfoot::agent
