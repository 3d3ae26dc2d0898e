#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "core/resources.h"
#include "http/message.h"

namespace coltsfoot::fakes {

/// Follows the request body in each answer, then the worker and ';'. A caller checks with it that
/// an answer is whole and belongs to its own request.
inline constexpr std::string_view kAnswerMark = "#answered-by=";

/// Slowdown of class `victim` when class `aggressor` fills the whole worker. It is proportional to
/// the aggressor's share of the worker.
struct interference_rule {
  std::string victim;
  std::string aggressor;
  std::int64_t permille = 0;
  bool operator==(const interference_rule&) const = default;
};

/// Fixed properties of a target.
struct target_options {
  std::string id;
  std::string instance;
  std::vector<std::string> services;
  core::resources capacity;
  std::size_t slots = 8;
  std::size_t connections = 64;
  double service_ms = 10;
  double service_spread_ms = 0;  ///< half width of the uniform distribution of the service time
  std::uint64_t seed = 1;
  std::vector<interference_rule> interference;
  bool operator==(const target_options&) const = default;
};

/// Faults that a test injects.
struct target_faults {
  bool fail_every_task = false;  ///< each task fails as soon as it has started
  bool fail_requests = false;    ///< each request runs and is answered with status 500
  double slow_factor = 1;        ///< divides the speed of all work
  double noise = 0;              ///< maximum random increase of a service time, in percent
  std::int64_t usage_delay_ms = 0;
  bool operator==(const target_faults&) const = default;
};

/// Stand-in for a worker's target, without sockets: serves requests and runs tasks under leases by
/// its clock. Not safe to use from several threads.
class target {
 public:
  using responder = std::function<void(http::response)>;
  /// Receives each line of the ground truth, a JSON object without line end, before the effect
  /// becomes visible to the agent.
  using truth_sink = std::function<void(const std::string& line)>;

  target(const core::clock& time, target_options options, target_faults faults, truth_sink truth);

  /// Handles one call of the agent or of a test; a service request or a long poll for events may be
  /// answered by a later call.
  void Handle(const http::request& received, responder respond);
  /// Advances all work to the current time, stops tasks whose lease has expired, answers polls.
  void Tick();

  /// @return the body of an announcement.
  std::string AnnounceBody(std::string_view address, std::uint16_t port) const;
  /// Refuses new work and stops all tasks with a `lapsed` event that carries the checkpoint.
  void Drain();
  /// @return true if no request is in progress.
  bool idle() const noexcept { return serving_.empty() && queued_.empty(); }
  /// @return true if the agent has asked for the events after the last terminal one.
  bool events_delivered() const noexcept { return acknowledged_ >= last_terminal_event_; }
  /// Answers all pending long polls for events.
  void AnswerAllPolls();

 private:
  enum class run_state : std::uint8_t { running, throttled, ended };
  struct task_run {
    std::string id;
    core::epoch_number epoch = 0;
    core::shard_index shard = 0;
    core::fencing_token fence = 0;
    std::string team;
    std::string task_class;
    std::string kind;
    core::resources need;
    core::resources used;
    std::int64_t expected_ms = 0;
    std::string payload;
    std::string key;  ///< member `key` of a JSON payload
    std::string checkpoint;
    core::mono_time lease_until;
    core::mono_time started;
    run_state state = run_state::running;
    bool must_fail = false;
    double progress_ms = 0;
    double work_ms = 0;
  };
  struct service_request {
    std::string service;
    std::string id;
    std::string key;
    std::string body;
    core::mono_time deadline;
    double remaining_ms = 0;
    responder respond;
  };
  struct event {
    std::uint64_t id = 0;
    bool is_usage = false;
    core::mono_time at;
    std::string body;  ///< members of the JSON object, without braces
  };
  struct event_poll {
    std::uint64_t since = 0;
    core::mono_time expires;
    responder respond;
  };

  http::response StartTask(const http::request& received);
  http::response ListTasks() const;
  http::response ControlTask(const http::request& received);
  http::response RenewLeases(const http::request& received);
  http::response SetFaults(const http::request& received);
  void HandleEvents(const http::request& received, responder respond);
  void HandleServiceRequest(const http::request& received, responder respond);

  void Advance();
  void AdvanceTasks(core::mono_time now);
  void AdvanceRequests(core::mono_time now);
  void StartQueued(core::mono_time now);
  void FinishRequest(service_request& item);
  void EndTask(const std::string& id, std::string_view event_type, std::string_view truth_event,
               std::string_view reason, core::mono_time at);
  void SampleUsage(core::mono_time now);
  void AddEvent(event item);
  void AnswerDuePolls();
  std::string EventsSince(std::uint64_t since) const;

  double Speed(const std::string& work_class, const task_run* self) const;
  double LoadOf(const std::string& work_class, const task_run* self) const;
  core::resources Committed() const;
  void TaskTruth(std::string_view name, const task_run& run, std::string_view reason,
                 core::mono_time at);
  void RequestTruth(std::string_view name, const service_request& item);

  const core::clock& time_;
  target_options options_;
  target_faults faults_;
  truth_sink truth_;
  core::seeded_random random_;
  core::mono_time advanced_to_;
  core::mono_time last_usage_;
  bool draining_ = false;
  std::map<std::string, task_run> running_;
  std::map<std::string, core::epoch_number> known_epochs_;
  std::deque<task_run> ended_;
  std::vector<service_request> serving_;
  std::deque<service_request> queued_;
  std::deque<event> delayed_usage_;
  std::deque<event> events_;
  std::vector<event_poll> polls_;
  std::uint64_t next_event_ = 1;
  std::uint64_t last_terminal_event_ = 0;
  std::uint64_t acknowledged_ = 0;
};

}  // namespace coltsfoot::fakes
