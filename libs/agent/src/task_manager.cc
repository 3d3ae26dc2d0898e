#include "task_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;
using wire::task_event;
using wire::task_event_kind;

// Acks of several entries arrive within milliseconds of each other; the delay lets one call to the
// target carry the new deadlines of them all.
constexpr core::milliseconds kLeasePushDelay{100};
// Maximum wait for the end event of a task that the target no longer runs.
constexpr core::milliseconds kEventWait{2000};
// The target stops a task when its lease expires. The report of the end waits longer by the time
// that one call to the target may take, so that it can carry the last checkpoint; otherwise the
// work would resume from an older one.
constexpr core::milliseconds kExpiryGrace{5000};
// Number of lease times for which an epoch is remembered. A start older than one lease time is
// refused because of its token; the rest allows for a message that was accepted just before that
// and for entries that retry.
constexpr int kSeenEpochLeases = 4;
constexpr std::size_t kEventOverheadBytes = 4096;

}  // namespace

task_manager::task_manager(const core::clock& time, metrics::registry& metrics,
                           core::milliseconds lease_ttl, capacity_ledger& ledger,
                           const worker_state& state, const admission_gate& gate,
                           entry_directory& entries, event_outbox& outbox, target_client& target)
    : time_(time),
      metrics_(metrics),
      lease_ttl_(lease_ttl),
      ledger_(ledger),
      state_(state),
      gate_(gate),
      entries_(entries),
      outbox_(outbox),
      target_(target),
      rooms_(time, metrics, ledger) {}

bool task_manager::IsSeen(const std::string& task, core::epoch_number epoch) const {
  const auto found = seen_.find(task);
  return found != seen_.end() && epoch <= found->second.epoch;
}

void task_manager::RememberEpoch(const std::string& task, core::epoch_number epoch) {
  seen_epoch& seen = seen_[task];
  seen.epoch = std::max(seen.epoch, epoch);
  seen.forget_at = time_.Now() + lease_ttl_ * kSeenEpochLeases;
}

task_manager::task_entry* task_manager::Find(const std::string& task, core::epoch_number epoch) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end() || found->second.spec.epoch != epoch) return nullptr;
  return &found->second;
}

void task_manager::Control(connection_id from, const wire::control_task& message) {
  const fence_order order =
      entries_.ObserveFence(message.shard, message.fence, entries_.ProcessOf(from));
  if (order == fence_order::stale) {
    metrics_.CountRefusal("agent", result_code::stale_fence);
    return;
  }
  if (order == fence_order::raised) outbox_.ResendShard(message.shard);
  task_entry* entry = Find(message.task, message.epoch);
  if (entry == nullptr) {
    if (outbox_.ResendTask({message.task, message.epoch})) return;
    if (state_.recovering || IsSeen(message.task, message.epoch)) {
      metrics_.CountRefusal("agent",
                            state_.recovering ? result_code::recovering : result_code::stale_epoch);
      return;
    }
    // The worker does not run this assignment. Remembering its epoch ensures that it never will.
    RememberEpoch(message.task, message.epoch);
    task_spec spec;
    spec.task = message.task;
    spec.epoch = message.epoch;
    spec.shard = message.shard;
    outbox_.SendUntilAcknowledged(MakeEvent(spec, task_event_kind::lost, result_code::not_found));
    return;
  }
  switch (message.action) {
    case wire::task_action::checkpoint:
      TakeCheckpoint(*entry);
      return;
    case wire::task_action::throttle:
      target_.Control(message.task, message.epoch, target_action::throttle, [](control_result) {});
      return;
    case wire::task_action::unthrottle:
      target_.Control(message.task, message.epoch, target_action::unthrottle,
                      [](control_result) {});
      return;
    case wire::task_action::evict:
      PlanEnd(*entry, {task_event_kind::evicted, result_code::evicted});
      return;
    case wire::task_action::cancel:
      PlanEnd(*entry, {task_event_kind::cancelled, result_code::cancelled});
      return;
  }
  CountDrop("unknown_action");
}

void task_manager::TakeCheckpoint(task_entry& entry) {
  const wire::task_ref task{entry.spec.task, entry.spec.epoch};
  target_.Control(
      task.task, task.epoch, target_action::checkpoint,
      [this, task, generation = generation_](control_result result) {
        task_entry* found = Find(task.task, task.epoch);
        if (generation != generation_ || found == nullptr) return;
        if (result.outcome != control_outcome::done || found->phase != task_phase::running) return;
        found->spec.checkpoint = std::move(result.checkpoint);
        found->saved_at = time_.Now();
        outbox_.SendOnce(MakeEvent(found->spec, task_event_kind::checkpointed, result_code::ok));
      });
}

