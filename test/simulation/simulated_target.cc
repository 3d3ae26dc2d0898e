#include "simulated_target.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace coltsfoot::simulation {
namespace {

using runner::command_status;

constexpr milliseconds kAnswerDelay{2};
// As in the HTTP client of the runner.
constexpr milliseconds kCommandTimeout{400};
constexpr milliseconds kPollGrace{500};
constexpr milliseconds kPollStep{10};
constexpr milliseconds kStopTime{300};
constexpr milliseconds kCrashDowntime{3300};
constexpr milliseconds kMinTaskTime{200};
constexpr std::uint64_t kTaskTimeSpread = 1500;

std::string Describe(const run_record& first, const run_record& second, std::string_view what) {
  return fmt::format("task {}: run {} on {} {} run {} on {}", jobs::ToString(first.run.task),
                     second.run.run, second.target, what, first.run.run, first.target);
}

}  // namespace

std::vector<std::string> FindRepeatedRuns(const run_history& history) {
  std::map<jobs::task_id, std::vector<const run_record*>> by_task;
  std::vector<std::string> out;
  for (const run_record& later : history) {
    for (const run_record* earlier : by_task[later.run.task]) {
      if (!earlier->ended_at || *earlier->ended_at > later.started_at) {
        out.push_back(Describe(*earlier, later, "beside"));
      } else if (!earlier->crashed && earlier->reason == jobs::end_reason::done &&
                 earlier->end_confirmed && !earlier->lease_expired) {
        out.push_back(Describe(*earlier, later, "after the confirmed end of"));
      }
    }
    by_task[later.run.task].push_back(&later);
  }
  return out;
}

simulated_target::simulated_target(std::string name, event_queue& events,
                                   core::random_source& random, run_history& history)
    : base_name_(std::move(name)),
      name_(base_name_),
      events_(events),
      random_(random),
      history_(history),
      started_at_(events.time().Now()) {}

std::int64_t simulated_target::ClockMs() const {
  return core::ToMs(events_.time().Now() - started_at_) + 1000;
}

bool simulated_target::IsHere(const run_record& run) const {
  return run.incarnation == incarnation_ && run.target.starts_with(base_name_ + "/");
}

void simulated_target::Crash(milliseconds downtime, bool keeps_name) {
  if (!up_) return;
  for (run_record& run : history_) {
    if (!IsHere(run)) continue;
    if (!run.ended_at) {
      run.ended_at = events_.time().Now();
      run.crashed = true;
    }
    // Nobody can confirm ends of a target that is gone.
    run.lease_expired = run.lease_expired || !run.end_confirmed;
  }
  up_ = false;
  ++incarnation_;
  if (!keeps_name) name_ = fmt::format("{}-{}", base_name_, incarnation_);
  draining_ = false;
  fence_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  polls_answered_ = 0;
  sequence_ = 0;
  closed_runs_.clear();
  events_.After(downtime, [this] {
    up_ = true;
    started_at_ = events_.time().Now();
  });
}

void simulated_target::CutOff(milliseconds duration) {
  cut_until_ = std::max(cut_until_, events_.time().Now() + duration);
}

bool simulated_target::IsReachable() const { return up_ && events_.time().Now() >= cut_until_; }

std::optional<runner::target_announcement> simulated_target::Announce() {
  if (!IsReachable()) return std::nullopt;
  return runner::target_announcement{.incarnation = {name_, incarnation_},
                                     .service = "svc",
                                     .zone = base_name_,
                                     .labels = {},
                                     .capacity = {16'000, 64'000, 0},
                                     .draining = draining_,
                                     .sequence = ++sequence_,
                                     .address = ""};
}

void simulated_target::EndRun(run_record& run, jobs::end_reason reason) {
  run.ended_at = events_.time().Now();
  run.reason = reason;
  run.end_number = ++last_end_;
  std::uint32_t& closed = closed_runs_[run.run.task];
  closed = std::max(closed, run.run.run);
}

