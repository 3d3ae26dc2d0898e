#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "jobs/types.h"

/// Records and keys of the job scheduler in the key-value store. Entries and agents write the keys
/// under `kInboxPrefix`, which the coordinator watches; only the coordinator writes progress.
namespace coltsfoot::jobs {

inline constexpr std::string_view kInboxPrefix = "coltsfoot/in/";
/// Under the inbox prefix, so that a coordinator learns from its watch that it was replaced before
/// it sees any job that was accepted since.
inline constexpr std::string_view kLeaderKey = "coltsfoot/in/leader";
inline constexpr std::string_view kJobPrefix = "coltsfoot/in/job/";
inline constexpr std::string_view kCancelPrefix = "coltsfoot/in/cancel/";
inline constexpr std::string_view kAgentPrefix = "coltsfoot/in/agent/";
/// Agents without a lease. Under the inbox prefix, so that it is loaded with the inbox when a term
/// starts.
inline constexpr std::string_view kAbsentKey = "coltsfoot/in/absent";
/// Bound of all run numbers used so far. Under the inbox prefix for the same reason.
inline constexpr std::string_view kRunBoundKey = "coltsfoot/in/run-bound";
inline constexpr std::string_view kEntryPrefix = "coltsfoot/entry/";
inline constexpr std::string_view kProgressPrefix = "coltsfoot/progress/";

/// An accepted job; immutable. The fields of its queue are copied at acceptance and apply while the
/// coordinator's configuration is older or after the queue was removed from it.
struct job_record {
  std::string queue;  ///< name of the queue it was submitted to
  std::string service;
  std::uint32_t priority = 0;
  std::uint32_t attempts = 1;
  double stretch = 1.0;
  std::uint32_t objective_ms = 0;
  std::uint64_t config_version = 0;  ///< of the configuration under which it was accepted
  std::int64_t accepted_wall_ms = 0;
  job_spec spec;
  bool operator==(const job_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue, service, priority, attempts, stretch, objective_ms, config_version,
            accepted_wall_ms, spec);
  }
};

/// Progress of one task. Failures are stored by run number, so that a failure that is reported
/// twice counts once.
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

/// Crashes of targets under a task, in a row: since a run of it last ended or proved harmless.
struct crash_evidence {
  std::uint32_t losses = 0;   ///< crashes under the task
  std::uint32_t crashes = 0;  ///< those for which it came into question; if any, it is a suspect
  /// Those for which no other task came into question and this one had certainly begun.
  std::uint32_t alone = 0;
  std::uint32_t longest_ms = 0;  ///< longest time for which it had run before one of them
  auto operator<=>(const crash_evidence&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(losses, crashes, alone, longest_ms);
  }
};

/// Evidence against the tasks of a job, in the order of `progress_record::tasks`. It has a key of
/// its own, so that the encoding of progress stays as it is.
struct crash_record {
  std::vector<crash_evidence> tasks;
  bool operator==(const crash_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks);
  }
};

/// Progress of a job; `tasks` is ordered by step, then by index within the step.
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

/// Value of the leader key. The version of the key is the term.
struct leader_record {
  std::string entry;        ///< id of the entry that coordinates
  std::string address;      ///< IP:PORT on which other entries reach it
  std::uint64_t nonce = 0;  ///< differs for each start of the entry
  std::uint32_t processor_millis = 0;
  bool operator==(const leader_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(entry, address, nonce, processor_millis);
  }
};

/// An entry's registration. Candidates compare their host with the others by it.
struct entry_record {
  std::uint32_t processor_millis = 0;  ///< of the host, in thousandths of a processor
  bool operator==(const entry_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(processor_millis);
  }
};

/// Agents whose targets cannot be running anything, because no lease of theirs is valid.
struct absent_record {
  std::vector<std::string> agents;  ///< sorted
  bool operator==(const absent_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(agents);
  }
};

/// Run numbers up to `bound` are reserved; see `run_numbers`.
struct run_bound_record {
  std::uint32_t bound = 0;
  bool operator==(const run_bound_record&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(bound);
  }
};

/// Checks the invariants of an accepted job, such as that a step depends on earlier steps only. A
/// record that was damaged in the store must not crash the processes that read it.
/// @return false with `decode_error` in `error` if the job cannot be run.
bool IsValid(const job_record& record, core::last_error& error);

std::string JobKey(std::string_view job);
std::string CancelKey(std::string_view job);
std::string ProgressKey(std::string_view job);
/// @return the key of a job's `crash_record`, under `kProgressPrefix`.
std::string CrashKey(std::string_view job);
std::string AgentKey(std::string_view agent);
std::string EntryKey(std::string_view entry);

/// @return the job whose `crash_record` has this key, or nothing if it is another key.
std::optional<std::string> JobOfCrashKey(std::string_view key);

/// @return the part of `key` after `prefix`, or nothing if it does not begin with it.
std::optional<std::string> KeySuffix(std::string_view key, std::string_view prefix);

}  // namespace coltsfoot::jobs
