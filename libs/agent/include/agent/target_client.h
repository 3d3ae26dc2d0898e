#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/result_code.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// State and capacity that a target announces each second.
struct target_announcement {
  std::string target;
  std::string instance;  ///< differs for each start of the target
  wire::endpoint address;
  std::vector<std::string> services;
  core::resources total;
  std::uint32_t slots = 0;        ///< maximum number of requests that run at a time
  std::uint32_t connections = 0;  ///< maximum number of requests that run or wait
  bool operator==(const target_announcement&) const = default;
};

/// One assignment of a task, as sent to the target.
struct task_spec {
  std::string task;
  core::epoch_number epoch = 0;
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  std::string team;
  std::string task_class;
  core::task_kind kind = core::task_kind::batch;
  core::resources need;
  std::uint32_t expected_ms = 0;
  std::string payload;
  std::string checkpoint;
  core::mono_time lease_until;  ///< the target stops the task at this time
  bool operator==(const task_spec&) const = default;
};

/// Outcome of a call that starts a task.
enum class start_outcome : std::uint8_t {
  started,
  epoch_known,  ///< the target has seen this epoch or a higher one
  refused,      ///< the target cannot start the task and has not run it
  not_sent,     ///< the connection failed, so the target did not receive the call
  unknown,      ///< the task may or may not run
};

struct start_result {
  start_outcome outcome = start_outcome::unknown;
  std::string reason;
  bool operator==(const start_result&) const = default;
};

/// A task in the target's list.
struct listed_task {
  task_spec spec;
  bool ended = false;
  bool operator==(const listed_task&) const = default;
};

struct task_listing {
  std::string instance;
  std::vector<listed_task> tasks;
  bool operator==(const task_listing&) const = default;
};

/// Action of the target on a running task.
enum class target_action : std::uint8_t { checkpoint, throttle, unthrottle, stop };

enum class control_outcome : std::uint8_t { done, not_running, failed };

struct control_result {
  control_outcome outcome = control_outcome::failed;
  std::string checkpoint;
  bool operator==(const control_result&) const = default;
};

/// New deadline of an execution lease.
struct lease_deadline {
  std::string task;
  core::epoch_number epoch = 0;
  core::mono_time lease_until;
  bool operator==(const lease_deadline&) const = default;
};

/// Type of an event at the target. All but `usage` end an assignment.
enum class target_event_type : std::uint8_t { finished, failed, lapsed, usage };

struct target_event {
  std::uint64_t id = 0;
  target_event_type type = target_event_type::usage;
  std::string task;
  core::epoch_number epoch = 0;
  std::string result;
  std::string checkpoint;
  std::uint32_t run_ms = 0;
  core::resources observed;
  std::uint32_t age_ms = 0;
  std::vector<wire::usage_sample> samples;
  bool operator==(const target_event&) const = default;
};

struct event_batch {
  std::string instance;
  std::uint64_t next = 0;  ///< position to continue from
  std::vector<target_event> events;
  bool operator==(const event_batch&) const = default;
};

/// A request for one of the target's services.
struct service_request {
  std::string id;
  std::string service;
  std::string team;
  bool idempotent = true;
  core::milliseconds time_left{0};  ///< until the caller's deadline
  core::milliseconds timeout{0};    ///< after which the HTTP call is aborted
  std::string body;
  bool operator==(const service_request&) const = default;
};

/// Outcome of a service request, with the complete response body if `code` is ok.
struct service_answer {
  core::result_code code = core::result_code::ok;
  std::string reason;
  std::string body;
  bool operator==(const service_answer&) const = default;
};

/// Client of the target's protocol. Each callback runs exactly once, on the control thread, and
/// never from within the call. Calls go to the address that was set last.
class target_client {
 public:
  virtual ~target_client() = default;
  /// Sets the address for subsequent calls.
  virtual void SetTarget(const wire::endpoint& address) = 0;
  virtual void Start(const task_spec& task, std::function<void(start_result)> done) = 0;
  /// Lists the target's tasks. `done` receives nothing if the call failed.
  virtual void List(std::function<void(std::optional<task_listing>)> done) = 0;
  virtual void Control(const std::string& task, core::epoch_number epoch, target_action action,
                       std::function<void(control_result)> done) = 0;
  /// Sends new lease deadlines. `done` receives false if the call failed.
  virtual void PushLeases(const std::vector<lease_deadline>& leases,
                          std::function<void(bool)> done) = 0;
  /// Waits up to `timeout` for events from position `since`. `done` receives nothing if the call
  /// failed.
  virtual void PollEvents(std::uint64_t since, core::milliseconds timeout,
                          std::function<void(std::optional<event_batch>)> done) = 0;
  virtual void Run(const service_request& request, std::function<void(service_answer)> done) = 0;
};

}  // namespace coltsfoot::agent