void simulated_target::Step() {
  if (!up_) return;
  const core::mono_time now = events_.time().Now();
  const bool expired = ClockMs() > lease_until_ms_;
  for (run_record& run : history_) {
    if (!IsHere(run)) continue;
    if (run.ended_at) {
      run.lease_expired = run.lease_expired || (expired && !run.end_confirmed);
    } else if (expired) {
      EndRun(run, jobs::end_reason::lapsed);
    } else if (run.stops_at && now >= *run.stops_at) {
      EndRun(run, jobs::end_reason::stopped);
    } else if (!run.stops_at && now >= run.done_at) {
      EndRun(run, jobs::end_reason::done);
    }
  }
}

runner::command_reply simulated_target::Reply(command_status status,
                                              jobs::start_refusal refusal) const {
  return {.status = status, .refusal = refusal, .clock_ms = ClockMs()};
}

void simulated_target::Receive(const std::string& target, const command& execute,
                               const reply_handler& done) {
  const auto execute_here = [this, target, execute, sent_to = incarnation_] {
    if (!up_) return runner::command_reply{};
    if (target != name_) return Reply(command_status::other_incarnation);
    const runner::command_reply reply = execute();
    if (reply.status == command_status::ok) NoteEffect("command", sent_to);
    return reply;
  };
  const auto leave_unanswered = [&] { events_.After(kCommandTimeout, [done] { done({}); }); };
  if (!IsReachable()) {
    leave_unanswered();
    return;
  }
  const double drawn = random_.Uniform();
  if (drawn < faults_.refused) {
    const auto reply = Reply(command_status::refused, jobs::start_refusal::unhealthy);
    events_.After(kAnswerDelay, [done, reply] { done(reply); });
  } else if (drawn < faults_.refused + faults_.unanswered) {
    execute_here();
    leave_unanswered();
  } else if (drawn < faults_.refused + faults_.unanswered + faults_.delayed) {
    events_.After(DrawDelay(), [execute_here] { execute_here(); });
    leave_unanswered();
  } else {
    const auto reply = execute_here();
    events_.After(kAnswerDelay, [done, reply] { done(reply); });
  }
}

void simulated_target::NoteEffect(std::string_view call, std::uint64_t sent_to) {
  // The first answer tells the agent which incarnation it has reached.
  if (sent_to == incarnation_ || polls_answered_ < 2) return;
  late_effects_.push_back(fmt::format("{} to incarnation {} of {} took effect in {}", call, sent_to,
                                      base_name_, incarnation_));
}

milliseconds simulated_target::DrawDelay() {
  const auto spread = static_cast<std::uint64_t>((faults_.max_delay - faults_.min_delay).count());
  return faults_.min_delay + milliseconds{random_.Below(spread + 1)};
}

std::uint32_t simulated_target::ProgressOf(const run_record& run) const {
  constexpr std::int64_t kMaxWhileRunning = 99;
  const auto ran = events_.time().Now() - run.started_at;
  return static_cast<std::uint32_t>(
      std::min(kMaxWhileRunning, 100 * ran / (run.done_at - run.started_at)));
}