void task_manager::PlanEnd(task_entry& entry, planned_end end) {
  if (entry.phase == task_phase::unconfirmed || entry.phase == task_phase::awaiting_event) return;
  // A cancellation replaces an eviction, because an evicted task would be started again.
  const bool cancels = end.kind == task_event_kind::cancelled;
  if (!entry.end || cancels) entry.end = end;
  if (entry.phase == task_phase::running && !entry.call_in_flight) {
    entry.next_call = time_.Now();
    SendStop(entry);
  }
}

void task_manager::SendStop(task_entry& entry) {
  entry.call_in_flight = true;
  const wire::task_ref task{entry.spec.task, entry.spec.epoch};
  const auto stop = [this, task, generation = generation_] {
    target_.Control(task.task, task.epoch, target_action::stop,
                    [this, task, generation](control_result result) {
                      if (generation == generation_) OnStopped(task, std::move(result));
                    });
  };
  // Requests a checkpoint first, because the target may omit it in the response to the stop.
  target_.Control(task.task, task.epoch, target_action::checkpoint,
                  [this, task, generation = generation_, stop](control_result result) {
                    if (generation != generation_) return;
                    task_entry* found = Find(task.task, task.epoch);
                    if (found == nullptr) return;
                    if (result.outcome == control_outcome::not_running) {
                      OnStopped(task, std::move(result));
                      return;
                    }
                    if (!result.checkpoint.empty()) {
                      found->spec.checkpoint = std::move(result.checkpoint);
                    }
                    stop();
                  });
}

void task_manager::OnStopped(const wire::task_ref& task, control_result result) {
  task_entry* entry = Find(task.task, task.epoch);
  if (entry == nullptr) {
    CountDrop("late_answer");
    return;
  }
  entry->call_in_flight = false;
  entry->next_call = time_.Now() + kCallRetryDelay;
  if (result.outcome == control_outcome::failed) return;
  if (entry->phase == task_phase::unconfirmed) {
    Remove(task.task);
    return;
  }
  if (result.outcome == control_outcome::not_running) {
    AwaitEvent(*entry);
    return;
  }
  if (!result.checkpoint.empty()) entry->spec.checkpoint = std::move(result.checkpoint);
  const planned_end end = entry->end.value_or(planned_end{});
  End(task, MakeEvent(entry->spec, end.kind, end.code));
}

void task_manager::AwaitEvent(task_entry& entry) {
  if (entry.phase == task_phase::unconfirmed || entry.phase == task_phase::awaiting_event) return;
  entry.phase = task_phase::awaiting_event;
  entry.stopped_at = time_.Now();
}

wire::shard_report task_manager::AdoptShard(connection_id from, const wire::adopt_shard& message) {
  const fence_order order =
      entries_.ObserveFence(message.shard, message.fence, entries_.ProcessOf(from));
  wire::shard_report report;
  report.shard = message.shard;
  report.fence = entries_.FenceOf(message.shard);
  if (order == fence_order::stale) {
    report.code = result_code::stale_fence;
  } else if (state_.recovering) {
    report.code = result_code::recovering;
  } else {
    for (const auto& [id, entry] : tasks_) {
      if (entry.spec.shard != message.shard || entry.phase == task_phase::unconfirmed) continue;
      report.running.push_back({id, entry.spec.epoch});
    }
    report.ended = outbox_.EndedOf(message.shard);
    return report;
  }
  metrics_.CountRefusal("agent", report.code);
  return report;
}

void task_manager::ExtendLeases(const std::string& entry,
                                const std::vector<wire::shard_grant>& grants,
                                core::mono_time lease_until) {
  for (const wire::shard_grant& grant : grants) {
    const fence_order order = entries_.ObserveFence(grant.shard, grant.fence, entry);
    if (order == fence_order::stale) {
      CountDrop("stale_fence");
      continue;
    }
    if (order == fence_order::raised) outbox_.ResendShard(grant.shard);
    for (auto& [id, task] : tasks_) {
      // A task that is being stopped keeps its deadline, at which the target stops it in any case.
      // So does a task with an uncertain start, so that a delayed start call becomes void at a
      // known time.
      const bool extends = task.phase != task_phase::unconfirmed && !task.end &&
                           !task.start_uncertain && state_.target_live;
      if (task.spec.shard != grant.shard || !extends) continue;
      if (lease_until <= task.spec.lease_until || time_.Now() >= task.spec.lease_until) continue;
      task.spec.lease_until = lease_until;
      task.lease_changed = true;
    }
  }
}

