#include "target_monitor.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace coltsfoot::agent {
namespace {

constexpr core::milliseconds kPollWait{5000};
constexpr core::milliseconds kRetryDelay{500};
constexpr std::size_t kFormerInstances = 8;

}  // namespace

target_monitor::target_monitor(const core::clock& time, metrics::registry& metrics,
                               core::milliseconds announce_timeout, worker_state& state,
                               capacity_ledger& ledger, task_manager& tasks,
                               request_manager& requests, target_client& target,
                               usage_handler on_usage)
    : time_(time),
      metrics_(metrics),
      announce_timeout_(announce_timeout),
      state_(state),
      ledger_(ledger),
      tasks_(tasks),
      requests_(requests),
      target_(target),
      on_usage_(std::move(on_usage)) {}

void target_monitor::Announce(const target_announcement& announcement) {
  const auto former =
      std::find(former_instances_.begin(), former_instances_.end(), announcement.instance);
  if (former != former_instances_.end()) {
    // A delayed announcement, sent before the instance ended or announced its shutdown.
    metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", "former_instance"})
        .Add();
    return;
  }
  if (!current_ || current_->instance != announcement.instance) ChangeInstance(announcement);
  if (*current_ != announcement || !state_.target_live) {
    current_ = announcement;
    target_.SetTarget(announcement.address);
    ledger_.SetTotal(announcement.total, announcement.slots, announcement.connections);
    requests_.SetServices(announcement.services);
  }
  if (!state_.target_live) {
    spdlog::info("event=target_live target={} instance={}", announcement.target,
                 announcement.instance);
  }
  state_.target_live = true;
  last_announced_at_ = time_.Now();
  if (state_.recovering && !call_in_flight_ && last_announced_at_ >= next_call_) RecoverTasks();
}

void target_monitor::ChangeInstance(const target_announcement& announcement) {
  if (current_) {
    spdlog::info("event=target_replaced former={} instance={} tasks={}", current_->instance,
                 announcement.instance, tasks_.size());
    AddFormerInstance(current_->instance);
    tasks_.ReportAllLost();
  }
  current_ = announcement;
  target_.SetTarget(announcement.address);
  ledger_.SetTotal(announcement.total, announcement.slots, announcement.connections);
  requests_.SetServices(announcement.services);
  state_.recovering = true;
  ++generation_;
  next_event_ = 0;
  call_in_flight_ = false;
  next_call_ = time_.Now();
}

void target_monitor::AddFormerInstance(const std::string& instance) {
  if (former_instances_.size() == kFormerInstances) former_instances_.pop_front();
  former_instances_.push_back(instance);
}

void target_monitor::Goodbye(const std::string& instance) {
  if (!current_ || (!instance.empty() && instance != current_->instance)) return;
  if (!state_.target_live) return;
  spdlog::info("event=target_departs instance={} tasks={}", current_->instance, tasks_.size());
  state_.target_live = false;
  // A delayed announcement must not mark this instance as live again.
  AddFormerInstance(current_->instance);
  tasks_.EvictAll();
}

void target_monitor::Tick() {
  const core::mono_time now = time_.Now();
  if (state_.target_live && now >= last_announced_at_ + announce_timeout_) {
    spdlog::warn("event=target_silent instance={}", current_->instance);
    state_.target_live = false;
  }
  if (!current_ || call_in_flight_ || now < next_call_) return;
  if (!state_.recovering) {
    Poll();
  } else if (state_.target_live) {
    RecoverTasks();
  }
}

void target_monitor::RecoverTasks() {
  call_in_flight_ = true;
  target_.List([this, generation = generation_](std::optional<task_listing> listing) {
    if (generation != generation_) return;
    if (!listing || listing->instance != current_->instance) {
      ScheduleRetry();
      return;
    }
    RecoverEvents(*listing);
  });
}

// The events are read after the list, so they include tasks that ended in between. Until then the
// worker does not know which assignments have ended, and a shard report to a new owner would omit
// their results.
void target_monitor::RecoverEvents(const task_listing& listing) {
  target_.PollEvents(0, core::milliseconds{0},
                     [this, listing, generation = generation_](std::optional<event_batch> batch) {
                       if (generation != generation_) return;
                       if (!batch || batch->instance != current_->instance) {
                         ScheduleRetry();
                         return;
                       }
                       tasks_.RestoreTasks(listing);
                       HandleEvents(*batch);
                       tasks_.ReportEnded(listing);
                       state_.recovering = false;
                       call_in_flight_ = false;
                       spdlog::info("event=recovered instance={} tasks={}", current_->instance,
                                    tasks_.size());
                     });
}

void target_monitor::Poll() {
  call_in_flight_ = true;
  target_.PollEvents(next_event_, kPollWait,
                     [this, generation = generation_](std::optional<event_batch> batch) {
                       if (generation != generation_) return;
                       if (!batch || batch->instance != current_->instance) {
                         ScheduleRetry();
                         return;
                       }
                       call_in_flight_ = false;
                       HandleEvents(*batch);
                     });
}

void target_monitor::ScheduleRetry() {
  call_in_flight_ = false;
  next_call_ = time_.Now() + kRetryDelay;
}

void target_monitor::HandleEvents(const event_batch& batch) {
  // Never moves back: a target that returns an old position would send the same events forever.
  next_event_ = std::max(next_event_, batch.next);
  for (const target_event& event : batch.events) {
    if (event.type == target_event_type::usage) {
      on_usage_(event);
    } else {
      tasks_.OnTargetEvent(event);
    }
  }
}

}  // namespace coltsfoot::agent
