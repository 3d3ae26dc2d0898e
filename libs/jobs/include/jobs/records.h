#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "jobs/types.h"

/// What is kept of jobs in the key-value service. The keys below `kInboxPrefix` are written by any
/// entry and agent and watched by the coordinator; progress is written by the coordinator alone.
namespace coltsfoot::jobs {

inline constexpr std::string_view kInboxPrefix = "coltsfoot/in/";
/// Below the inbox, so that a coordinator that was followed by another learns of that before it
/// learns of any job that was accepted since.
inline constexpr std::string_view kLeaderKey = "coltsfoot/in/leader";
inline constexpr std::string_view kJobPrefix = "coltsfoot/in/job/";
inline constexpr std::string_view kCancelPrefix = "coltsfoot/in/cancel/";
inline constexpr std::string_view kAgentPrefix = "coltsfoot/in/agent/";
/// Agents without a lease. Below the inbox, so that it is read with it when a term begins.
inline constexpr std::string_view kAbsentKey = "coltsfoot/in/absent";
inline constexpr std::string_view kEntryPrefix = "coltsfoot/entry/";
inline constexpr std::string_view kProgressPrefix = "coltsfoot/progress/";

/// An accepted job. Never changes. The values of its queue are those at that time; they hold where
/// the configuration is not known or the queue was removed.
struct job_record {
  std::string queue;  ///< name of the queue it was submitted to
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t attempts = 1;
  double stretch = 1.0;
  std::uint32_t objective_ms = 0;
  std::int64_t accepted_wall_ms = 0;
  job_spec spec;
  bool operator==(const job_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue, service, priority, attempts, stretch, objective_ms, accepted_wall_ms, spec);
  }
};

/// Progress of one task. Failures are kept by run number, so that an end that is reported twice
/// counts once.
struct task_progress {
  bool done = false;
  std::uint32_t last_run = 0;
  std::vector<std::uint32_t> failed_runs;
  std::string checkpoint;
  bool operator==(const task_progress&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(done, last_run, failed_runs, checkpoint);
  }
};

/// Progress of a job; tasks in the order of steps and indexes.
struct progress_record {
  job_state state = job_state::queued;
  std::int64_t ended_wall_ms = 0;  ///< 0: not ended
  std::vector<task_progress> tasks;
  bool operator==(const progress_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, ended_wall_ms, tasks);
  }
};

/// The coordinator's claim on its key.
struct leader_record {
  std::string entry;        ///< id of the entry that coordinates
  std::string address;      ///< IP:PORT for other entries
  std::uint64_t nonce = 0;  ///< differs for each start of the entry
  std::uint32_t processor_millis = 0;
  bool operator==(const leader_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, address, nonce, processor_millis);
  }
};

/// What the entries know of each other before one of them stands for election.
struct entry_record {
  std::uint32_t processor_millis = 0;  ///< of the host, in thousandths of a processor
  bool operator==(const entry_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(processor_millis);
  }
};

/// Agents at whose targets nothing can run, because no lease holds there.
struct absent_record {
  std::vector<std::string> agents;  ///< in order
  bool operator==(const absent_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(agents);
  }
};

/// Checks what no accepted job can have, such as a step that waits for a later one. A record that
/// was damaged in the store must not end the processes that read it.
/// @return false with `decode_error` if the job cannot be run.
bool IsSound(const job_spec& spec, core::last_error& error);

std::string JobKey(std::string_view job);
std::string CancelKey(std::string_view job);
std::string ProgressKey(std::string_view job);
std::string AgentKey(std::string_view agent);
std::string EntryKey(std::string_view entry);

/// @return the part of `key` after `prefix`, or nothing if it does not begin with it.
std::optional<std::string> KeySuffix(std::string_view key, std::string_view prefix);

}  // namespace coltsfoot::jobs