void task_manager::OnTargetEvent(target_event event) {
  const wire::task_ref task{event.task, event.epoch};
  task_entry* entry = Find(event.task, event.epoch);
  task_event out;
  if (entry != nullptr) {
    if (entry->phase == task_phase::unconfirmed) {
      Remove(event.task);
      return;
    }
    out = MakeEvent(entry->spec, task_event_kind::finished, result_code::ok);
  } else {
    const auto shard = core::ShardOfTask(event.task);
    const auto seen = seen_.find(event.task);
    const bool reported = seen != seen_.end() && event.epoch <= seen->second.epoch;
    if (!shard || reported) {
      CountDrop(shard ? "late_event" : "unknown_task");
      return;
    }
    // The task ended while no agent was running to report it.
    task_spec spec;
    spec.task = event.task;
    spec.epoch = event.epoch;
    spec.shard = *shard;
    out = MakeEvent(spec, task_event_kind::finished, result_code::ok);
  }
  if (event.type == target_event_type::failed) {
    out.kind = task_event_kind::failed;
    out.code = result_code::task_failed;
  } else if (event.type == target_event_type::lapsed) {
    const planned_end end = entry != nullptr && entry->end
                                ? *entry->end
                                : planned_end{task_event_kind::evicted, result_code::lease_lapsed};
    out.kind = end.kind;
    out.code = end.code;
  }
  out.result = std::move(event.result);
  if (!event.checkpoint.empty()) out.checkpoint = std::move(event.checkpoint);
  out.run_ms = event.run_ms;
  out.observed = event.observed;
  End(task, std::move(out));
}

void task_manager::RestoreTasks(const task_listing& listing) {
  for (const listed_task& item : listing.tasks) {
    entries_.ObserveFence(item.spec.shard, item.spec.fence, "");
    // The end event of an ended task is handled later, so its epoch is not marked as seen here.
    if (item.ended || tasks_.contains(item.spec.task)) continue;
    RememberEpoch(item.spec.task, item.spec.epoch);
    ledger_.CommitRunningTask(item.spec.task, item.spec.need);
    task_entry& entry = tasks_[item.spec.task];
    entry.spec = item.spec;
    entry.phase = task_phase::running;
    entry.started = time_.Now();
  }
}

void task_manager::ReportEnded(const task_listing& listing) {
  for (const listed_task& item : listing.tasks) {
    if (!item.ended || IsSeen(item.spec.task, item.spec.epoch)) continue;
    // The target emits no event for a task that the previous agent process stopped. If that process
    // could not report the eviction, the checkpoint exists only in this list.
    End({item.spec.task, item.spec.epoch},
        MakeEvent(item.spec, task_event_kind::evicted, result_code::evicted));
  }
}

void task_manager::ReportAllLost() {
  ++generation_;
  push_in_flight_ = false;
  while (!tasks_.empty()) {
    task_entry& entry = tasks_.begin()->second;
    if (entry.phase == task_phase::unconfirmed) {
      Remove(entry.spec.task);
      continue;
    }
    rooms_.EndWait(entry.spec.task, "abandoned");
    const bool cancelled = entry.end && entry.end->kind == task_event_kind::cancelled;
    End({entry.spec.task, entry.spec.epoch},
        cancelled ? MakeEvent(entry.spec, task_event_kind::cancelled, result_code::cancelled)
                  : MakeEvent(entry.spec, task_event_kind::lost, result_code::no_target));
  }
}

void task_manager::EvictAll() {
  for (auto& [id, entry] : tasks_) {
    if (!entry.end) PlanEnd(entry, {task_event_kind::evicted, result_code::evicted});
  }
}

void task_manager::Tick() {
  const core::mono_time now = time_.Now();
  if (state_.draining()) EvictAll();
  std::vector<wire::task_ref> due;
  std::vector<wire::task_ref> all;
  all.reserve(tasks_.size());
  for (const auto& [id, entry] : tasks_) all.push_back({id, entry.spec.epoch});
  for (const wire::task_ref& task : all) {
    if (task_entry* entry = Find(task.task, task.epoch)) Step(*entry, now, due);
  }
  for (const wire::task_ref& task : due) {
    const task_entry* entry = Find(task.task, task.epoch);
    const planned_end end =
        entry->end.value_or(planned_end{task_event_kind::lost, result_code::outcome_unknown});
    End(task, MakeEvent(entry->spec, end.kind, end.code));
  }
  PushLeases(now);
  std::erase_if(seen_, [&](const auto& item) {
    return item.second.forget_at <= now && !tasks_.contains(item.first);
  });
}

