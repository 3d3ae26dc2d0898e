#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/result_code.h"

/// Messages between the processes of the system. `kType` is the number of a message on the wire.
/// Strings hold arbitrary bytes. Times are durations, never time points of another host's clock.
namespace coltsfoot::wire {

/// Protocol version; a peer with another version is refused.
inline constexpr std::uint16_t kProtocolVersion = 2;

/// Numbers of the messages on the wire.
enum class message_type : std::uint16_t {
  agent_heartbeat = 1,
  heartbeat_ack = 2,
  agent_goodbye = 3,

  hello = 10,
  dispatch_request = 11,
  request_reply = 12,
  cancel_request = 13,
  start_task = 14,
  control_task = 15,
  adopt_shard = 16,
  shard_report = 17,
  task_event = 18,
  event_ack = 19,
  usage_report = 20,

  forward_call = 30,
  forward_reply = 31,
  config_pull = 32,
  config_push = 33,
  peer_status = 34,

  coordinator_hello = 40,
  worker_report = 41,
  lease_grant = 42,
  worker_commands = 43,
  job_query = 44,
  job_answer = 45,
  worker_changes = 46,
};

/// Makes an archive write `number` as 8 raw bytes. For random numbers and hashes, which would take
/// up to 10 bytes as variable-length integers.
inline auto FullWidth(std::uint64_t& number) {
  return cereal::binary_data(std::addressof(number), sizeof(number));
}

/// IP address and port.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;
  auto operator<=>(const endpoint&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// Shard that the sender owns, with its fencing token.
struct shard_grant {
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  bool operator==(const shard_grant&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, fence);
  }
};

/// Part of the fleet configuration that an agent needs.
struct agent_policy {
  core::config_version version = 0;
  bool drain = false;
  std::uint32_t queue_limit = 0;  ///< requests that may wait for a slot
  std::uint32_t latency_critical_headroom =
      0;  ///< percent of the processors that batch may not use
  bool operator==(const agent_policy&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, drain, queue_limit, latency_critical_headroom);
  }
};

/// Load of one service on one worker.
struct service_load {
  std::string service;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t average_us = 0;  ///< moving average of the service time
  bool operator==(const service_load&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, in_flight, queued, average_us);
  }
};

/// Agent to each entry over UDP. Announces the worker and asks for renewal of its leases.
///
/// The fields from `worker` on describe the worker. They and the names of the services are sent
/// only while `described` is true, which is until the entry acknowledges this description.
struct agent_heartbeat {
  static constexpr message_type kType = message_type::agent_heartbeat;
  std::uint64_t incarnation = 0;  ///< random number of this start of the agent
  std::uint64_t seq = 0;          ///< incremented per round of heartbeats
  std::uint32_t description = 0;  ///< version of the description; grows within an incarnation
  std::uint64_t lists = 0;  ///< digest of the receiver's lists that the agent stores; 0 if none
  core::resources free;
  core::resources evictable;  ///< used by batch tasks that can be evicted for an urgent one
  std::uint32_t slots_free = 0;
  std::uint32_t connections_free = 0;
  std::uint32_t running_tasks = 0;
  core::config_version config = 0;
  bool recovering = false;
  bool draining = false;
  std::vector<service_load> services;  ///< services of a live target; empty without one

  bool described = true;
  std::string worker;
  endpoint agent_tcp;
  std::string region;
  std::string zone;
  std::string rack;
  core::resources total;
  std::uint32_t slots_total = 0;
  std::uint32_t connections_total = 0;
  bool operator==(const agent_heartbeat&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(FullWidth(incarnation), seq, description, FullWidth(lists), free, evictable, slots_free,
            connections_free, running_tasks, config, recovering, draining, described);
    if (described) {
      archive(services, worker, agent_tcp, region, zone, rack, total, slots_total,
              connections_total);
      return;
    }
    auto count = static_cast<cereal::size_type>(services.size());
    archive(cereal::make_size_tag(count));
    for (cereal::size_type index = 0; index < count; ++index) {
      if (index == services.size()) services.emplace_back();
      service_load& load = services[index];
      archive(load.in_flight, load.queued, load.average_us);
    }
  }
};

/// Entry to agent over UDP. Extends the leases of the tasks of the listed shards to the lease
/// time after the agent sent heartbeat `seq`.
///
/// `entry`, `shards` and `entries` are the lists. They are sent only if `listed` is true; otherwise
/// the agent uses the lists that it has stored for this entry, if their digest is `lists`.
struct heartbeat_ack {
  static constexpr message_type kType = message_type::heartbeat_ack;
  std::uint64_t incarnation = 0;  ///< of the agent, copied from the heartbeat
  std::uint64_t seq = 0;
  std::uint64_t lists = 0;   ///< digest of the lists; 0 if the agent must not store them
  bool undescribed = false;  ///< worker unknown to the entry; only incarnation and seq are valid
  core::config_version config = 0;
  std::optional<agent_policy> policy;   ///< present if the agent's version is lower
  std::uint32_t usage_interval_ms = 0;  ///< minimum time between two usage reports

