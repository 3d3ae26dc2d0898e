#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/service_time.h"
#include "blame/quarantine.h"
#include "config_controller.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "membership/worker_table.h"
#include "metrics/registry.h"
#include "placement/router.h"
#include "retry/hedge_policy.h"
#include "retry/retry_budget.h"
#include "retry/retry_policy.h"
#include "service_request.h"
#include "wire/messages.h"

namespace coltsfoot::entry {

/// Interface for sending frames to the agents of workers. Mocked in tests.
class agent_gateway {
 public:
  virtual ~agent_gateway() = default;
  /// @return false if the link to the agent is not up; nothing was sent then.
  virtual bool Send(const std::string& worker, std::string frame) = 0;
};

/// Routes service requests to targets: admission, target selection, retries, hedges and deadlines.
/// Each request completes exactly once; later answers are dropped.
class request_router {
 public:
  /// Returns the tables that a routing decision reads.
  using view_function = std::function<placement::placement_view()>;

  request_router(membership::worker_table& workers, config_controller& config,
                 blame::quarantine& quarantine, agent_gateway& agents, view_function view,
                 std::string own_zone, const core::clock& time, core::random_source& random,
                 metrics::registry& metrics);

  /// Admits a request, or refuses it. Its `done` may run before this returns.
  void Submit(service_request request);
  /// Handles the answer to an attempt. An answer to an abandoned attempt is counted and dropped.
  void OnReply(const std::string& worker, const wire::request_reply& reply);
  /// Ends all attempts in flight at a worker whose link was lost.
  void OnLinkLost(const std::string& worker);
  /// Discards the state of a forgotten worker, because its index will be reused.
  void OnWorkerForgotten(membership::worker_index worker) {
    limits_.erase(worker);
    unlinked_until_.erase(worker);
  }
  /// Runs due deadlines, retries and hedges, and expires and dispatches queued requests.
  void Tick();
  /// @return the number of requests that have not completed.
  std::size_t active() const noexcept { return requests_.size(); }

 private:
  struct attempt {
    std::uint32_t number = 0;
    membership::worker_index worker = membership::kNoWorker;
    core::mono_time sent;
    bool hedge = false;
    bool probe = false;  ///< checks whether a quarantined worker has recovered
  };
  struct active_request {
    service_request request;
    core::mono_time arrived;
    std::vector<attempt> in_flight;
    std::vector<membership::worker_index> tried;
    std::uint32_t attempts = 0;
    core::nanoseconds occupied{0};  ///< total duration of the ended attempts
    core::nanoseconds last_delay{0};
    bool dispatched = false;    ///< counted as in flight by the queue of its service
    bool may_have_run = false;  ///< an ended attempt was not known to be "not run"
    core::result_code last_code = core::result_code::no_target;
    std::string last_reason;
  };
  enum class timer_kind : std::uint8_t { deadline, retry, hedge };
  struct timer {
    core::mono_time at;
    std::uint64_t request = 0;
    timer_kind kind = timer_kind::deadline;
    bool operator>(const timer& other) const noexcept { return at > other.at; }
  };
  struct service_state {
    explicit service_state(std::size_t queue_limit, double retry_percent)
        : queue(queue_limit), budget(retry_percent) {}
    admission::fair_queue queue;
    admission::service_time expected;
    retry::retry_budget budget;
    retry::hedge_policy hedge;
    metrics::latency_histogram* latency = nullptr;
    metrics::counter* answered = nullptr;
  };
  struct picked_target {
    membership::worker_index worker = membership::kNoWorker;
    bool is_probe = false;
  };

  service_state& Service(const std::string& name);
  void ApplySettings(const std::string& name, service_state& state);
  std::optional<picked_target> PickTarget(const active_request& row, core::result_code* why);
  std::optional<picked_target> PickExcluding(std::vector<membership::worker_index> excluded,
                                             const active_request& row, core::result_code* why);
  admission::concurrency_limit& Limit(membership::worker_index worker);
  void Dispatch(std::uint64_t id, const picked_target& target, bool hedge);
  void DispatchOrFail(std::uint64_t id);
  bool SendAttempt(std::uint64_t id, const active_request& row, const attempt& sent);
  void EndAttempt(std::uint64_t id, const attempt& ended, core::result_code code,
                  std::string reason);
  void CompleteWithAnswer(std::uint64_t id, const attempt& ended, std::string body);
  void Complete(std::uint64_t id, request_outcome outcome);
  void Refuse(std::uint64_t id, core::result_code code, std::string reason);
  void DispatchQueued(const std::string& service);
  void OnTimer(const timer& due);
  void OnDeadline(std::uint64_t id, const active_request& row);
  void PlanHedge(std::uint64_t id, active_request& row);
  void ReleaseLimit(active_request& row, const attempt& ended, admission::load_signal signal);
  void CancelAttemptsInFlight(std::uint64_t id, active_request& row);
  void Schedule(core::mono_time at, std::uint64_t id, timer_kind kind);

  membership::worker_table& workers_;
  config_controller& config_;
  blame::quarantine& quarantine_;
  agent_gateway& agents_;
  view_function view_;
  membership::name_id own_zone_;
  const core::clock& time_;
  core::random_source& random_;
  metrics::registry& metrics_;
  placement::policy_kind policy_kind_ = placement::policy_kind::weighted;
  std::unique_ptr<placement::routing_policy> routing_;
  core::config_version applied_config_ = 0;
  std::uint64_t next_id_;
  std::unordered_map<std::uint64_t, active_request> requests_;
  std::map<std::string, service_state, std::less<>> services_;
  std::unordered_map<membership::worker_index, admission::concurrency_limit> limits_;
  /// Workers without a link; until the given time they are picked only if no other worker can be
  /// picked.
  std::map<membership::worker_index, core::mono_time> unlinked_until_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  core::mono_time next_queue_expiry_{};
};

}  // namespace coltsfoot::entry