void task_manager::Step(task_entry& entry, core::mono_time now, std::vector<wire::task_ref>& due) {
  switch (entry.phase) {
    case task_phase::waiting:
      StepWaiting(entry, now);
      return;
    case task_phase::starting:
      if (!entry.start_uncertain || now < entry.spec.lease_until + kExpiryGrace) {
        StepStarting(entry, now);
        return;
      }
      if (!entry.end) PlanEnd(entry, {task_event_kind::evicted, result_code::lease_lapsed});
      break;
    case task_phase::awaiting_event:
      if (now >= entry.stopped_at + kEventWait) due.push_back({entry.spec.task, entry.spec.epoch});
      return;
    case task_phase::running:
      if (now >= entry.spec.lease_until && !entry.end) {
        metrics_.GetCounter("coltsfoot_agent_leases_lapsed_total").Add();
        PlanEnd(entry, {task_event_kind::evicted, result_code::lease_lapsed});
        return;
      }
      break;
    case task_phase::unconfirmed:
      break;
  }
  if (entry.end && !entry.call_in_flight && now >= entry.next_call) SendStop(entry);
  if (entry.phase != task_phase::unconfirmed && entry.end &&
      now >= entry.spec.lease_until + kExpiryGrace) {
    // The target has stopped the task at its deadline, but the resources stay committed until it
    // confirms that.
    Report(entry, MakeEvent(entry.spec, entry.end->kind, entry.end->code));
    entry.phase = task_phase::unconfirmed;
  }
}

void task_manager::PushLeases(core::mono_time now) {
  if (push_in_flight_ || now < next_push_) return;
  std::vector<lease_deadline> batch;
  for (auto& [id, entry] : tasks_) {
    if (!entry.lease_changed || entry.phase != task_phase::running) continue;
    batch.push_back({id, entry.spec.epoch, entry.spec.lease_until});
  }
  if (batch.empty()) return;
  push_in_flight_ = true;
  target_.PushLeases(batch, [this, batch, generation = generation_](bool done) {
    if (generation != generation_) return;
    push_in_flight_ = false;
    next_push_ = time_.Now() + kLeasePushDelay;
    if (!done) return;
    for (const lease_deadline& pushed : batch) {
      task_entry* entry = Find(pushed.task, pushed.epoch);
      if (entry != nullptr && entry->spec.lease_until == pushed.lease_until) {
        entry->lease_changed = false;
      }
    }
  });
}

task_event task_manager::MakeEvent(const task_spec& spec, task_event_kind kind,
                                   result_code code) const {
  task_event out;
  out.incarnation = state_.incarnation;
  out.worker = state_.worker;
  out.shard = spec.shard;
  out.task = spec.task;
  out.epoch = spec.epoch;
  out.kind = kind;
  out.code = code;
  out.checkpoint = spec.checkpoint;
  return out;
}

void task_manager::Report(task_entry& entry, task_event event) {
  if (event.run_ms == 0 && entry.started != core::mono_time{}) {
    event.run_ms = static_cast<std::uint32_t>(core::ToMs(time_.Now() - entry.started));
  }
  outbox_.SendUntilAcknowledged(std::move(event));
}

void task_manager::End(const wire::task_ref& task, task_event event) {
  // A finished task needs no checkpoint, and a frame can hold only one large value.
  if (event.kind == task_event_kind::finished) event.checkpoint.clear();
  if (event.result.size() + event.checkpoint.size() + kEventOverheadBytes > wire::kMaxFrameBytes) {
    CountDrop("event_too_large");
    event.result = "the result or checkpoint exceeds the size limit";
    event.checkpoint.clear();
    event.kind = task_event_kind::failed;
    event.code = result_code::body_too_large;
  }
  metrics_.GetCounter("coltsfoot_agent_tasks_ended_total", {"code", core::ToString(event.code)})
      .Add();
  RememberEpoch(task.task, task.epoch);
  if (task_entry* entry = Find(task.task, task.epoch)) {
    Report(*entry, std::move(event));
    Remove(task.task);
  } else {
    outbox_.SendUntilAcknowledged(std::move(event));
  }
}

void task_manager::Remove(const std::string& task) {
  // `task` may refer into the entry, so it must not be used after the erasure.
  RememberEpoch(task, 0);
  ledger_.ReleaseTask(task);
  tasks_.erase(task);
}

bool task_manager::IsRunning(const wire::task_ref& task) const {
  const auto found = tasks_.find(task.task);
  return found != tasks_.end() && found->second.spec.epoch == task.epoch &&
         found->second.phase == task_phase::running;
}

void task_manager::CountDrop(std::string_view reason) {
  metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", reason}).Add();
}

}  // namespace coltsfoot::agent
