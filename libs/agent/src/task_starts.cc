// Member functions of `task_manager` that admit and start tasks.

#include <utility>

#include "task_manager.h"

namespace coltsfoot::agent {
namespace {

using core::error_reason;
using core::result_code;
using wire::task_event;
using wire::task_event_kind;

// Unacknowledged results stay in memory while the key-value service is unavailable; the process
// must stay below 32 MB of memory.
constexpr std::size_t kMaxWaitingEventBytes = 8U << 20U;

}  // namespace

void task_manager::Start(connection_id from, const wire::start_task& message) {
  const fence_order order =
      entries_.ObserveFence(message.shard, message.fence, entries_.ProcessOf(from));
  if (order == fence_order::raised) outbox_.ResendShard(message.shard);
  if (task_entry* known = Find(message.task, message.epoch); known != nullptr) {
    // A repeated message: the owner did not receive the reply to the first one.
    if (known->phase == task_phase::running) {
      outbox_.SendOnce(MakeEvent(known->spec, task_event_kind::started, result_code::ok));
    }
    CountDrop("repeated_start");
    return;
  }
  if (outbox_.ResendTask({message.task, message.epoch})) {
    CountDrop("repeated_start");
    return;
  }
  if (auto reason = RefusalReason(message, order)) {
    Refuse(message, std::move(*reason));
    return;
  }
  const bool reserved = ledger_.ReserveTask(message.task, message.need, message.kind);
  if (!reserved && !MakeRoom(message)) {
    Refuse(message,
           {result_code::no_capacity, "not enough free processors, memory or accelerators"});
    return;
  }
  RememberEpoch(message.task, message.epoch);
  task_entry& entry = tasks_[message.task];
  entry.spec = {.task = message.task,
                .epoch = message.epoch,
                .shard = message.shard,
                .fence = message.fence,
                .team = message.team,
                .task_class = message.task_class,
                .kind = message.kind,
                .need = message.need,
                .expected_ms = message.expected_ms,
                .payload = message.payload,
                .checkpoint = message.checkpoint,
                .lease_until = gate_.LeaseEnd(message.token).value_or(core::mono_time{})};
  entry.evictable =
      message.kind == core::task_kind::batch && message.priority == wire::start_priority::normal;
  if (reserved) {
    StepStarting(entry, time_.Now());
  } else {
    entry.phase = task_phase::waiting;
  }
}

bool task_manager::IsEvictable(const task_entry& entry) {
  return entry.evictable && entry.phase == task_phase::running && !entry.end;
}

core::resources task_manager::Evictable() const {
  core::resources sum;
  for (const auto& [id, entry] : tasks_) {
    if (IsEvictable(entry)) sum += entry.spec.need;
  }
  return sum;
}

bool task_manager::MakeRoom(const wire::start_task& message) {
  if (message.priority != wire::start_priority::urgent_makes_room) return false;
  std::vector<eviction_candidate> candidates;
  core::resources releasing;
  for (const auto& [id, entry] : tasks_) {
    if (IsEvictable(entry)) {
      candidates.push_back({id, entry.spec.need, entry.saved_at});
    } else if (entry.end && entry.phase == task_phase::running) {
      releasing += entry.spec.need;
    }
  }
  const auto victims =
      rooms_.BeginWait(message.task, message.need, std::move(candidates), releasing);
  if (!victims) return false;
  for (const std::string& victim : *victims) {
    PlanEnd(tasks_.at(victim), {task_event_kind::evicted, result_code::evicted});
  }
  return true;
}

void task_manager::StepWaiting(task_entry& entry, core::mono_time now) {
  if (entry.end && entry.end->kind == task_event_kind::cancelled) {
    rooms_.EndWait(entry.spec.task, "abandoned");
    End({entry.spec.task, entry.spec.epoch},
        MakeEvent(entry.spec, task_event_kind::cancelled, result_code::cancelled));
  } else if (entry.end) {
    const bool drains = state_.draining() || !state_.target_live;
    RefuseWaiting(entry, drains ? result_code::draining : result_code::no_capacity, "abandoned");
  } else if (now >= entry.spec.lease_until) {
    RefuseWaiting(entry, result_code::stale_token, "abandoned");
  } else if (rooms_.CommitRoom(entry.spec.task)) {
    entry.phase = task_phase::starting;
    StepStarting(entry, now);
  } else if (rooms_.HasTimedOut(entry.spec.task)) {
    RefuseWaiting(entry, result_code::no_capacity, "timed_out");
  }
}

void task_manager::RefuseWaiting(task_entry& entry, result_code code, std::string_view outcome) {
  rooms_.EndWait(entry.spec.task, outcome);
  metrics_.CountRefusal("agent", code);
  End({entry.spec.task, entry.spec.epoch}, MakeEvent(entry.spec, task_event_kind::refused, code));
}

std::optional<error_reason> task_manager::RefusalReason(const wire::start_task& message,
                                                        fence_order order) const {
  if (order == fence_order::stale) {
    return error_reason{result_code::stale_fence, "a newer owner of the shard is known"};
  }
  if (IsSeen(message.task, message.epoch)) {
    return error_reason{result_code::stale_epoch, "this epoch or a higher one is known"};
  }
  if (auto reason = gate_.RefusalReason(message.token, message.config)) return reason;
  if (tasks_.contains(message.task)) {
    return error_reason{result_code::no_capacity, "an earlier assignment has not yet stopped"};
  }
  if (outbox_.bytes() >= kMaxWaitingEventBytes) {
    return error_reason{result_code::no_capacity, "too many results wait for acknowledgement"};
  }
  return std::nullopt;
}

void task_manager::Refuse(const wire::start_task& message, error_reason reason) {
  metrics_.CountRefusal("agent", reason.code);
  task_spec spec;
  spec.task = message.task;
  spec.epoch = message.epoch;
  spec.shard = message.shard;
  task_event event = MakeEvent(spec, task_event_kind::refused, reason.code);
  event.result = std::move(reason.message);
  // The owner may assign the task to another worker once it has this event, so this epoch must
  // never start here.
  RememberEpoch(message.task, message.epoch);
  outbox_.SendUntilAcknowledged(std::move(event));
}

void task_manager::StepStarting(task_entry& entry, core::mono_time now) {
  if (entry.call_in_flight || now < entry.next_call) return;
  if (now < entry.spec.lease_until && !entry.end) {
    SendStart(entry);
  } else if (entry.start_uncertain && now >= entry.spec.lease_until) {
    // A start call with an unknown outcome may still reach the target but can no longer take
    // effect, because its lease has expired. The response to the stop tells whether the task runs.
    if (!entry.end) PlanEnd(entry, {task_event_kind::evicted, result_code::lease_lapsed});
    SendStop(entry);
  } else if (!entry.start_uncertain) {
    End({entry.spec.task, entry.spec.epoch},
        MakeEvent(entry.spec, task_event_kind::refused, result_code::stale_token));
  }
}

void task_manager::SendStart(task_entry& entry) {
  entry.call_in_flight = true;
  const wire::task_ref task{entry.spec.task, entry.spec.epoch};
  target_.Start(entry.spec, [this, task, generation = generation_](start_result result) {
    if (generation == generation_) OnStarted(task, std::move(result));
  });
}

void task_manager::OnStarted(const wire::task_ref& task, start_result result) {
  task_entry* entry = Find(task.task, task.epoch);
  if (entry == nullptr || entry->phase != task_phase::starting) {
    CountDrop("late_answer");
    return;
  }
  entry->call_in_flight = false;
  entry->next_call = time_.Now() + kCallRetryDelay;
  const bool not_run = !entry->start_uncertain;
  task_event refused = MakeEvent(entry->spec, task_event_kind::refused, result_code::no_capacity);
  refused.result = std::move(result.reason);
  switch (result.outcome) {
    case start_outcome::started:
      ConfirmStart(*entry);
      return;
    case start_outcome::epoch_known:
      if (!not_run) {
        ConfirmStart(*entry);
        VerifyRunning(task);
        return;
      }
      refused.code = result_code::stale_epoch;
      break;
    case start_outcome::refused:
      break;
    case start_outcome::not_sent:
      refused.code = result_code::connect_failed;
      break;
    case start_outcome::unknown:
      entry->start_uncertain = true;
      return;
  }
  // After a call with an unknown outcome, the result of a later call does not prove that the task
  // never ran.
  if (!not_run) return;
  metrics_.CountRefusal("agent", refused.code);
  End(task, std::move(refused));
}

void task_manager::ConfirmStart(task_entry& entry) {
  entry.phase = task_phase::running;
  entry.start_uncertain = false;
  entry.started = time_.Now();
  entry.saved_at = entry.started;
  entry.next_call = entry.started;
  entry.spec.payload = {};
  outbox_.SendOnce(MakeEvent(entry.spec, task_event_kind::started, result_code::ok));
}

void task_manager::VerifyRunning(const wire::task_ref& task) {
  target_.List([this, task, generation = generation_](std::optional<task_listing> listing) {
    task_entry* entry = Find(task.task, task.epoch);
    if (generation != generation_ || entry == nullptr || !listing) return;
    for (const listed_task& item : listing->tasks) {
      if (item.spec.task == task.task && item.spec.epoch == task.epoch && !item.ended) return;
    }
    AwaitEvent(*entry);
  });
}

}  // namespace coltsfoot::agent
