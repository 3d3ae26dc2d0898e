#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"

namespace coltsfoot::jobs {

/// An end at a target whose effect on its job may not be stored yet.
struct unstored_end {
  std::uint64_t number = 0;
  std::string job;
  std::uint64_t changes = 0;  ///< of the job with this end
};

/// What the coordinator knows of one agent and its target.
struct worker_row {
  std::string agent;
  bool connected = false;
  std::uint64_t agent_incarnation = 0;
  bool reported = false;                ///< in this term
  bool reported_on_connection = false;  ///< reported on its present connection
  bool resend_commands = true;          ///< commands without an outcome have to be sent again
  bool listed = false;                  ///< a whole list of this incarnation arrived in this term
  bool absent = false;  ///< entered as without a lease; gets none before it is removed
  core::mono_time last_report_at;
  core::mono_time known_since;
  target_state state = target_state::unknown;
  target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  core::resources committed;     ///< of all copies here, stopping ones as well
  std::int64_t filling_cpu = 0;  ///< thousandths of a processor that filling copies would use
  std::uint32_t serving = 0;     ///< lasting copies
  std::int64_t serving_cpu = 0;  ///< thousandths of a processor committed to lasting copies
  std::uint32_t slowed = 0;      ///< filling copies that the agent slows down
  std::map<std::string, std::string> serving_groups;  ///< of lasting copies: group to image
  std::map<std::string, double> filling_cores;        ///< wanted by filling copies, by image
  core::mono_time observed_at;                        ///< when its readings were last learned from
  /// Pressures that the agent was told, by victim and image.
  std::map<std::pair<std::string, std::string>, float> sent_pressures;
  core::mono_time lease_bound;             ///< all that runs here has lapsed by then
  core::mono_time granted_at;              ///< of the last grant on this connection; zero: none
  target_incarnation granted_incarnation;  ///< that it was for
  std::uint64_t granted_end = 0;           ///< last confirmed end that it named
  std::uint64_t next_command = 1;
  std::uint64_t processed_end = 0;    ///< ends of `incarnation` that are in the job table
  std::uint64_t stored_end = 0;       ///< ends of `incarnation` that are in the store
  std::deque<unstored_end> unstored;  ///< ends after `stored_end`, by number
  std::uint32_t unknown_runs = 0;     ///< runs of jobs that the coordinator does not know
  std::uint32_t recent_failures = 0;
  std::string last_failed_job;
  core::mono_time quarantined_until;          ///< no new tasks before; zero: none
  core::milliseconds quarantine_duration{0};  ///< of the last quarantine

  bool HasLabel(std::string_view label) const;
};

/// The workers by the id of their agent.
using worker_table = std::map<std::string, worker_row, std::less<>>;

}  // namespace coltsfoot::jobs
