#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "claim_controller.h"
#include "config_controller.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "entry/options.h"
#include "http/server.h"
#include "ledger/shard_manager.h"
#include "membership/worker_table.h"
#include "metrics/registry.h"
#include "peer_directory.h"
#include "request_router.h"
#include "task_controller.h"

namespace coltsfoot::entry {

/// HTTP API for callers and operators. All calls run on the control thread. A call about a shard
/// that this entry does not own is forwarded to the owner once.
class api {
 public:
  /// Parts of the entry that the API uses; all outlive it.
  struct dependencies {
    const entry_options& options;
    ledger::shard_manager& ledger;
    membership::worker_table& workers;
    config_controller& config;
    request_router& router;
    claim_controller& claims;
    task_controller& tasks;
    peer_directory& peers;
    const core::clock& time;
    core::random_source& random;
    metrics::registry& metrics;
  };

  explicit api(dependencies deps) : deps_(deps) {}

  /// Handles one call.
  /// @param forwarded true if another entry sent it; it is then not forwarded again.
  void Handle(const http::request& call, bool forwarded, http::responder respond);
  /// Answers waiting calls whose time has passed.
  void Tick();
  /// From now on refuses new work; waiting calls are answered with the present state.
  void StartShutdown();
  /// @return calls that have not been answered and are not requests to a service.
  std::size_t pending_calls() const noexcept {
    return long_polls_.size() + pending_forwards_.size();
  }

 private:
  struct call_context {
    const http::request& call;
    bool forwarded;
    http::responder respond;
    std::vector<std::string_view> path;  ///< segments after "/v1"
  };
  struct long_poll {
    core::mono_time until;
    std::function<void()> answer;
  };
  /// Call about a shard without a reachable owner. Nothing of it was sent anywhere.
  struct pending_forward {
    http::request call;
    http::responder respond;
    core::shard_index shard = 0;
    core::mono_time deadline;
    core::mono_time until;
  };
  using long_poll_list = std::list<long_poll>;
  using merge_function = std::function<http::response(const std::vector<std::string>& bodies)>;

  void Route(call_context& context);
  void RouteTasks(call_context& context);
  void RouteConfig(call_context& context);
  http::response Readiness() const;
  /// Counts a refusal and answers it.
  void Refuse(const call_context& context, core::result_code code, const std::string& reason);

  void HandleServiceRequest(call_context& context);
  void RunNonIdempotent(call_context& context, service_request request, const std::string& key);
  void SubmitTask(call_context& context);
  void HandleTaskCall(call_context& context);
  void ShowTask(const std::string& task, core::shard_index shard, core::milliseconds wait,
                const http::responder& respond);
  void ListTasks(call_context& context);
  void ListWorkers(const http::responder& respond);
  void ListTeams(call_context& context);
  void ConfigStatus(const http::responder& respond);
  void ChangeConfig(std::optional<core::config_version> base, const std::string& author,
                    const config_controller::change_function& change, http::responder respond);
  /// Forwards to the owner of a shard, or answers why that is not possible.
  void ForwardToOwner(call_context& context, core::shard_index shard, core::mono_time deadline);
  bool HasReachableOwner(core::shard_index shard) const;
  void RetryPendingForwards();
  /// Collects the answers of all entries to the same call.
  void FanOut(call_context& context, std::string own, merge_function merge);
  /// @return the time for which the call may run.
  std::optional<core::milliseconds> DeadlineOf(const http::request& call, core::last_error& error);

  dependencies deps_;
  bool shutting_down_ = false;
  long_poll_list long_polls_;
  std::list<pending_forward> pending_forwards_;
};

}  // namespace coltsfoot::entry
