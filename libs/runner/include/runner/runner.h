#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"
#include "metrics/registry.h"
#include "runner/pacer.h"
#include "runner/target_client.h"

namespace coltsfoot::runner {

/// Settings of the runner.
struct runner_options {
  std::string agent;
  std::uint64_t agent_incarnation = 0;  ///< different for each start of this process
  /// Lease of the target's runs, counted from the report that a grant answers.
  core::milliseconds task_lease{5000};
  /// Longest lease that the target accepts; it shortens others to this.
  core::milliseconds max_task_lease{10'000};
  /// Maximum wait of a poll of the target; it limits the time between two extensions of a lease.
  core::milliseconds poll_wait{1000};
  /// Maximum wait while the target runs both filling and serving tasks, so that paces follow the
  /// readings, which cover 500 ms.
  core::milliseconds poll_wait_pacing{250};
  /// Time without an answer after which a target counts as silent, beyond the wait of a poll.
  core::milliseconds silent_after{1500};
  /// Time within which ends are to be confirmed while all calls are answered. Ends are held back
  /// for no longer than this after the last call without an answer. 0: never.
  core::milliseconds confirm_within{0};
  /// Interval between reports while nothing changes.
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

/// Extends the lease of the target's runs, executes the coordinator's commands and reports what the
/// target runs. Must be used from one thread. Does no network I/O itself.
class runner {
 public:
  runner(runner_options options, const core::clock& time, metrics::registry& metrics,
         target_client& target, coordinator_link& coordinator);

  void OnAnnouncement(const target_announcement& received);
  /// Handles a target's message that it shuts down.
  void OnLeave(const std::string& target);
  /// @return false if a coordinator with a newer term is known; the connection is not to be used.
  bool OnHello(std::uint64_t term);
  void OnCommands(const jobs::worker_commands& commands);
  void OnGrant(const jobs::lease_grant& grant);
  /// Call at least every 50 ms.
  void Tick();
  /// Extends the target's lease up to the granted end before this process exits, so that the next
  /// process can take over its runs.
  void PrepareStop();

  std::uint64_t term() const noexcept { return term_; }
  /// @return time of the last message from the coordinator; zero: none yet.
  core::mono_time last_contact() const noexcept { return last_contact_; }

 private:
  /// After this time a call without an answer is not executed any more.
  static constexpr core::milliseconds kMaxCallDelay{15'000};
  static constexpr core::milliseconds kFirstFenceStep{1000};

  /// Start command whose run the target does not list yet.
  struct pending_start {
    jobs::start_command command;
    std::uint64_t term = 0;  ///< of the coordinator that last commanded it
    bool in_flight = false;
    bool unanswered = false;  ///< a call, also of an earlier process, may have had no answer
    std::optional<jobs::start_refusal> abandoned;  ///< why it must not start any more
    core::mono_time retry_at;
    core::mono_time failed_at;  ///< when the last call ended without an answer; zero: never
    /// When the target executed the start or a stop of the run. A poll sent later lists the run
    /// unless it does not run any more.
    std::optional<core::mono_time> settled_at;
    bool accepted = false;   ///< the target has answered that the run is there
    bool completed = false;  ///< a list has shown that the run was done or has failed
  };
  /// Start without an answer that the target may still execute.
  struct unresolved_start {
    jobs::task_facts facts;
    core::mono_time failed_at;  ///< when the last call ended without an answer
    bool kept = false;          ///< its task stays in place while the target has no lists
  };
  /// Stop command whose run the target has not listed as ended yet.
  struct pending_stop {
    bool in_flight = false;
    bool done = false;  ///< the target has answered
    core::mono_time retry_at;
  };

  /// Collects what is lost with the present incarnation and forgets the rest. No report names the
  /// next one, and nothing starts there, before it is described.
  void BeginIncarnation(const jobs::target_incarnation& next);
  /// @return false if a start time is too far ahead to be an incarnation's.
  bool IsPlausibleStart(std::uint64_t started_ms) const;
  /// Takes over what the present incarnation announces of itself.
  void Describe(const target_announcement& announcement);
  /// Stops the runs whose start the target may still execute although the agent has forgotten them,
  /// because it was sent to an earlier incarnation under the same name or the target had counted as
  /// gone. Reports them as starting until then.
  void StopLateStarts();
  /// Stops all runs of a target whose lease may be longer than the agent's, once that has expired.
  void StopRunsWithoutLease();
  void Poll();
  /// @param confirmed end up to which the poll confirmed ends.
  void OnLists(const std::optional<target_lists>& lists, core::mono_time sent,
               std::uint64_t confirmed);
  void ApplyLists(const target_lists& lists, core::mono_time sent);
  /// @return true if a start stays in place although the present incarnation has not executed it,
  /// since the next one may. It was sent to an earlier one, or was given up after a call without an
  /// answer. Tasks that last don't wait.
  bool IsKept(const jobs::run_id& run, const pending_start& start) const;
  /// @return true if the target's next incarnation may execute a call that starts this run.
  bool MayStartAgain(const jobs::run_id& run) const;
  /// Finds out which ends are to be held back: once an end as done or failed is confirmed, its run
  /// must not start again, and only the present incarnation refuses to.
  void HoldEnds(const std::vector<jobs::ended_run>& listed);
  /// @return the end to confirm with the next poll; 0: none.
  std::uint64_t EndToConfirm() const;
  /// Keeps counting runs of the previous list, and those that the coordinator takes as running, as
  /// running if they are in neither list now: a full list of ends may omit theirs.
  void KeepRunsWithUnlistedEnd(const std::vector<jobs::running_task>& last);
  /// @return the fencing token of calls to the present incarnation. It rises with the term and with
  /// each incarnation, so the first call to an incarnation shuts out all calls to earlier ones.
  std::uint64_t Fence() const noexcept { return epoch_ + term_; }
  /// Raises the fencing token if the target has refused it for long.
  void OnFenceRefused();
  void UpdateClockOffset(std::int64_t clock_ms);
  /// @return true if a time on the target's clock is too early for the present incarnation.
  bool ClockWentBack(std::int64_t clock_ms) const;
  std::optional<std::int64_t> LeaseOnTargetClock() const;
  void SendCommands();
  void SendStart(const jobs::run_id& run, pending_start& start);
  void OnStarted(const jobs::run_id& run, command_reply reply);
  /// Remembers that a start got no answer.
  void RememberStart(const jobs::run_id& run, const pending_start& start);
  /// Abandons waiting starts after the lease has expired: their tasks may already run elsewhere.
  void DropExpiredStarts();
  /// Abandons the starts that are later than their coordinator allows. A run whose call got no
  /// answer may work on: it is stopped only if a list that was asked for after the call lacks it.
  void DropOverdueStarts();
  /// @return true if the start must not be sent to the target any more.
  static bool IsOverdue(const pending_start& start, core::mono_time now);
  /// Gives up a start. If an unanswered call may still be executed, the target is told to stop the
  /// run first, and the run is reported as starting until a list shows that it does not run.
  void Abandon(const jobs::run_id& run, pending_start& start, jobs::start_refusal reason);
  void Refuse(const jobs::run_id& run, jobs::start_refusal reason);
  void SendStop(const jobs::run_id& run, pending_stop& stop);
  void OnStopped(const jobs::run_id& run, const command_reply& reply);
  void PaceFilling();
  /// Drops the runs of a target that is gone, except starts that it may still execute.
  void ForgetRuns();
  /// Keeps in place what the target may still start, until it has lists again. Tasks that last
  /// don't wait.
  void KeepLateStarts();
  /// Puts the runs of a target that is lost into `crashed` and `refused`: those that it may
  /// have begun, and those that were never sent to it.
  void CollectLostRuns(std::vector<jobs::crashed_run>& crashed,
                       std::vector<jobs::refused_run>& refused) const;
  /// @return false if nothing suggests that the target has begun this run. A call without an answer
  /// suggests it only if the target answered others just before, or broke all connections with it.
  bool MayHaveBegun(const jobs::run_id& run, core::mono_time called_at) const;
  void Report(bool with_lists);
  /// @return the time after which a lease of this length has certainly expired at the target.
  static core::nanoseconds MaxDuration(core::nanoseconds lease);
  jobs::target_state State() const;
  /// @return the state to report: unknown until the target has answered a poll, unless it is gone.
  jobs::target_state ReportedState() const;
  bool IsRunning(const jobs::run_id& run) const;
  /// @return true if the lists account for all runs that the target may still start.
  bool HasCompleteLists() const;

  runner_options options_;
  const core::clock& time_;
  const core::mono_time began_at_ = time_.Now();  ///< when this process began
  metrics::registry& metrics_;
  target_client& target_;
  coordinator_link& coordinator_;

  std::uint64_t term_ = 0;
  std::uint64_t commands_seen_ = 0;
  core::mono_time last_contact_;

  std::optional<target_announcement> announced_;
  /// Incremented with each incarnation; late answers of earlier ones are dropped.
  std::uint64_t incarnation_count_ = 0;
  /// Orders the incarnations under the present name: their start times, or higher if a clock has
  /// stepped back.
  std::uint64_t epoch_ = 0;
  core::mono_time fence_refused_since_;  ///< zero: not since the last answered poll
  core::milliseconds fence_step_ = kFirstFenceStep;
  /// Start times of earlier incarnations under the present name that are later than those of their
  /// successors.
  std::set<std::uint64_t> ended_ahead_;
  bool target_left_ = false;
  core::mono_time adopted_at_;  ///< when an answer last began an incarnation
  bool name_refused_ = false;   ///< the last poll was answered by a target of another name
  bool described_ = false;      ///< the present incarnation has announced itself
  std::optional<std::int64_t> clock_offset_ms_;  ///< target's clock minus the agent's
  core::mono_time lease_end_;
  core::mono_time sent_lease_end_;   ///< latest lease end that the target may have received
  std::uint64_t stored_end_ = 0;     ///< ends up to this number are stored by the coordinator
  std::uint64_t confirmed_end_ = 0;  ///< the target knows that ends up to this number are stored
  core::mono_time disturbed_at_ = time_.Now();  ///< last call without an answer, if any
  std::uint64_t held_end_ = 0;  ///< this end and later ones must not be confirmed yet; 0: none

  bool polling_ = false;
  core::mono_time next_poll_;
  std::uint32_t failed_polls_ = 0;  ///< since the last answered poll
  core::mono_time last_answer_;
  core::mono_time listed_at_;  ///< when the poll was sent that got the last lists
  bool has_lists_ = false;
  std::uint64_t listed_term_ = 0;  ///< term of the last answered poll
  std::vector<jobs::running_task> running_;
  std::vector<jobs::ended_run> ended_;
  bool ends_omitted_ = false;  ///< the last answered poll listed as many ends as a target lists
  std::uint64_t last_end_seen_ = 0;

  std::map<jobs::run_id, pending_start> starts_;
  std::map<jobs::run_id, pending_stop> stops_;
  std::map<jobs::run_id, jobs::task_facts> facts_;
  std::map<jobs::run_id, core::mono_time> first_calls_;  ///< first call that starts each run
  core::mono_time last_reply_;  ///< last answer to any call but stops and paces
  /// Runs of a target that is gone. They are reported if its next incarnation shows that it has
  /// crashed.
  std::vector<jobs::crashed_run> runs_of_gone_;
  /// When the connection of a waiting poll broke; zero: not since the last answered poll.
  core::mono_time broken_at_;
  std::vector<jobs::refused_run> refused_;
  std::vector<jobs::crashed_run> crashed_;
  std::size_t calls_in_flight_ = 0;
  pacer pacer_;
  core::mono_time
      earlier_calls_expire_at_;  ///< end of all leases that an earlier process passed on
  std::set<jobs::run_id> pace_calls_in_flight_;

  /// Starts that were sent to a target of the present name and got no answer. The target, or its
  /// next incarnation under the same name, may still execute them.
  std::map<jobs::run_id, unresolved_start> unresolved_starts_;
  /// Runs of which no earlier process has sent a start; only until its calls cannot be executed any
  /// more.
  std::set<jobs::run_id> own_starts_;
  /// Starts that were refused as expired, and when. The coordinator places their tasks again, so a
  /// repetition that was on its way at that time must not run.
  std::map<jobs::run_id, core::mono_time> expired_starts_;
  bool forgot_starts_ = false;  ///< the target has been gone since its last answer
  /// The target has restarted under its name.
  bool kept_name_ = false;
  core::mono_time restarted_at_;  ///< when the present incarnation was found
  /// End of all leases that calls to earlier incarnations under the same name may have set. They
  /// name times on an earlier clock, which may be far ahead on the present one.
  core::mono_time late_lease_end_;
  /// As above, for the incarnation that this process found at its start: an earlier process may
  /// have seen it restart.
  core::mono_time found_lease_end_;

  bool report_due_ = false;
  core::mono_time next_report_;
  core::mono_time next_listing_;
};

}  // namespace coltsfoot::runner
