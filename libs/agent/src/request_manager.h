#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "admission_gate.h"
#include "agent/capacity_ledger.h"
#include "agent/entry_link.h"
#include "agent/target_client.h"
#include "entry_directory.h"
#include "metrics/registry.h"

namespace coltsfoot::agent {

/// Runs service requests: admits them by slots, connections and deadlines, sends them to the target
/// and replies to the entry.
class request_manager {
 public:
  request_manager(const core::clock& time, metrics::registry& metrics, capacity_ledger& ledger,
                  const worker_state& state, const entry_directory& entries, target_client& target,
                  entry_link& link);

  /// Sets the services that the target offers.
  void SetServices(const std::vector<std::string>& services);
  /// Handles a request.
  /// @param refusal reason of the admission gate for refusing it; nothing if the gate accepted it.
  void Dispatch(connection_id from, wire::dispatch_request request,
                const std::optional<core::error_reason>& refusal);
  /// Drops the request if it still waits for a slot.
  void Cancel(connection_id from, const wire::cancel_request& request);
  /// Drops the queued requests of a connection that has ended; running ones continue.
  void OnDisconnected(connection_id connection);
  /// Refuses queued requests that can no longer finish before their deadline, and replies to
  /// running ones whose deadline has passed.
  void Tick();

  /// @return the load of each service that the target offers.
  std::vector<wire::service_load> Loads() const;
  /// @return true if no request runs or waits.
  bool idle() const noexcept { return active_.empty(); }
  std::size_t queued() const noexcept { return queue_.size(); }

 private:
  struct request_key {
    connection_id connection = 0;
    std::uint64_t request_id = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(const request_key&) const = default;
  };
  struct active_request {
    wire::dispatch_request request;
    core::mono_time deadline;
    core::mono_time started;
    bool running = false;
    std::size_t body_bytes = 0;
    bool replied = false;  ///< the reply was sent; the target still works on the request
  };
  struct service_state {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    core::nanoseconds average{0};
    core::mono_time updated;
  };

  std::optional<core::error_reason> RefusalReason(const wire::dispatch_request& request) const;
  bool CanMeetDeadline(const active_request& item, core::nanoseconds wait) const;
  core::nanoseconds Average(const std::string& service) const;
  core::nanoseconds ExpectedWait(const std::string& service) const;
  void StartQueued();
  void Start(const request_key& key, active_request& item);
  /// Removes a request and releases its connection.
  active_request Remove(const request_key& key);
  void Finish(const request_key& key, service_answer answer);
  void AddSample(service_state& service, core::nanoseconds duration);
  void DropQueued(const request_key& key, const core::error_reason& reason);
  void Reply(const request_key& key, const std::string& service, core::error_reason reason,
             std::string body);

  const core::clock& time_;
  metrics::registry& metrics_;
  metrics::latency_histogram& service_time_;
  capacity_ledger& ledger_;
  const worker_state& state_;
  const entry_directory& entries_;
  target_client& target_;
  entry_link& link_;
  std::map<std::string, service_state> services_;
  std::map<request_key, active_request> active_;
  std::size_t body_bytes_ = 0;     ///< of all active requests
  std::deque<request_key> queue_;  ///< in the order of arrival
};

}  // namespace coltsfoot::agent