  bool listed = true;
  std::string entry;
  std::vector<shard_grant> shards;
  std::vector<endpoint> entries;  ///< UDP endpoints of all known entries
  bool operator==(const heartbeat_ack&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(FullWidth(incarnation), seq, FullWidth(lists), undescribed, config, policy,
            usage_interval_ms, listed);
    if (listed) archive(entry, shards, entries);
  }
};

/// Agent to each entry over UDP when it starts a graceful shutdown.
struct agent_goodbye {
  static constexpr message_type kType = message_type::agent_goodbye;
  std::string worker;
  std::uint64_t incarnation = 0;
  bool operator==(const agent_goodbye&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, FullWidth(incarnation));
  }
};

/// First message on each TCP connection, from the side that connects.
struct hello {
  static constexpr message_type kType = message_type::hello;
  std::string process;  ///< id of the sender, for example "entry-1"
  bool operator==(const hello&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(process);
  }
};

/// The newest heartbeat that the sender received from the agent, as proof that it received one
/// recently. The agent refuses a message whose token is older than the lease.
struct liveness_token {
  std::uint64_t incarnation = 0;
  std::uint64_t seq = 0;
  bool operator==(const liveness_token&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(FullWidth(incarnation), seq);
  }
};

/// Entry to agent: run a service request.
struct dispatch_request {
  static constexpr message_type kType = message_type::dispatch_request;
  std::uint64_t request_id = 0;  ///< unique per entry process
  std::uint32_t attempt = 0;
  std::string service;
  std::string team;
  std::uint32_t deadline_ms = 0;  ///< remaining time
  bool idempotent = true;
  liveness_token token;
  core::config_version config = 0;
  std::optional<agent_policy> policy;
  std::string body;
  bool operator==(const dispatch_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, attempt, service, team, deadline_ms, idempotent, token, config, policy,
            body);
  }
};

/// Agent to entry: outcome of one attempt, with the load of the service at that moment.
struct request_reply {
  static constexpr message_type kType = message_type::request_reply;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 0;
  core::result_code code = core::result_code::ok;
  std::string reason;
  std::string body;
  std::uint64_t digest = 0;  ///< core::StableHash of the body
  std::uint32_t slots_free = 0;
  core::config_version config = 0;  ///< the agent's version
  service_load load;
  bool operator==(const request_reply&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, attempt, code, reason, body, FullWidth(digest), slots_free, config, load);
  }
};

/// Entry to agent: the caller no longer waits. A request that still waits for a slot is dropped.
struct cancel_request {
  static constexpr message_type kType = message_type::cancel_request;
  std::uint64_t request_id = 0;
  std::uint32_t attempt = 0;
  bool operator==(const cancel_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, attempt);
  }
};

/// Whether the start of a task may evict others. Tasks above `normal` are never evicted for others.
enum class start_priority : std::uint8_t {
  normal,
  urgent,
  urgent_makes_room,  ///< the agent evicts batch tasks if the resources are not free
};

/// Entry to agent: start one assignment of a task. Answered by a `task_event`.
struct start_task {
  static constexpr message_type kType = message_type::start_task;
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  std::string task;
  core::epoch_number epoch = 0;
  liveness_token token;
  core::config_version config = 0;
  std::optional<agent_policy> policy;
  std::string team;
  std::string task_class;
  core::task_kind kind = core::task_kind::batch;
  start_priority priority = start_priority::normal;
  core::resources need;
  std::uint32_t expected_ms = 0;
  std::string payload;
  std::string checkpoint;
  bool operator==(const start_task&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, fence, task, epoch, token, config, policy, team, task_class, kind, priority,
            need, expected_ms, payload, checkpoint);
  }
};

/// Action on a running task. `evict` and `cancel` end it; `evict` takes a checkpoint first.
enum class task_action : std::uint8_t { checkpoint, throttle, unthrottle, evict, cancel };

/// Entry to agent: act on a running task. Answered by a `task_event` for checkpoint, evict and
/// cancel.
struct control_task {
  static constexpr message_type kType = message_type::control_task;
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  std::string task;
  core::epoch_number epoch = 0;
  task_action action = task_action::checkpoint;
  bool operator==(const control_task&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, fence, task, epoch, action);
  }
};

/// One assignment of a task.
struct task_ref {
  std::string task;
  core::epoch_number epoch = 0;
  auto operator<=>(const task_ref&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, epoch);
  }
};

/// New owner of a shard to each agent: raises the fence and asks which tasks the worker runs.
struct adopt_shard {
  static constexpr message_type kType = message_type::adopt_shard;
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  bool operator==(const adopt_shard&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(shard, fence);
  }
};

