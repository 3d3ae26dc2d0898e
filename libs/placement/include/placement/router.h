#pragma once

#include <memory>
#include <optional>
#include <span>

#include "core/random_source.h"
#include "placement/policy.h"

namespace coltsfoot::placement {

/// Service request that needs a target.
struct routing_request {
  membership::name_id service = membership::kNoName;
  membership::name_id own_zone = membership::kNoName;  ///< zone of the entry
  std::span<const worker_index> excluded;              ///< workers already tried
  bool idempotent = true;  ///< only idempotent requests probe a quarantined worker
};

/// Target chosen for a request.
struct routing_choice {
  worker_index worker = kNoWorker;
  bool is_probe = false;  ///< the worker is `probe_due`; report the probe to the quarantine
  bool operator==(const routing_choice&) const = default;
};

/// Chooses targets for service requests.
class routing_policy {
 public:
  virtual ~routing_policy() = default;
  /// @return a dispatchable worker with the service that is neither excluded nor quarantined, or
  /// nothing if there is none. Does not change the tables; call
  /// `membership::worker_table::OnRequestSent` when the request is sent.
  virtual std::optional<routing_choice> Route(const routing_request& request,
                                              const placement_view& view, core::mono_time now,
                                              core::random_source& random) = 0;
};

/// @return a policy of the given kind. `weighted` compares two random targets by pending requests
/// per slot, expected service time and predicted interference, and takes the one in the zone of the
/// entry if their costs are about equal.
std::unique_ptr<routing_policy> MakeRoutingPolicy(policy_kind kind);

}  // namespace coltsfoot::placement
