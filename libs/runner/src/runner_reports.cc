#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "runner/runner.h"

// Part of the runner that judges its target's state and reports to the coordinator.
namespace coltsfoot::runner {
namespace {

// Complete lists are reported on each change, and at this interval without changes.
constexpr core::milliseconds kListingPeriod{1000};
// Events at the target that are no further apart than this belong to one crash.
constexpr core::milliseconds kCrashDelay{100};
// The target's clock may run 2 % slow, so its lease may last longer by as much.
constexpr std::int64_t kClockDriftPermille = 20;
constexpr core::milliseconds kExpiryMargin{200};

}  // namespace

core::nanoseconds runner::MaxDuration(core::nanoseconds lease) {
  return lease + lease * kClockDriftPermille / 1000 + kExpiryMargin;
}

jobs::target_state runner::State() const {
  if (!announced_) return jobs::target_state::unknown;
  if (target_left_) return jobs::target_state::gone;
  const core::mono_time now = time_.Now();
  if (has_lists_ && now - last_answer_ > options_.silent_after + options_.poll_wait) {
    const core::mono_time expired = last_answer_ + MaxDuration(sent_lease_end_ - last_answer_);
    // An earlier process may have extended the lease beyond what this one knows.
    return now > std::max({expired, earlier_calls_expire_at_, late_lease_end_})
               ? jobs::target_state::gone
               : jobs::target_state::silent;
  }
  return announced_->draining ? jobs::target_state::draining : jobs::target_state::ready;
}

jobs::target_state runner::ReportedState() const {
  const jobs::target_state state = State();
  if (!described_) return jobs::target_state::unknown;
  return has_lists_ || state == jobs::target_state::gone ? state : jobs::target_state::unknown;
}

bool runner::HasCompleteLists() const {
  // Until the target has seen the fencing token of this term, it may execute a start that an
  // earlier process of this agent sent under another term and that nobody knows of.
  return has_lists_ && described_ &&
         (listed_term_ == term_ || time_.Now() >= earlier_calls_expire_at_);
}

bool runner::MayHaveBegun(const jobs::run_id& run, core::mono_time called_at) const {
  const auto start = starts_.find(run);
  if (start == starts_.end() || start->second.accepted) return true;
  if (start->second.settled_at) return false;
  // The target went silent without a sign. A call long after its last answer reached no one.
  if (broken_at_ == core::mono_time{}) return called_at - last_reply_ <= kCrashDelay;
  // A call that had been without an answer for longer may have been delayed.
  if (start->second.in_flight || broken_at_ - called_at > kCrashDelay) return false;
  // All connections to a target that crashes break together.
  const core::nanoseconds apart = start->second.failed_at - broken_at_;
  return std::chrono::abs(apart) <= kCrashDelay;
}

void runner::CollectLostRuns(std::vector<jobs::crashed_run>& crashed,
                             std::vector<jobs::refused_run>& refused) const {
  // A target that announced its end has not crashed.
  if (!announced_ || announced_->draining || target_left_) return;
  for (const auto& [run, start] : starts_) {
    if (!first_calls_.contains(run) && !start.unanswered) {
      refused.push_back({run, jobs::start_refusal::not_sent});
    }
  }
  if (first_calls_.empty()) return;
  // A target that crashes breaks its connections, unless its host is lost as well.
  const core::mono_time last_sign = std::max(last_reply_, broken_at_);
  std::string recent;
  for (const auto& [run, called_at] : first_calls_) {
    if (!MayHaveBegun(run, called_at)) continue;
    const auto start = starts_.find(run);
    const bool listed = start == starts_.end();
    const bool settled = !listed && start->second.accepted;
    // A slow target begins the run when it answers.
    const core::mono_time begun = settled ? *start->second.settled_at : called_at;
    const std::int64_t age_ms = std::max<std::int64_t>(0, core::ToMs(last_sign - begun));
    crashed.push_back({run, static_cast<std::uint32_t>(age_ms), listed || settled});
    if (core::milliseconds{age_ms} >= jobs::kSuspectAge) continue;
    if (!recent.empty()) recent += ',';
    recent += jobs::ToString(run.task);
  }
  spdlog::warn("event=target_crashed target={} runs={} recent={}", announced_->incarnation.name,
               first_calls_.size(), recent);
}

void runner::ForgetRuns() {
  if (running_.empty() && starts_.empty()) return;
  spdlog::warn("event=target_gone target={} runs={} unanswered_for_ms={}",
               announced_->incarnation.name, running_.size(),
               core::ToMs(time_.Now() - last_answer_));
  // Whether the target crashed or is only silent shows when its next incarnation is known.
  CollectLostRuns(runs_of_gone_, refused_);
  for (const auto& [run, start] : starts_) {
    const bool is_known = unresolved_starts_.contains(run);
    if (start.in_flight || (start.unanswered && !is_known)) RememberStart(run, start);
  }
  KeepLateStarts();
  forgot_starts_ = true;
  running_.clear();
  starts_.clear();
  stops_.clear();
  facts_.clear();
  first_calls_.clear();
}

void runner::KeepLateStarts() {
  for (auto& [run, unresolved] : unresolved_starts_) {
    const bool in_place = starts_.contains(run) || IsRunning(run);
    unresolved.kept = unresolved.kept || (in_place && !unresolved.facts.long_running);
  }
}

void runner::Report(bool with_lists) {
  const core::mono_time now = time_.Now();
  const bool is_gone = State() == jobs::target_state::gone;
  if (is_gone) ForgetRuns();
  // The coordinator keeps in place what a report of a target that is gone lists.
  with_lists = with_lists || is_gone || !refused_.empty() || !crashed_.empty();
  jobs::worker_report report{.agent = options_.agent,
                             .agent_incarnation = options_.agent_incarnation,
                             .term = term_,
                             .sent_ms = core::ToMs(now.time_since_epoch()),
                             .commands_seen = commands_seen_,
                             .state = ReportedState()};
  // An announcement may be a delayed one of an earlier incarnation, and reporting it would make the
  // coordinator count the runs of the current incarnation as lost. Only an answered poll proves
  // which incarnation runs.
  if (described_ && has_lists_) {
    report.incarnation = announced_->incarnation;
    report.service = announced_->service;
    report.zone = announced_->zone;
    report.labels = announced_->labels;
    report.capacity = announced_->capacity;
  }
  const bool complete = HasCompleteLists();
  for (const auto& [run, unresolved] : unresolved_starts_) {
    if ((is_gone || !complete) && unresolved.kept) report.starting.push_back(run);
  }
  if (with_lists && complete) {
    report.listed = true;
    report.ends_omitted = ends_omitted_;
    report.running = running_;
    for (jobs::running_task& task : report.running) {
      task.pace = pacer_.PaceOf({task.task, task.run});
    }
    for (const auto& [run, start] : starts_) {
      if (!IsRunning(run)) report.starting.push_back(run);
    }
    report.ended = ended_;
    report.refused = refused_;
    report.crashed = crashed_;
  }
  next_report_ = now + options_.report_period;
  if (!coordinator_.Send(report)) return;
  report_due_ = false;
  if (!report.listed) return;
  if (!is_gone) {
    for (auto& [run, unresolved] : unresolved_starts_) unresolved.kept = false;
  }
  refused_.clear();
  crashed_.clear();
  next_listing_ = now + kListingPeriod;
}

}  // namespace coltsfoot::runner
