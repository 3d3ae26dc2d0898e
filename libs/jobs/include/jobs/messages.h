#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/types.h"
#include "wire/messages.h"

/// Messages between coordinator, agents and entries. Times are on the sender's monotonic clock and
/// are only echoed.
namespace coltsfoot::jobs {

/// State of an agent's target.
enum class target_state : std::uint8_t {
  unknown,   ///< the target has not announced itself
  ready,     ///< takes tasks
  draining,  ///< leaves soon; takes no new tasks
  silent,    ///< does not answer; what it runs may still be running
  gone,      ///< left, or all that it ran has lapsed
};

/// One incarnation of a target. A target that restarts may keep its name.
struct target_incarnation {
  std::string name;
  std::uint64_t started_ms = 0;
  auto operator<=>(const target_incarnation&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, started_ms);
  }
};

/// A task that the target runs.
struct running_task {
  task_id task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t progress = 0;  ///< percent
  std::uint32_t reading = 0;   ///< tail latency (ms) of a long-running task, else processors in use
  std::uint32_t pace = 100;    ///< percent that the agent lets a filling task work
  bool operator==(const running_task&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run, checkpoint, progress, reading, pace);
  }
};

/// A run that ended at the target. Numbers rise within one incarnation of the target.
struct ended_run {
  std::uint64_t number = 0;
  task_id task;
  std::uint32_t run = 0;
  end_reason reason = end_reason::done;
  std::string checkpoint;
  bool operator==(const ended_run&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, task, run, reason, checkpoint);
  }
};

/// A run by name, for commands and their outcomes.
struct run_id {
  task_id task;
  std::uint32_t run = 0;
  auto operator<=>(const run_id&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run);
  }
};

/// Why the target did not start a run.
enum class start_refusal : std::uint8_t {
  stale_fence,
  old_run,  ///< the target has seen this run or a later one end
  late,     ///< the lease named by the command had passed
  no_room,
  unhealthy,
  malformed,
  not_sent,  ///< the agent refused: draining, another incarnation of the target, or no lease
};

/// @return the reason's name in logs and metrics.
const char* ToString(start_refusal reason) noexcept;

struct refused_run {
  run_id run;
  start_refusal reason = start_refusal::not_sent;
  bool operator==(const refused_run&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, reason);
  }
};

/// Coordinator to agent: first message on a connection.
struct coordinator_hello {
  static constexpr auto kType = wire::message_type::coordinator_hello;
  std::uint64_t term = 0;
  bool operator==(const coordinator_hello&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term);
  }
};

/// Agent to coordinator. `running`, `starting` and `ended` are whole lists if `listed` is set.
struct worker_report {
  static constexpr auto kType = wire::message_type::worker_report;
  std::string agent;
  std::uint64_t agent_incarnation = 0;  ///< differs for each start of the agent
  std::uint64_t term = 0;               ///< highest term that the agent has seen
  std::int64_t sent_ms = 0;             ///< echoed by the grant
  std::uint64_t commands_seen = 0;      ///< sequence of the last commands of this connection
  target_state state = target_state::unknown;
  target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  bool listed = false;
  std::vector<running_task> running;
  std::vector<run_id> starting;      ///< ordered, outcome not known yet
  std::vector<ended_run> ended;      ///< not yet confirmed
  std::vector<refused_run> refused;  ///< since the last report
  bool operator==(const worker_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(agent, agent_incarnation, term, sent_ms, commands_seen, state, incarnation, service,
            zone, labels, capacity, listed, running, starting, ended, refused);
  }
};

/// What filling tasks of an image take from serving tasks of another; see `headroom_model`.
struct pair_pressure {
  std::string victim;
  std::string image;
  float mean = 0;
  float variance = 0;
  bool operator==(const pair_pressure&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(victim, image, mean, variance);
  }
};

/// Coordinator to agent: extends the lease of what the target runs, counted from `echo_ms`, and
/// confirms ends that are stored.
struct lease_grant {
  static constexpr auto kType = wire::message_type::lease_grant;
  std::uint64_t term = 0;
  std::int64_t echo_ms = 0;
  target_incarnation incarnation;
  std::uint64_t stored_end = 0;          ///< ends of `incarnation` up to this number are stored
  std::vector<pair_pressure> pressures;  ///< that changed, of images at this worker
  bool operator==(const lease_grant&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, echo_ms, incarnation, stored_end, pressures);
  }
};

/// What an agent must know of a task that its target runs.
struct task_facts {
  run_id run;
  bool long_running = false;
  bool fills = false;
  std::uint32_t goal_ms = 0;
  std::int64_t cpu_millis = 0;
  std::string image;
  bool operator==(const task_facts&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, long_running, fills, goal_ms, cpu_millis, image);
  }
};

struct start_command {
  task_facts facts;
  std::string payload;
  std::string checkpoint;
  bool operator==(const start_command&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(facts, payload, checkpoint);
  }
};

/// Coordinator to agent: what to start and stop at one incarnation of the target.
struct worker_commands {
  static constexpr auto kType = wire::message_type::worker_commands;
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  target_incarnation incarnation;
  std::vector<start_command> starts;
  std::vector<run_id> stops;
  std::vector<task_facts> facts;  ///< of tasks that the agent did not start itself
  bool operator==(const worker_commands&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence, incarnation, starts, stops, facts);
  }
};

/// What an entry asks of the coordinating entry.
enum class query_kind : std::uint8_t {
  show,           ///< state of a job
  count_waiting,  ///< number of waiting jobs of a queue
  store_job,      ///< store a job for an entry that cannot reach the store
  store_cancel,   ///< store a cancellation for such an entry
  offer_lead,     ///< an entry on a stronger host offers to coordinate
};

/// Entry to the coordinating entry.
struct job_query {
  static constexpr auto kType = wire::message_type::job_query;
  std::uint64_t number = 0;
  query_kind kind = query_kind::show;
  std::string queue;
  std::string job;
  std::string record;                  ///< encoded job to store
  std::string config_key;              ///< key of the configuration that the job was decided under
  std::uint64_t config_version = 0;    ///< its version
  std::uint32_t time_left_ms = 0;      ///< until the caller stops waiting
  std::uint32_t processor_millis = 0;  ///< of the entry that offers to coordinate
  bool operator==(const job_query&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, kind, queue, job, record, config_key, config_version, time_left_ms,
            processor_millis);
  }
};

/// Outcome of a query.
enum class query_outcome : std::uint8_t {
  found,
  absent,
  not_coordinator,  ///< nothing was asked or done
  lost,             ///< no answer; what was asked may have been done
};

struct job_answer {
  static constexpr auto kType = wire::message_type::job_answer;
  std::uint64_t number = 0;
  query_outcome outcome = query_outcome::not_coordinator;
  job_state state = job_state::queued;
  std::uint64_t waiting = 0;
  core::result_code code = core::result_code::ok;  ///< of what was stored
  bool operator==(const job_answer&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, outcome, state, waiting, code);
  }
};

}  // namespace coltsfoot::jobs
