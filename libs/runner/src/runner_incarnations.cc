#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "runner/runner.h"

// Part of the runner that follows the incarnations of its target.
namespace coltsfoot::runner {
namespace {

// Far more than clocks of a fleet differ. A target that seems to start later than this would make
// the runner ignore all later incarnations.
constexpr std::chrono::hours kMaxStartAhead{24};

}  // namespace

bool runner::IsPlausibleStart(std::uint64_t started_ms) const {
  const std::chrono::milliseconds latest = time_.WallNow().time_since_epoch() + kMaxStartAhead;
  return started_ms <= static_cast<std::uint64_t>(latest.count());
}

void runner::OnAnnouncement(const target_announcement& received) {
  if (!IsPlausibleStart(received.incarnation.started_ms)) {
    spdlog::warn("event=announcement_refused target={} born={}", received.incarnation.name,
                 received.incarnation.started_ms);
    return;
  }
  if (announced_) {
    const target_announcement& known = *announced_;
    // Delayed announcement of an earlier incarnation, or one that arrived out of order, unless the
    // known one is surely gone.
    const bool is_gone = name_refused_ && received.incarnation.name != known.incarnation.name;
    if (received.incarnation.started_ms < known.incarnation.started_ms && !is_gone) return;
    if (received.incarnation.name == known.incarnation.name &&
        ended_ahead_.contains(received.incarnation.started_ms)) {
      return;
    }
    if (described_ && received.incarnation == known.incarnation &&
        received.sequence <= known.sequence) {
      return;
    }
  }
  if (!announced_ || announced_->incarnation != received.incarnation) {
    BeginIncarnation(received.incarnation);
  }
  if (!described_) {
    Describe(received);
    return;
  }
  const bool changed = announced_->draining != received.draining || target_left_ ||
                       announced_->capacity != received.capacity;
  if (announced_->draining != received.draining) {
    spdlog::info("event=target_state target={} draining={}", received.incarnation.name,
                 received.draining);
  }
  if (announced_->address != received.address) target_.SetAddress(received.address);
  announced_ = received;
  target_left_ = false;
  report_due_ = report_due_ || changed;
}

void runner::Describe(const target_announcement& announcement) {
  spdlog::info("event=target_found target={} born={} service={} cpu={} memory_mb={}",
               announcement.incarnation.name, announcement.incarnation.started_ms,
               announcement.service, announcement.capacity.cpu_millis,
               announcement.capacity.memory_mb);
  announced_ = announcement;
  described_ = true;
  target_.SetAddress(announcement.address);
  report_due_ = true;
  // The first poll shuts out all calls that were sent to earlier incarnations.
  if (!has_lists_ && !polling_ && term_ != 0) Poll();
}

void runner::BeginIncarnation(const jobs::target_incarnation& next) {
  // `crashed_` may hold runs of an earlier incarnation that no report has named yet.
  for (const auto& [run, start] : starts_) {
    // A start that was answered may have been so by the next incarnation.
    if (start.unanswered || first_calls_.contains(run)) {
      RememberStart(run, start);
    }
  }
  KeepLateStarts();
  kept_name_ = announced_ && announced_->incarnation.name == next.name;
  if (!kept_name_) {
    unresolved_starts_.clear();
    ended_ahead_.clear();
    epoch_ = 0;
  }
  epoch_ = std::max(epoch_ + 1, next.started_ms);
  fence_refused_since_ = {};
  fence_step_ = kFirstFenceStep;
  held_end_ = 0;
  restarted_at_ = time_.Now();
  if (kept_name_) disturbed_at_ = restarted_at_;
  late_lease_end_ = {};
  found_lease_end_ = {};
  crashed_.insert(crashed_.end(), runs_of_gone_.begin(), runs_of_gone_.end());
  runs_of_gone_.clear();
  refused_.clear();
  CollectLostRuns(crashed_, refused_);
  if (!announced_) announced_.emplace();
  announced_->incarnation = next;
  announced_->draining = false;
  described_ = false;
  name_refused_ = false;
  ++incarnation_count_;
  target_left_ = false;
  clock_offset_ms_.reset();
  lease_end_ = {};
  sent_lease_end_ = {};
  stored_end_ = 0;
  confirmed_end_ = 0;
  last_end_seen_ = 0;
  polling_ = false;
  failed_polls_ = 0;
  next_poll_ = time_.Now();
  last_answer_ = time_.Now();
  listed_at_ = {};
  has_lists_ = false;
  ends_omitted_ = false;
  running_.clear();
  ended_.clear();
  starts_.clear();
  stops_.clear();
  facts_.clear();
  first_calls_.clear();
  broken_at_ = {};
  calls_in_flight_ = 0;
  pacer_.Clear();
  pace_calls_in_flight_.clear();
  forgot_starts_ = false;
  StopLateStarts();
  report_due_ = true;
}

void runner::StopLateStarts() {
  for (const auto& [run, unresolved] : unresolved_starts_) {
    starts_.try_emplace(run, pending_start{.command = {.facts = unresolved.facts},
                                           .unanswered = true,
                                           .abandoned = jobs::start_refusal::not_sent,
                                           .failed_at = unresolved.failed_at});
    stops_.try_emplace(run);
    spdlog::info("event=late_start_stopped target={} task={} run={}", announced_->incarnation.name,
                 jobs::ToString(run.task), run.run);
  }
}

void runner::StopRunsWithoutLease() {
  for (const jobs::running_task& each : running_) {
    const jobs::run_id run{each.task, each.run};
    if (stops_.try_emplace(run).second) {
      spdlog::info("event=run_stopped_without_lease task={} run={}", jobs::ToString(run.task),
                   run.run);
    }
  }
}

void runner::OnLeave(const std::string& target) {
  if (!announced_ || announced_->incarnation.name != target) return;
  spdlog::info("event=target_left target={} draining={}", target, announced_->draining);
  // A target announces that it drains before a planned shutdown. Without that announcement the
  // message may be a delayed one of an earlier incarnation.
  if (!announced_->draining) return;
  target_left_ = true;
  report_due_ = true;
}

}  // namespace coltsfoot::runner
