#include "runner/runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace coltsfoot::runner {
namespace {

// Maximum number of commands in flight; more would open additional connections to the target.
constexpr std::size_t kMaxCallsInFlight = 2;
// Minimum remaining lease for a start; with less it would expire before the next grant arrives.
constexpr core::milliseconds kMinLease{400};
// Delay before a command without a known outcome is sent again.
constexpr core::milliseconds kCommandRetryDelay{100};
constexpr core::nanoseconds kNoTime{0};

}  // namespace

runner::runner(runner_options options, const core::clock& time, metrics::registry& metrics,
               target_client& target, coordinator_link& coordinator)
    : options_(std::move(options)),
      time_(time),
      metrics_(metrics),
      target_(target),
      coordinator_(coordinator),
      pacer_(options_.pacing),
      earlier_calls_expire_at_(time.Now() + MaxDuration(options_.task_lease)) {}

bool runner::OnHello(std::uint64_t term) {
  if (term < term_) {
    spdlog::warn("event=coordinator_refused term={} newer_term={}", term, term_);
    return false;
  }
  if (term > term_) spdlog::info("event=coordinator_found term={} before={}", term, term_);
  term_ = term;
  fence_refused_since_ = {};
  commands_seen_ = 0;
  last_contact_ = time_.Now();
  // The new coordinator places no tasks before it has the lists of this incarnation.
  if (!polling_) next_poll_ = time_.Now();
  report_due_ = true;
  return true;
}

void runner::OnGrant(const jobs::lease_grant& grant) {
  if (grant.term != term_) return;
  last_contact_ = time_.Now();
  pacer_.Adopt(grant.pressures);
  if (!announced_ || grant.incarnation != announced_->incarnation) return;
  if (grant.echo_ms > 0) {
    // This process may have been paused until after the lease expired.
    if (lease_end_ < time_.Now()) DropExpiredStarts();
    const core::mono_time sent{core::milliseconds{grant.echo_ms}};
    lease_end_ = std::max(lease_end_, sent + options_.task_lease);
  }
  if (grant.stored_end <= stored_end_) return;
  stored_end_ = grant.stored_end;
  std::erase_if(ended_, [this](const auto& end) { return end.number <= stored_end_; });
  if (!polling_) next_poll_ = time_.Now();
}

void runner::OnCommands(const jobs::worker_commands& commands) {
  if (commands.term != term_) return;
  commands_seen_ = std::max(commands_seen_, commands.sequence);
  report_due_ = true;
  if (!announced_ || commands.incarnation != announced_->incarnation) {
    for (const jobs::start_command& start : commands.starts) {
      // A repeated one may be on its way to the incarnation that the coordinator knows.
      if (!start.repeated) Refuse(start.facts.run, jobs::start_refusal::not_sent);
    }
    return;
  }
  for (const jobs::task_facts& facts : commands.facts) facts_.insert_or_assign(facts.run, facts);
  // The runs that a full list of ends leaves out are known now.
  if (ends_omitted_) KeepRunsWithUnlistedEnd(running_);
  for (const jobs::start_command& start : commands.starts) {
    const jobs::run_id& run = start.facts.run;
    if (expired_starts_.contains(run)) {
      Refuse(run, jobs::start_refusal::expired);
      continue;
    }
    facts_.insert_or_assign(run, start.facts);
    if (IsRunning(run)) continue;
    const auto place =
        starts_.try_emplace(run, pending_start{.command = start, .unanswered = start.repeated})
            .first;
    place->second.term = commands.term;
    place->second.command.expires_ms = start.expires_ms;
    const auto stop = stops_.find(run);
    if (stop != stops_.end() && stop->second.done) place->second.settled_at = time_.Now();
    // Commands delayed by a network partition: for the coordinator these runs have expired.
    if (lease_end_ < time_.Now()) Abandon(run, place->second, jobs::start_refusal::late);
  }
  for (const jobs::run_id& stop : commands.stops) {
    const auto start = starts_.find(stop);
    if (start != starts_.end() && !start->second.unanswered && !start->second.in_flight &&
        !start->second.settled_at) {
      starts_.erase(start);
      continue;
    }
    pending_stop& pending = stops_[stop];
    pending.done = false;
  }
  SendCommands();
}

bool runner::IsRunning(const jobs::run_id& run) const {
  return std::any_of(running_.begin(), running_.end(), [&](const auto& each) {
    return each.run == run.run && each.task == run.task;
  });
}

