#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/headroom_model.h"
#include "jobs/messages.h"

namespace coltsfoot::jobs {

/// A reported end of a run whose effect on its job may not be stored yet.
struct unstored_end {
  std::uint64_t number = 0;  ///< as the target numbers its ends
  std::string job;
  std::uint64_t changes = 0;  ///< `job_row::changes` of the job, this end included
};

/// What the coordinator knows about one agent and its target.
struct worker_row {
  std::string agent;
  bool connected = false;
  std::uint64_t agent_incarnation = 0;
  bool reported = false;                ///< has reported in this term
  bool reported_on_connection = false;  ///< has reported on its current connection
  bool resend_commands = true;          ///< commands without a known outcome must be sent again
  /// This target incarnation has listed all its runs and all ends in this term.
  bool listed = false;
  bool absent = false;  ///< in the absence register; gets no lease before its removal is stored
  core::mono_time last_report_at;
  std::int64_t last_report_sent_ms = 0;  ///< on the agent's clock
  core::mono_time known_since;
  target_state state = target_state::unknown;
  target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  core::resources committed;     ///< resources of all copies here, including stopping ones
  std::int64_t filling_cpu = 0;  ///< thousandths of a processor that filling copies ask for
  std::uint32_t serving = 0;     ///< number of long-running copies
  std::int64_t serving_cpu = 0;  ///< thousandths of a processor committed to long-running copies
  std::uint32_t slowed = 0;      ///< number of filling copies that the agent slows down
  /// Image of each group with long-running copies here.
  std::map<std::string, std::string> serving_groups;
  /// Processors that filling copies ask for, by image.
  std::map<std::string, double> filling_cores;
  core::mono_time observed_at;  ///< when its readings last went into the headroom model
  /// Pressures that were sent to the agent, by victim and image.
  std::map<std::pair<std::string, std::string>, pressure> sent_pressures;
  core::mono_time lease_bound;  ///< by then the lease of everything that runs here has expired
  /// Starts that the target may still execute although its runs are lost. Their copies stay.
  std::vector<run_id> late_starts;
  core::mono_time late_starts_until;  ///< by then none of them is executed any more
  core::mono_time granted_at;         ///< time of the last grant on this connection; zero: none
  target_incarnation granted_incarnation;  ///< incarnation in that grant
  std::uint64_t granted_end = 0;           ///< `stored_end` in that grant
  std::uint64_t next_command = 1;
  std::uint64_t processed_end = 0;    ///< ends of `incarnation` up to here are in the job table
  std::uint64_t stored_end = 0;       ///< ends of `incarnation` up to here are in the store
  std::deque<unstored_end> unstored;  ///< ends after `stored_end`, in order of their numbers
  std::uint32_t unknown_runs = 0;     ///< reported runs of tasks that the coordinator does not know
  /// Since a task was done; consecutive ones of a job count once. A quarantine sets it to one below
  /// the limit.
  std::uint32_t recent_failures = 0;
  std::string last_failed_job;
  core::mono_time quarantined_until;  ///< gets no new tasks before; zero: not quarantined
  /// Length of the last quarantine; zero after a task was done or the target restarted.
  core::milliseconds quarantine_duration{0};

  core::mono_time last_start_at;  ///< when a start was last commanded in this term
  bool isolated = false;          ///< starts suspects only; see `crash_isolation`
  bool accepts_suspect = false;   ///< is isolated and has no run that may crash it
  bool evacuated = false;         ///< the operator wants no further starts in its zone

  bool HasLabel(std::string_view label) const;
};

/// Workers by the id of their agent.
using worker_table = std::map<std::string, worker_row, std::less<>>;

}  // namespace coltsfoot::jobs
