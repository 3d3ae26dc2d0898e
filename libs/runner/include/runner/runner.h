#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"
#include "metrics/registry.h"
#include "runner/pacer.h"
#include "runner/target_client.h"

namespace coltsfoot::runner {

/// Settings of the agent's side of jobs.
struct runner_options {
  std::string agent;
  std::uint64_t agent_incarnation = 0;  ///< differs for each start of this process
  /// Lease of what the target runs, from the report that a grant answers.
  core::milliseconds task_lease{5000};
  /// Longest wait of a poll of the target; it bounds how long a lease can go without extension.
  core::milliseconds poll_wait{1000};
  /// Wait while filling tasks run beside serving ones, whose readings cover half a second.
  core::milliseconds poll_wait_pacing{250};
  /// Time after which a target that did not answer counts as silent.
  core::milliseconds silent_after{1500};
  /// Period of reports without news.
  core::milliseconds report_period{500};
  pacer_options pacing;
  bool operator==(const runner_options&) const = default;
};

/// Connection to the coordinator. Mocked in tests.
class coordinator_link {
 public:
  virtual ~coordinator_link() = default;
  /// @return false if no coordinator is connected.
  virtual bool Send(const jobs::worker_report& report) = 0;
};

/// Keeps leases, carries out commands and reports what the target runs. One thread; holds no
/// socket.
class runner {
 public:
  runner(runner_options options, const core::clock& time, metrics::registry& metrics,
         target_client& target, coordinator_link& coordinator);

  void OnAnnouncement(const target_announcement& announcement);
  /// The target says that it ends.
  void OnLeave(const std::string& target);
  /// @return false if the coordinator is older than one that was seen; its connection is useless.
  bool OnHello(std::uint64_t term);
  void OnCommands(const jobs::worker_commands& commands);
  void OnGrant(const jobs::lease_grant& grant);
  /// Call at least each 50 ms.
  void Tick();
  /// Extends the lease to the utmost before this process ends; the next one takes over.
  void PrepareStop();

  std::uint64_t term() const noexcept { return term_; }
  /// @return when the coordinator was last heard of; zero: never.
  core::mono_time last_contact() const noexcept { return last_contact_; }

 private:
  /// A command to start that the target's list does not show yet.
  struct pending_start {
    jobs::start_command command;
    bool in_flight = false;
    bool sent = false;     ///< at least one call had no answer
    bool expired = false;  ///< the lease ended before the target answered
    core::mono_time retry_at;
    std::optional<core::mono_time> started_at;  ///< when the target confirmed it
  };
  struct pending_stop {
    bool in_flight = false;
    bool done = false;
    core::mono_time retry_at;
  };

  void ChangeIncarnation(const target_announcement& announcement);
  void Poll();
  void OnLists(const std::optional<target_lists>& lists, core::mono_time sent);
  void TakeLists(const target_lists& lists, core::mono_time sent);
  /// Keeps runs of the last list whose ends the target may not list yet.
  void KeepUnlisted(const std::vector<jobs::running_task>& last);
  void NoteClock(std::int64_t clock_ms);
  std::optional<std::int64_t> LeaseOnTargetClock() const;
  void SendCommands();
  void SendStart(const jobs::run_id& run, pending_start& start);
  void OnStarted(const jobs::run_id& run, const command_reply& reply);
  /// Refuses commands that wait although the lease is over: their tasks may run elsewhere by now.
  void DropExpiredStarts();
  void Refuse(const jobs::run_id& run, jobs::start_refusal reason);
  void SendStop(const jobs::run_id& run, pending_stop& stop);
  void OnStopped(const jobs::run_id& run, const command_reply& reply);
  void PaceFilling();
  /// Drops what a target that is gone ran.
  void ForgetRuns();
  void Report(bool listed);
  jobs::target_state State() const;
  /// @return the state as far as the target has confirmed it.
  jobs::target_state ReportedState() const;
  bool IsRunning(const jobs::run_id& run) const;

  runner_options options_;
  const core::clock& time_;
  metrics::registry& metrics_;
  target_client& target_;
  coordinator_link& coordinator_;

  std::uint64_t term_ = 0;
  std::uint64_t commands_seen_ = 0;
  core::mono_time last_contact_;

  std::optional<target_announcement> announced_;
  /// Rises with each incarnation; late answers of older ones are dropped.
  std::uint64_t incarnation_count_ = 0;
  bool left_ = false;
  core::mono_time announced_at_;
  std::optional<std::int64_t> clock_offset_ms_;  ///< target's clock minus ours
  core::mono_time lease_end_;
  core::mono_time sent_lease_end_;  ///< latest lease that the target may have been given
  std::uint64_t stored_end_ = 0;

  bool polling_ = false;
  core::mono_time next_poll_;
  std::uint32_t failed_polls_ = 0;  ///< since the last answer
  core::mono_time last_answer_;
  bool listed_ = false;
  std::vector<jobs::running_task> running_;
  std::vector<jobs::ended_run> ended_;
  std::uint64_t last_ended_ = 0;

  std::map<jobs::run_id, pending_start> starts_;
  std::map<jobs::run_id, pending_stop> stops_;
  std::map<jobs::run_id, jobs::task_facts> facts_;
  std::vector<jobs::refused_run> refused_;
  std::size_t calls_in_flight_ = 0;
  pacer pacer_;
  std::set<jobs::run_id> pacing_;  ///< pace calls in flight

  bool report_due_ = false;
  core::mono_time next_report_;
  core::mono_time next_listing_;
};

}  // namespace coltsfoot::runner