/// Agent to a new owner. An assignment of the shard that is in neither list does not run on this
/// worker and, because of the raised fence, never will.
struct shard_report {
  static constexpr message_type kType = message_type::shard_report;
  std::string worker;
  std::uint64_t incarnation = 0;
  core::shard_index shard = 0;
  core::fencing_token fence = 0;
  /// ok; `recovering` if the agent does not yet know its tasks; `stale_fence` if a higher fence is
  /// known.
  core::result_code code = core::result_code::ok;
  std::vector<task_ref> running;
  std::vector<task_ref> ended;  ///< their events are resent
  bool operator==(const shard_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, FullWidth(incarnation), shard, fence, code, running, ended);
  }
};

/// Change of an assignment. All kinds but `started` and `checkpointed` end the assignment.
enum class task_event_kind : std::uint8_t {
  started,
  refused,       ///< not started; `code` says why
  checkpointed,  ///< still running; `checkpoint` is new
  finished,      ///< `result` is the complete result
  failed,        ///< ran and failed; `code` and `result` say why
  evicted,       ///< stopped after a checkpoint, or the lease expired (`lease_lapsed`)
  cancelled,
  lost,  ///< the target no longer knows the task
};

/// Agent to the owner of the task's shard. The agent resends it after each reconnection until an
/// `event_ack` arrives.
struct task_event {
  static constexpr message_type kType = message_type::task_event;
  std::string worker;
  std::uint64_t incarnation = 0;
  std::uint64_t event_id = 0;  ///< unique per incarnation
  core::shard_index shard = 0;
  std::string task;
  core::epoch_number epoch = 0;
  task_event_kind kind = task_event_kind::started;
  core::result_code code = core::result_code::ok;
  std::string result;
  std::string checkpoint;
  std::uint32_t run_ms = 0;
  core::resources observed;  ///< peak usage; zero if unknown
  bool operator==(const task_event&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, FullWidth(incarnation), event_id, shard, task, epoch, kind, code, result,
            checkpoint, run_ms, observed);
  }
};

/// Owner to agent: the event is recorded; the agent deletes it.
struct event_ack {
  static constexpr message_type kType = message_type::event_ack;
  std::uint64_t incarnation = 0;
  std::uint64_t event_id = 0;
  bool operator==(const event_ack&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(FullWidth(incarnation), event_id);
  }
};

/// Measured resource usage and slowdown of one task or service on a worker.
struct usage_sample {
  std::string task_class;  ///< class of the task, or name of the service
  std::string task;        ///< task id; empty for a service
  core::resources used;
  std::uint32_t slowdown_permille = 1000;  ///< run time relative to running alone
  bool operator==(const usage_sample&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(task_class, task, used, slowdown_permille);
  }
};

/// Agent to entries: resource usage of a worker, measured some time before.
struct usage_report {
  static constexpr message_type kType = message_type::usage_report;
  std::string worker;
  std::uint32_t age_ms = 0;  ///< how long ago the measurement was taken
  std::vector<usage_sample> samples;
  core::resources free;  ///< on the worker when the report is sent, unlike the samples
  bool operator==(const usage_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, age_ms, samples, free);
  }
};

/// Name and value, for headers and query parameters.
struct name_value {
  std::string name;
  std::string value;
  bool operator==(const name_value&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

/// Entry to entry: handle this call as the owner of the shard.
struct forward_call {
  static constexpr message_type kType = message_type::forward_call;
  std::uint64_t call_id = 0;
  std::uint32_t deadline_ms = 0;
  std::string method;
  std::string path;
  std::vector<name_value> query;
  std::vector<name_value> headers;
  std::string body;
  bool operator==(const forward_call&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(call_id, deadline_ms, method, path, query, headers, body);
  }
};

/// Answer to a `forward_call`.
struct forward_reply {
  static constexpr message_type kType = message_type::forward_reply;
  std::uint64_t call_id = 0;
  std::uint16_t status = 0;
  std::vector<name_value> headers;
  std::string body;
  std::uint64_t digest = 0;  ///< core::StableHash of the body
  bool operator==(const forward_reply&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(call_id, status, headers, body, FullWidth(digest));
  }
};

/// Entry to entry: ask for the newest fleet configuration.
struct config_pull {
  static constexpr message_type kType = message_type::config_pull;
  core::config_version known = 0;
  bool operator==(const config_pull&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// Entry to entry: the newest fleet configuration that is in force at the sender.
struct config_push {
  static constexpr message_type kType = message_type::config_push;
  core::config_version version = 0;
  std::string document;  ///< JSON; empty if the receiver already has the version
  bool operator==(const config_push&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, document);
  }
};

/// Resources that one team uses in the shards of the sender.
struct team_usage {
  std::string team;
  core::resources used;
  bool operator==(const team_usage&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, used);
  }
};

/// Entry to each other entry, once a second: its data for quotas and the status page. `teams` is
/// omitted while it is unchanged since the last status.
struct peer_status {
  static constexpr message_type kType = message_type::peer_status;
  std::string entry;
  core::config_version config = 0;
  std::optional<std::vector<team_usage>> teams;
  bool operator==(const peer_status&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, config, teams);
  }
};

}  // namespace coltsfoot::wire
