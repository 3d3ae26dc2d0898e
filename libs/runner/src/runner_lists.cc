#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "runner/runner.h"

// Part of the runner that polls its target and keeps the target's lists.
namespace coltsfoot::runner {
namespace {

// Delay between polls while listed ends are not confirmed yet: the target answers immediately as
// long as it lists an end.
constexpr core::milliseconds kUnconfirmedEndsPollDelay{60};
// With more ends than this the list of a target could fill up and hide others.
constexpr std::size_t kMaxHeldEnds = jobs::kMaxListedEnds / 2;
// Part of the time for confirmations that is left for the call that carries them.
constexpr core::milliseconds kConfirmationTime{1000};
constexpr core::milliseconds kFailedPollDelay{150};
// An agent whose coordinator is of an earlier term learns of the next one sooner than this.
// Refusals that last longer mean that a clock has stepped back.
constexpr core::milliseconds kFenceRefusalLimit{3000};
constexpr core::milliseconds kMaxFenceStep{1LL << 40U};
// An answer to a command is on its way for less than this, which is the timeout of commands.
constexpr std::int64_t kMaxAnswerDelayMs = 400;

/// @return true if a run that ended so must not start again.
bool IsCompletion(jobs::end_reason reason) {
  return reason == jobs::end_reason::done || reason == jobs::end_reason::failed;
}

}  // namespace

void runner::Poll() {
  polling_ = true;
  const core::mono_time sent = time_.Now();
  const bool unstored = !ended_.empty();
  const auto any = [this](auto predicate) {
    return std::any_of(facts_.begin(), facts_.end(),
                       [&](const auto& each) { return predicate(each.second); });
  };
  const bool pacing = any([](const jobs::task_facts& each) { return each.fills; }) &&
                      any([](const jobs::task_facts& each) { return each.goal_ms > 0; });
  poll_call call{.fence = Fence(), .lease_until_ms = std::nullopt, .stored_end = EndToConfirm()};
  // After a failure an answer is needed at once: the lease is extended only when one has arrived.
  if (!unstored && clock_offset_ms_ && failed_polls_ == 0) {
    call.wait = pacing ? options_.poll_wait_pacing : options_.poll_wait;
  }
  // While a target does not answer, each further extension would postpone the time at which its
  // runs have certainly expired.
  if (failed_polls_ == 0) call.lease_until_ms = LeaseOnTargetClock();
  if (call.lease_until_ms) sent_lease_end_ = std::max(sent_lease_end_, lease_end_);
  target_.Poll(call, announced_->incarnation.name,
               [this, sent, wait = call.wait, confirmed = call.stored_end, term = term_,
                incarnation = incarnation_count_](const poll_reply& reply) {
                 if (incarnation != incarnation_count_) return;
                 const std::optional<target_lists>& lists = reply.lists;
                 if (reply.stale_fence) OnFenceRefused();
                 name_refused_ = reply.other_name;
                 if (lists && std::exchange(listed_term_, term) != term) report_due_ = true;
                 if (!lists && failed_polls_ == 0 && time_.Now() - sent < wait) {
                   broken_at_ = time_.Now();
                 }
                 OnLists(lists, sent, confirmed);
               });
}

std::optional<std::int64_t> runner::LeaseOnTargetClock() const {
  if (!clock_offset_ms_ || lease_end_ <= time_.Now()) return std::nullopt;
  return core::ToMs(lease_end_.time_since_epoch()) + *clock_offset_ms_;
}

bool runner::ClockWentBack(std::int64_t clock_ms) const {
  const std::int64_t now_ms = core::ToMs(time_.Now().time_since_epoch());
  return clock_offset_ms_ && clock_ms + kMaxAnswerDelayMs < now_ms + *clock_offset_ms_;
}

void runner::UpdateClockOffset(std::int64_t clock_ms) {
  // The answer was sent earlier than now, so the computed offset never exceeds the real one and
  // leases never end late on the target's clock.
  clock_offset_ms_ = clock_ms - core::ToMs(time_.Now().time_since_epoch());
}

std::uint64_t runner::EndToConfirm() const {
  // A target that does not answer may be replaced by its next incarnation, whose ends nobody has
  // read. What is confirmed already is left out, since a late poll would confirm it there.
  const std::uint64_t end = held_end_ > 0 ? std::min(stored_end_, held_end_ - 1) : stored_end_;
  return has_lists_ && failed_polls_ == 0 && end > confirmed_end_ ? end : 0;
}

bool runner::IsKept(const jobs::run_id& run, const pending_start& start) const {
  if (start.command.facts.long_running) return false;
  const auto unresolved = unresolved_starts_.find(run);
  if (unresolved == unresolved_starts_.end()) return false;
  if (start.abandoned && !start.completed) return true;
  return kept_name_ && unresolved->second.failed_at <= restarted_at_;
}

bool runner::MayStartAgain(const jobs::run_id& run) const {
  if (unresolved_starts_.contains(run)) return true;
  return time_.Now() < began_at_ + kMaxCallDelay && !own_starts_.contains(run);
}

void runner::HoldEnds(const std::vector<jobs::ended_run>& listed) {
  held_end_ = 0;
  const bool steady = time_.Now() + kConfirmationTime > disturbed_at_ + options_.confirm_within;
  if (steady || listed.size() > kMaxHeldEnds) return;
  for (const jobs::ended_run& end : listed) {
    if (held_end_ > 0 && end.number >= held_end_) continue;
    if (IsCompletion(end.reason) && MayStartAgain({end.task, end.run})) held_end_ = end.number;
  }
}

void runner::OnFenceRefused() {
  const core::mono_time now = time_.Now();
  spdlog::warn("event=fence_refused target={} term={}", announced_->incarnation.name, term_);
  if (fence_refused_since_ == core::mono_time{}) fence_refused_since_ = now;
  if (now - fence_refused_since_ < kFenceRefusalLimit) return;
  epoch_ += static_cast<std::uint64_t>(fence_step_.count());
  spdlog::warn("event=fence_raised target={} by_ms={}", announced_->incarnation.name,
               fence_step_.count());
  if (fence_step_ < kMaxFenceStep) fence_step_ *= 2;
}

void runner::OnLists(const std::optional<target_lists>& lists, core::mono_time sent,
                     std::uint64_t confirmed) {
  polling_ = false;
  const core::mono_time now = time_.Now();
  const auto is_of_other = [this](const target_lists& each) {
    return each.started_ms && *each.started_ms != announced_->incarnation.started_ms;
  };
  if (!lists || (is_of_other(*lists) && !IsPlausibleStart(*lists->started_ms))) {
    ++failed_polls_;
    disturbed_at_ = now;
    next_poll_ = now + kFailedPollDelay;
    metrics_.GetCounter("coltsfoot_target_looks_failed_total").Add();
    return;
  }
  if (is_of_other(*lists)) {
    if (*lists->started_ms < announced_->incarnation.started_ms) {
      ended_ahead_.insert(announced_->incarnation.started_ms);
    }
    spdlog::warn("event=target_replaced target={} born={} before={} confirmed_end={}",
                 announced_->incarnation.name, *lists->started_ms,
                 announced_->incarnation.started_ms, confirmed);
    // A target that answers with another start time each time is not polled without delay.
    const bool is_first = now - std::exchange(adopted_at_, now) >= kFailedPollDelay;
    BeginIncarnation({announced_->incarnation.name, *lists->started_ms});
    // Its fencing token shuts out all calls that were sent to the earlier incarnation.
    if (is_first) {
      Poll();
    } else {
      next_poll_ = now + kFailedPollDelay;
    }
    return;
  }
  confirmed_end_ = std::max(confirmed_end_, confirmed);
  last_answer_ = now;
  listed_at_ = sent;
  last_reply_ = now;
  broken_at_ = {};
  runs_of_gone_.clear();
  failed_polls_ = 0;
  fence_refused_since_ = {};
  fence_step_ = kFirstFenceStep;
  if (std::exchange(forgot_starts_, false)) {
    StopLateStarts();
    report_due_ = true;
  }
  ApplyLists(*lists, sent);
  PaceFilling();
  next_poll_ = ended_.empty() && held_end_ == 0 ? now : now + kUnconfirmedEndsPollDelay;
  if (!ended_.empty() && ended_.back().number > last_end_seen_) {
    last_end_seen_ = ended_.back().number;
    report_due_ = true;
  }
  if (!std::exchange(has_lists_, true)) {
    report_due_ = true;
    // Calls that were on their way when the target went down are read when it is back.
    const core::mono_time expired = now + MaxDuration(options_.max_task_lease);
    if (kept_name_) late_lease_end_ = expired;
    if (incarnation_count_ == 1) found_lease_end_ = expired;
  }
  if (report_due_) Report(true);
}

void runner::ApplyLists(const target_lists& lists, core::mono_time sent) {
  UpdateClockOffset(lists.clock_ms);
  const std::size_t before = running_.size();
  const std::vector<jobs::running_task> last = std::exchange(running_, lists.running);
  ended_ = lists.ended;
  // Stays set when ends of this list are confirmed: the target has not listed the next ones then.
  ends_omitted_ = lists.ended.size() >= jobs::kMaxListedEnds;
  if (ends_omitted_) KeepRunsWithUnlistedEnd(last);
  HoldEnds(lists.ended);
  std::erase_if(ended_, [this](const auto& end) { return end.number <= stored_end_; });
  std::sort(ended_.begin(), ended_.end(),
            [](const auto& left, const auto& right) { return left.number < right.number; });
  if (running_.size() != before) report_due_ = true;
  std::set<jobs::run_id> listed;
  for (const jobs::running_task& task : running_) listed.insert({task.task, task.run});
  std::map<jobs::run_id, jobs::end_reason> ended;
  for (const jobs::ended_run& end : ended_) ended[{end.task, end.run}] = end.reason;
  for (auto& [run, start] : starts_) {
    // Sent again, the call could start an ended run in the next incarnation.
    const bool known = listed.contains(run) || ended.contains(run);
    if (known && !start.settled_at) start.settled_at = sent;
    const auto end = ended.find(run);
    start.completed = start.completed || (end != ended.end() && IsCompletion(end->second));
  }
  std::erase_if(starts_, [&](const auto& each) {
    const auto& [run, start] = each;
    if (listed.contains(run)) return !start.in_flight && !IsKept(run, start);
    const auto end = ended.find(run);
    if (end != ended.end() && (end->second == jobs::end_reason::done || !IsKept(run, start))) {
      return !start.in_flight;
    }
    // Not listed although settled before this poll: it never ran, or its end is stored.
    const bool gone = start.settled_at && *start.settled_at < sent && !start.in_flight &&
                      !ends_omitted_ && !IsKept(run, start);
    if (gone && start.abandoned) refused_.push_back({run, *start.abandoned});
    report_due_ = report_due_ || gone;
    return gone;
  });
  std::erase_if(stops_, [&](const auto& each) {
    return !each.second.in_flight &&
           (ended.contains(each.first) ||
            (each.second.done && !listed.contains(each.first) && !starts_.contains(each.first)));
  });
  const auto is_over = [&](const auto& each) {
    return !listed.contains(each.first) && !starts_.contains(each.first);
  };
  std::erase_if(facts_, is_over);
  std::erase_if(first_calls_, is_over);
}

void runner::KeepRunsWithUnlistedEnd(const std::vector<jobs::running_task>& last) {
  std::set<jobs::run_id> known;
  for (const jobs::running_task& task : running_) known.insert({task.task, task.run});
  for (const jobs::ended_run& end : ended_) known.insert({end.task, end.run});
  std::size_t kept = 0;
  for (const jobs::running_task& task : last) {
    if (!known.insert({task.task, task.run}).second) continue;
    running_.push_back(task);
    ++kept;
  }
  for (const auto& [run, facts] : facts_) {
    if (starts_.contains(run) || !known.insert(run).second) continue;
    running_.push_back({.task = run.task, .run = run.run});
    ++kept;
  }
  if (kept == 0) return;
  metrics_.GetCounter("coltsfoot_ends_unlisted_total").Add(kept);
  spdlog::warn("event=ends_unlisted target={} runs={}", announced_->incarnation.name, kept);
}

}  // namespace coltsfoot::runner
