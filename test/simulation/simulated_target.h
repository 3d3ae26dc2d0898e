#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "event_queue.h"
#include "jobs/messages.h"
#include "runner/target_client.h"

/// Simulation of a coordinator, agents and targets in one process and in virtual time. A seed
/// determines all events.
namespace coltsfoot::simulation {

using core::milliseconds;

/// A run as its target saw it.
struct run_record {
  jobs::run_id run;
  std::string target;
  std::uint64_t incarnation = 0;
  core::mono_time started_at;
  core::mono_time done_at;  ///< when it ends unless something else ends it
  std::optional<core::mono_time> ended_at;
  jobs::end_reason reason = jobs::end_reason::done;  ///< valid if it has ended
  std::uint64_t end_number = 0;
  std::optional<core::mono_time> stops_at;  ///< a stop takes effect then
  bool crashed = false;                     ///< ended with its target, which lists no end
  bool end_confirmed = false;
  bool lease_expired = false;  ///< the lease expired between its end and the confirmation
};

/// The runs of all targets in the order of their starts.
using run_history = std::vector<run_record>;

/// @return a line for each task that ran twice at a time, or again after a confirmed end as done.
std::vector<std::string> FindRepeatedRuns(const run_history& history);

/// Probabilities of what happens to a command.
struct command_faults {
  double refused = 0;        ///< refused as unhealthy, not executed
  double unanswered = 0;     ///< executed at once, no answer
  double delayed = 0;        ///< executed after `min_delay` to `max_delay`, no answer
  double polls_delayed = 0;  ///< polls that take effect after such a time, no answer
  milliseconds min_delay{2000};
  milliseconds max_delay{12'000};
};

/// Target of one worker. Its calls get answers a few milliseconds later, or none.
class simulated_target {
 public:
  simulated_target(std::string name, event_queue& events, core::random_source& random,
                   run_history& history);

  void SetFaults(const command_faults& faults) { faults_ = faults; }
  void SetDraining(bool draining) { draining_ = draining; }
  /// From now on the first task of this job crashes the target this long after each start.
  void AddDeadlyJob(const std::string& job, milliseconds after) { deadly_jobs_[job] = after; }
  /// Ends all runs. The next incarnation starts after `downtime`, under a new name unless
  /// `keeps_name` is set.
  void Crash(milliseconds downtime, bool keeps_name);
  /// No calls arrive for this time, except those that are on their way.
  void CutOff(milliseconds duration);
  /// Lets runs end and leases expire. Call every few milliseconds.
  void Step();
  /// @return the number of the running incarnation; 0 while the target is down.
  std::uint64_t incarnation() const noexcept { return up_ ? incarnation_ : 0; }
  /// @return the next announcement, or nothing while the target is down.
  std::optional<runner::target_announcement> Announce();

  /// @return a line for each call that took effect in a later incarnation than it was sent to,
  /// after the agent had reached that one.
  const std::vector<std::string>& late_effects() const noexcept { return late_effects_; }

  using reply_handler = std::function<void(runner::command_reply)>;
  using lists_handler = std::function<void(runner::poll_reply)>;
  void Start(const runner::start_call& call, const reply_handler& done);
  void Stop(const jobs::run_id& run, std::uint64_t fence, const std::string& target,
            const reply_handler& done);
  void Poll(const runner::poll_call& call, const std::string& target, const lists_handler& done);

 private:
  bool IsReachable() const;
  using command = std::function<runner::command_reply()>;
  /// Executes a command that is addressed to `target` as the drawn fault says.
  void Receive(const std::string& target, const command& execute, const reply_handler& done);
  runner::command_reply ExecuteStart(const runner::start_call& call);
  runner::command_reply ExecuteStop(const jobs::run_id& run, std::uint64_t fence);
  /// @return true if the target accepts the poll, which has taken effect then.
  bool ExecutePoll(const runner::poll_call& call, const std::string& target);
  milliseconds DrawDelay();
  void AnswerPoll(const runner::poll_call& call, core::mono_time until, std::uint64_t incarnation,
                  const lists_handler& done);
  /// Records a call that has taken effect if it was sent to an earlier incarnation.
  void NoteEffect(std::string_view call, std::uint64_t sent_to);
  /// @return the progress of a run in percent.
  std::uint32_t ProgressOf(const run_record& run) const;
  bool AcceptsFence(std::uint64_t fence);
  runner::command_reply Reply(runner::command_status status,
                              jobs::start_refusal refusal = jobs::start_refusal::not_sent) const;
  std::int64_t ClockMs() const;
  bool IsHere(const run_record& run) const;
  void EndRun(run_record& run, jobs::end_reason reason);

  std::string base_name_;
  std::string name_;
  event_queue& events_;
  core::random_source& random_;
  run_history& history_;
  command_faults faults_;
  std::uint64_t incarnation_ = 1;
  bool up_ = true;
  core::mono_time cut_until_;
  bool draining_ = false;
  core::mono_time started_at_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint32_t polls_answered_ = 0;  ///< by the present incarnation
  std::vector<std::string> late_effects_;
  std::uint64_t sequence_ = 0;
  std::map<std::string, milliseconds> deadly_jobs_;
  std::map<jobs::task_id, std::uint32_t> closed_runs_;  ///< highest stopped or ended run of a task
};

}  // namespace coltsfoot::simulation
