#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/types.h"
#include "wire/messages.h"

/// Messages between coordinator, agents and entries. Timestamps are from the sender's monotonic
/// clock; receivers only echo them.
namespace coltsfoot::jobs {

/// State of an agent's target, as the agent sees it.
enum class target_state : std::uint8_t {
  unknown,   ///< the target has not announced itself
  ready,     ///< accepts tasks
  draining,  ///< leaves soon; accepts no new tasks
  silent,    ///< does not answer; its tasks may still be running
  gone,      ///< has left, or the leases of all its tasks have expired
};

/// One incarnation of a target. A restarted target may reuse its name, so the start time is part of
/// its identity.
struct target_incarnation {
  std::string name;
  std::uint64_t started_ms = 0;
  auto operator<=>(const target_incarnation&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, started_ms);
  }
};

/// A task that is running on the target.
struct running_task {
  task_id task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t progress = 0;  ///< percent
  std::uint32_t reading = 0;   ///< long-running: tail latency (ms); others: processor millis used
  std::uint32_t pace = 100;    ///< percent of full speed at which the agent lets a filling task run
  bool operator==(const running_task&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run, checkpoint, progress, reading, pace);
  }
};

/// A run that ended on the target. `number` increases within one incarnation of the target.
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

/// Maximum number of ended runs in a target's list. It holds the oldest unconfirmed ones.
inline constexpr std::size_t kMaxListedEnds = 500;

/// Identifies a run of a task.
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
  old_run,  ///< this run or a later one of the task has already ended on the target
  late,     ///< the lease in the command had already expired
  no_room,
  unhealthy,
  malformed,
  not_sent,  ///< the agent refused: target draining or of another incarnation, or no lease
  expired,   ///< the agent refused: it is later than `start_command::expires_ms`
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

/// A run that the target had begun, or seems to have begun, before it crashed.
struct crashed_run {
  run_id run;
  std::uint32_t age_ms = 0;  ///< time from its start to the last sign of life of the target
  bool answered = true;      ///< the target had answered its start or listed it
  bool operator==(const crashed_run&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, age_ms, answered);
  }
};

/// A run that was this young when its target crashed may have caused the crash.
inline constexpr core::milliseconds kSuspectAge{100};

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

/// Agent to coordinator. If `listed` is set, `running`, `starting` and `ended` are complete
/// lists, except as `ends_omitted` tells. Otherwise `running` and `ended` are omitted, and
/// `starting` names what a target without lists may still execute.
struct worker_report {
  static constexpr auto kType = wire::message_type::worker_report;
  std::string agent;
  std::uint64_t agent_incarnation = 0;  ///< differs for each start of the agent
  std::uint64_t term = 0;               ///< highest term that the agent has seen
  std::int64_t sent_ms = 0;             ///< echoed in `lease_grant`
  std::uint64_t commands_seen = 0;  ///< sequence of the last commands received on this connection
  target_state state = target_state::unknown;
  target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  bool listed = false;
  bool ends_omitted = false;  ///< the target may have ended more runs than it lists at a time
  std::vector<running_task> running;
  std::vector<run_id> starting;      ///< start was commanded, outcome not known yet
  std::vector<ended_run> ended;      ///< not yet confirmed by the coordinator
  std::vector<refused_run> refused;  ///< since the last report
  std::vector<crashed_run> crashed;  ///< since the last report, in crashes of earlier incarnations
  bool operator==(const worker_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(agent, agent_incarnation, term, sent_ms, commands_seen, state, incarnation, service,
            zone, labels, capacity, listed, ends_omitted, running, starting, ended, refused,
            crashed);
  }
};

/// Estimate of the headroom that filling tasks of `image` take from serving tasks of `victim`; see
/// `headroom_model`.
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

/// Coordinator to agent: extends the lease of all tasks on the target, counted from `echo_ms`, and
/// confirms the ends of runs that are stored.
struct lease_grant {
  static constexpr auto kType = wire::message_type::lease_grant;
  std::uint64_t term = 0;
  std::int64_t echo_ms = 0;
  target_incarnation incarnation;
  std::uint64_t stored_end = 0;          ///< ends of `incarnation` up to this number are stored
  std::vector<pair_pressure> pressures;  ///< those that changed, for images on this worker
  bool operator==(const lease_grant&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, echo_ms, incarnation, stored_end, pressures);
  }
};

/// Properties of a task that the agent needs while its target runs the task.
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
  bool repeated = false;  ///< an earlier process of the agent may have sent it to the target
  /// Time on the agent's monotonic clock, in ms, after which it must not send the start to the
  /// target; 0: none.
  std::int64_t expires_ms = 0;
  bool operator==(const start_command&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(facts, payload, checkpoint, repeated, expires_ms);
  }
};

/// Coordinator to agent: runs to start and stop on one incarnation of the target.
struct worker_commands {
  static constexpr auto kType = wire::message_type::worker_commands;
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  target_incarnation incarnation;
  std::vector<start_command> starts;
  std::vector<run_id> stops;
  std::vector<task_facts> facts;  ///< of running tasks that this agent did not start
  bool operator==(const worker_commands&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, sequence, incarnation, starts, stops, facts);
  }
};

/// Kind of a query from an entry to the coordinating entry.
enum class query_kind : std::uint8_t {
  show,              ///< get the state of a job
  count_waiting,     ///< count the waiting jobs of a queue
  store_job,         ///< store a job for an entry that cannot reach the store
  store_cancel,      ///< store a cancellation for an entry that cannot reach the store
  offer_leadership,  ///< an entry on a stronger host offers to take over as coordinator
};

/// Entry to the coordinating entry.
struct job_query {
  static constexpr auto kType = wire::message_type::job_query;
  std::uint64_t number = 0;
  query_kind kind = query_kind::show;
  std::string queue;
  std::string job;
  std::string host;                  ///< `Host` of the submission, to find its queue again
  std::string path;                  ///< path of the submission
  std::string record;                ///< encoded `job_record` to store
  std::string config_key;            ///< key of the configuration under which the job was admitted
  std::uint64_t config_version = 0;  ///< version of that configuration
  std::uint32_t time_left_ms = 0;    ///< time until the caller's deadline
  std::uint32_t processor_millis = 0;  ///< capacity of the offering host, for `offer_leadership`
  bool operator==(const job_query&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, kind, queue, job, host, path, record, config_key, config_version, time_left_ms,
            processor_millis);
  }
};

/// Outcome of a query.
enum class query_outcome : std::uint8_t {
  found,
  absent,
  not_coordinator,  ///< the query was not sent or not executed
  lost,             ///< no answer; the query may have been executed
};

struct job_answer {
  static constexpr auto kType = wire::message_type::job_answer;
  std::uint64_t number = 0;
  query_outcome outcome = query_outcome::not_coordinator;
  job_state state = job_state::queued;
  std::uint64_t waiting = 0;
  core::result_code code = core::result_code::ok;  ///< result of `store_job` and `store_cancel`
  bool operator==(const job_answer&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, outcome, state, waiting, code);
  }
};

}  // namespace coltsfoot::jobs