void runner::Tick() {
  if (!announced_) {
    if (time_.Now() >= next_report_) Report(false);
    return;
  }
  const core::mono_time now = time_.Now();
  if (!polling_ && now >= next_poll_ && term_ != 0) Poll();
  if (lease_end_ < now) {
    DropExpiredStarts();
    const bool found = now >= earlier_calls_expire_at_ && now < found_lease_end_;
    if (found || now < late_lease_end_) StopRunsWithoutLease();
  }
  std::erase_if(unresolved_starts_, [this, now](const auto& each) {
    const unresolved_start& start = each.second;
    // A run that it begins unseen works on until its lease has expired.
    const core::nanoseconds work = start.kept ? MaxDuration(options_.max_task_lease) : kNoTime;
    return now - start.failed_at > kMaxCallDelay + work;
  });
  std::erase_if(expired_starts_,
                [now](const auto& each) { return now - each.second > kMaxCallDelay; });
  if (now >= began_at_ + kMaxCallDelay) own_starts_.clear();
  SendCommands();
  if (report_due_ || now >= next_report_) Report(report_due_ || now >= next_listing_);
}

void runner::SendCommands() {
  if (!announced_) return;
  DropOverdueStarts();
  const core::mono_time now = time_.Now();
  for (auto& [run, stop] : stops_) {
    if (calls_in_flight_ >= kMaxCallsInFlight) return;
    if (!stop.in_flight && !stop.done && now >= stop.retry_at) SendStop(run, stop);
  }
  std::vector<jobs::run_id> abandoned;
  for (auto& [run, start] : starts_) {
    if (calls_in_flight_ >= kMaxCallsInFlight) break;
    if (start.in_flight || start.settled_at || now < start.retry_at) continue;
    if (stops_.contains(run) || IsOverdue(start, now)) continue;
    if (announced_->draining || target_left_) {
      abandoned.push_back(run);
      continue;
    }
    // With the new fencing token the target would execute it after this process is gone, while the
    // new coordinator need not know of it yet.
    if (start.term != term_) continue;
    if (failed_polls_ > 0 || !clock_offset_ms_ || !described_) continue;
    if (lease_end_ - now < kMinLease) continue;
    SendStart(run, start);
  }
  for (const jobs::run_id& run : abandoned) {
    Abandon(run, starts_.at(run), jobs::start_refusal::not_sent);
  }
}

void runner::SendStart(const jobs::run_id& run, pending_start& start) {
  start.in_flight = true;
  const core::mono_time now = time_.Now();
  first_calls_.try_emplace(run, now);
  if (now < began_at_ + kMaxCallDelay && !start.unanswered) own_starts_.insert(run);
  ++calls_in_flight_;
  sent_lease_end_ = std::max(sent_lease_end_, lease_end_);
  target_.Start({.run = run,
                 .payload = start.command.payload,
                 .checkpoint = start.command.checkpoint,
                 .fence = Fence(),
                 .lease_until_ms = *LeaseOnTargetClock(),
                 .target = announced_->incarnation.name},
                [this, run, incarnation = incarnation_count_](const command_reply& reply) {
                  if (incarnation != incarnation_count_) return;
                  --calls_in_flight_;
                  OnStarted(run, reply);
                  SendCommands();
                });
}

void runner::OnStarted(const jobs::run_id& run, command_reply reply) {
  if (reply.clock_ms && ClockWentBack(*reply.clock_ms)) {
    // The next incarnation has answered: whether the start reached the present one is unknown, and
    // nothing else may be sent before a poll is answered.
    reply = {};
    ++failed_polls_;
    if (!polling_) next_poll_ = time_.Now();
  }
  if (reply.clock_ms) {
    UpdateClockOffset(*reply.clock_ms);
    last_reply_ = time_.Now();
  }
  const auto place = starts_.find(run);
  if (place == starts_.end()) return;
  pending_start& start = place->second;
  start.in_flight = false;
  switch (reply.status) {
    case command_status::ok:
      start.settled_at = time_.Now();
      start.accepted = true;
      return;
    case command_status::not_sent:
      if (start.settled_at) return;
      start.retry_at = time_.Now() + kCommandRetryDelay;
      break;
    case command_status::unknown:
      start.failed_at = time_.Now();
      disturbed_at_ = start.failed_at;
      if (start.settled_at) {
        RememberStart(run, start);
        return;
      }
      start.retry_at = time_.Now() + kCommandRetryDelay;
      // The retry uses the same run number, so the run starts at most once.
      start.unanswered = true;
      RememberStart(run, start);
      metrics_.GetCounter("coltsfoot_orders_unanswered_total", {"order", "start"}).Add();
      spdlog::info("event=start_unanswered task={} run={}", jobs::ToString(run.task), run.run);
      break;
    case command_status::other_incarnation:
      Refuse(run, jobs::start_refusal::not_sent);
      return;
    case command_status::refused:
      if (start.unanswered && reply.refusal == jobs::start_refusal::old_run) {
        // An earlier, unanswered call may have started the run; the lists show whether it ended.
        start.settled_at = time_.Now();
        return;
      }
      if (start.unanswered) {
        metrics_.GetCounter("coltsfoot_unanswered_starts_refused_total").Add();
        spdlog::info("event=unanswered_start_refused task={} run={} reason={}",
                     jobs::ToString(run.task), run.run, jobs::ToString(reply.refusal));
      }
      start.abandoned = reply.refusal;
      break;
  }
  if (start.abandoned) Abandon(run, start, *start.abandoned);
}

