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

/// HTTP API for callers and operators. All calls run on the control thread. A call for a shard that
/// another entry owns is forwarded to it, at most once.
class api {
 public:
  /// Components of the entry that the API uses; all must outlive it.
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
    std::size_t max_requests_in_progress;  ///< of callers
  };

  explicit api(dependencies deps) : deps_(deps) {}

  /// Handles one call. One that would wait for the end of a task while such waits take their share
  /// of the requests in progress does not wait.
  /// @param forwarded true if another entry sent the call, which is then not forwarded again.
  void Handle(const http::request& call, bool forwarded, http::responder respond);
  /// Answers long polls whose wait time has passed and retries pending forwards.
  void Tick();
  /// Refuses new work from now on. The next tick answers the long polls with the current state.
  void StartShutdown();
  /// @return the number of long polls and pending forwards that have not been answered.
  std::size_t pending_calls() const noexcept {
    return long_polls_.size() + pending_forwards_.size();
  }

 private:
  struct call_context {
    const http::request& call;
    bool forwarded;
    http::responder respond;
    std::vector<std::string_view> path;  ///< segments after "/v1"
    bool waits = false;                  ///< counted in `task_waits_`
  };
  struct long_poll {
    core::mono_time until;
    std::function<void()> answer;
  };
  /// Call for a shard without a reachable owner. Nothing has been sent to another entry yet.
  struct pending_forward {
    http::request call;
    http::responder respond;
    core::shard_index shard = 0;
    core::mono_time deadline;
    core::mono_time until;
    bool waits = false;  ///< as in `call_context`
  };
  using long_poll_list = std::list<long_poll>;
  using merge_function = std::function<http::response(const std::vector<std::string>& bodies)>;

  void Dispatch(call_context context);
  void Route(call_context& context);
  void RouteTasks(call_context& context);
  void RouteConfig(call_context& context);
  http::response Readiness() const;
  /// Counts a refusal and answers the call with the error.
  void Refuse(const call_context& context, core::result_code code, const std::string& reason);

  void HandleServiceRequest(call_context& context);
  void RunNonIdempotent(call_context& context, service_request request, const std::string& key);
  void SubmitTask(call_context& context);
  void HandleTaskCall(call_context& context);
  /// Counts the call in `task_waits_` until it is answered.
  /// @return false if such calls take their share of the requests in progress.
  bool CountWait(call_context& context);
  void ShowTask(const std::string& task, core::shard_index shard, core::milliseconds wait,
                const http::responder& respond);
  void ListTasks(call_context& context);
  void ListWorkers(const http::responder& respond);
  void ListTeams(call_context& context);
  void ConfigStatus(const http::responder& respond);
  void ChangeConfig(std::optional<core::config_version> base, const std::string& author,
                    const config_controller::change_function& change, http::responder respond);
  /// Forwards the call to the owner of the shard, or refuses it if it was already forwarded.
  /// Without a reachable owner the call waits for one, at most for `2 * store_lease_ttl`.
  void ForwardToOwner(call_context& context, core::shard_index shard, core::mono_time deadline);
  bool HasReachableOwner(core::shard_index shard) const;
  void RetryPendingForwards();
  /// Sends the call to all other entries and merges their answers with `own`.
  /// @param own body of this entry's answer.
  void FanOut(call_context& context, std::string own, merge_function merge);
  /// @return the time until the deadline of the call; empty, with the error set, if the header is
  /// invalid.
  std::optional<core::milliseconds> DeadlineOf(const http::request& call, core::last_error& error);

  dependencies deps_;
  bool shutting_down_ = false;
  long_poll_list long_polls_;
  std::size_t task_waits_ = 0;  ///< calls from callers that wait for the end of a task
  std::list<pending_forward> pending_forwards_;
};

}  // namespace coltsfoot::entry