bool simulated_target::AcceptsFence(std::uint64_t fence) {
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void simulated_target::Start(const runner::start_call& call, const reply_handler& done) {
  Receive(
      call.target, [this, call] { return ExecuteStart(call); }, done);
}

runner::command_reply simulated_target::ExecuteStart(const runner::start_call& call) {
  using jobs::start_refusal;
  if (!AcceptsFence(call.fence)) return Reply(command_status::refused, start_refusal::stale_fence);
  if (call.lease_until_ms <= ClockMs()) return Reply(command_status::refused, start_refusal::late);
  lease_until_ms_ = std::max(lease_until_ms_, call.lease_until_ms);
  const auto closed = closed_runs_.find(call.run.task);
  if (closed != closed_runs_.end() && call.run.run <= closed->second) {
    return Reply(command_status::refused, start_refusal::old_run);
  }
  const bool present = std::any_of(history_.begin(), history_.end(), [&](const run_record& run) {
    return IsHere(run) && run.run == call.run;
  });
  if (!present) {
    const core::mono_time now = events_.time().Now();
    history_.push_back(
        {.run = call.run,
         .target = base_name_ + "/" + name_,
         .incarnation = incarnation_,
         .started_at = now,
         .done_at = now + kMinTaskTime + milliseconds{random_.Below(kTaskTimeSpread)}});
    const auto deadly = deadly_jobs_.find(call.run.task.job);
    if (call.run.task.index == 0 && deadly != deadly_jobs_.end()) {
      history_.back().done_at = now + 2 * deadly->second;
      events_.After(deadly->second, [this, run = history_.size() - 1] {
        if (!history_[run].ended_at) Crash(kCrashDowntime, false);
      });
    }
  }
  return Reply(command_status::ok);
}

void simulated_target::Stop(const jobs::run_id& run, std::uint64_t fence, const std::string& target,
                            const reply_handler& done) {
  Receive(
      target, [this, run, fence] { return ExecuteStop(run, fence); }, done);
}

runner::command_reply simulated_target::ExecuteStop(const jobs::run_id& run, std::uint64_t fence) {
  if (!AcceptsFence(fence)) {
    return Reply(command_status::refused, jobs::start_refusal::stale_fence);
  }
  std::uint32_t& closed = closed_runs_[run.task];
  closed = std::max(closed, run.run);
  for (run_record& each : history_) {
    if (!IsHere(each) || each.run != run || each.ended_at || each.stops_at) continue;
    each.stops_at = events_.time().Now() + kStopTime;
  }
  return Reply(command_status::ok);
}

bool simulated_target::ExecutePoll(const runner::poll_call& call, const std::string& target) {
  if (!up_ || target != name_ || !AcceptsFence(call.fence)) return false;
  lease_until_ms_ = std::max(lease_until_ms_, call.lease_until_ms.value_or(0));
  for (run_record& run : history_) {
    if (!IsHere(run) || !run.ended_at || run.end_number > call.stored_end) continue;
    run.end_confirmed = true;
  }
  return true;
}

void simulated_target::Poll(const runner::poll_call& call, const std::string& target,
                            const lists_handler& done) {
  const core::mono_time until = events_.time().Now() + call.wait;
  const auto leave_unanswered = [&] {
    events_.After(call.wait + kPollGrace, [done] { done({}); });
  };
  if (!IsReachable()) {
    leave_unanswered();
  } else if (faults_.polls_delayed > 0 && random_.Uniform() < faults_.polls_delayed) {
    events_.After(DrawDelay(), [this, call, target, sent_to = incarnation_] {
      if (ExecutePoll(call, target)) NoteEffect("poll", sent_to);
    });
    leave_unanswered();
  } else if (ExecutePoll(call, target)) {
    events_.After(kAnswerDelay, [this, call, until, incarnation = incarnation_, done] {
      AnswerPoll(call, until, incarnation, done);
    });
  } else {
    events_.After(kAnswerDelay, [done] { done({}); });
  }
}

void simulated_target::AnswerPoll(const runner::poll_call& call, core::mono_time until,
                                  std::uint64_t incarnation, const lists_handler& done) {
  if (!IsReachable() || incarnation != incarnation_) {
    done({});
    return;
  }
  runner::target_lists lists{
      .clock_ms = ClockMs(), .started_ms = incarnation_, .running = {}, .ended = {}};
  for (const run_record& run : history_) {
    if (!IsHere(run)) continue;
    if (!run.ended_at) {
      lists.running.push_back(
          {.task = run.run.task, .run = run.run.run, .progress = ProgressOf(run)});
    } else if (run.end_number > call.stored_end) {
      lists.ended.push_back({.number = run.end_number,
                             .task = run.run.task,
                             .run = run.run.run,
                             .reason = run.reason,
                             .checkpoint = ""});
    }
  }
  if (lists.ended.empty() && events_.time().Now() < until) {
    events_.After(kPollStep, [this, call, until, incarnation, done] {
      AnswerPoll(call, until, incarnation, done);
    });
    return;
  }
  ++polls_answered_;
  done(std::optional(std::move(lists)));
}

}  // namespace coltsfoot::simulation