void runner::RememberStart(const jobs::run_id& run, const pending_start& start) {
  const bool failed = !start.in_flight && start.failed_at != core::mono_time{};
  unresolved_start& unresolved = unresolved_starts_[run];
  unresolved.facts = start.command.facts;
  unresolved.failed_at = failed ? start.failed_at : time_.Now();
}

void runner::DropExpiredStarts() {
  std::vector<jobs::run_id> expired;
  for (const auto& [run, start] : starts_) expired.push_back(run);
  for (const jobs::run_id& run : expired) {
    Abandon(run, starts_.at(run), jobs::start_refusal::late);
  }
}

bool runner::IsOverdue(const pending_start& start, core::mono_time now) {
  const std::int64_t expires_ms = start.command.expires_ms;
  return expires_ms != 0 && core::ToMs(now.time_since_epoch()) >= expires_ms;
}

void runner::DropOverdueStarts() {
  const core::mono_time now = time_.Now();
  std::vector<jobs::run_id> overdue;
  for (const auto& [run, start] : starts_) {
    if (!IsOverdue(start, now) || start.in_flight || start.abandoned || start.settled_at) continue;
    if (!start.unanswered || listed_at_ > start.failed_at) overdue.push_back(run);
  }
  for (const jobs::run_id& run : overdue) {
    Abandon(run, starts_.at(run), jobs::start_refusal::expired);
  }
}

void runner::Abandon(const jobs::run_id& run, pending_start& start, jobs::start_refusal reason) {
  if (start.settled_at) return;
  if (!start.abandoned) start.abandoned = reason;
  // The answer to a call in flight decides how to go on.
  if (start.in_flight) return;
  if (start.unanswered) {
    stops_.try_emplace(run);
  } else {
    Refuse(run, *start.abandoned);
  }
}

void runner::Refuse(const jobs::run_id& run, jobs::start_refusal reason) {
  if (reason == jobs::start_refusal::expired) expired_starts_.insert_or_assign(run, time_.Now());
  refused_.push_back({run, reason});
  starts_.erase(run);
  report_due_ = true;
}

void runner::SendStop(const jobs::run_id& run, pending_stop& stop) {
  stop.in_flight = true;
  ++calls_in_flight_;
  target_.Stop(run, Fence(), announced_->incarnation.name,
               [this, run, incarnation = incarnation_count_](const command_reply& reply) {
                 if (incarnation != incarnation_count_) return;
                 --calls_in_flight_;
                 OnStopped(run, reply);
                 SendCommands();
               });
}

void runner::OnStopped(const jobs::run_id& run, const command_reply& reply) {
  const auto place = stops_.find(run);
  if (place == stops_.end()) return;
  pending_stop& stop = place->second;
  stop.in_flight = false;
  // A target that is unhealthy or refuses the fencing token has not executed the stop.
  const bool not_executed = reply.status == command_status::refused &&
                            (reply.refusal == jobs::start_refusal::unhealthy ||
                             reply.refusal == jobs::start_refusal::stale_fence);
  if (not_executed || reply.status == command_status::unknown ||
      reply.status == command_status::not_sent) {
    if (!not_executed) disturbed_at_ = time_.Now();
    stop.retry_at = time_.Now() + kCommandRetryDelay;
    metrics_.GetCounter("coltsfoot_orders_unanswered_total", {"order", "stop"}).Add();
    return;
  }
  stop.done = true;
  // From now on the target refuses to start this run, but a call may have started it before.
  const auto start = starts_.find(run);
  if (start != starts_.end() && !start->second.settled_at) start->second.settled_at = time_.Now();
}

void runner::PaceFilling() {
  for (const pace_change& change : pacer_.Update(running_, facts_, time_.Now())) {
    if (!pace_calls_in_flight_.insert(change.run).second) continue;
    metrics_.GetCounter("coltsfoot_pace_orders_total").Add();
    target_.Pace(change.run, change.percent, Fence(), announced_->incarnation.name,
                 [this, change, incarnation = incarnation_count_](const command_reply& reply) {
                   if (incarnation != incarnation_count_) return;
                   pace_calls_in_flight_.erase(change.run);
                   if (reply.status == command_status::ok) pacer_.Confirm(change);
                 });
  }
}

void runner::PrepareStop() {
  if (!announced_ || term_ == 0) return;
  const auto until = LeaseOnTargetClock();
  if (!until) return;
  target_.Poll({.fence = Fence(), .lease_until_ms = until, .stored_end = 0},
               announced_->incarnation.name, [](const poll_reply&) {});
}

}  // namespace coltsfoot::runner
