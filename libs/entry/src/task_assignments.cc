// Assignments: placement, start, events of agents, and the log records that result from them.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "task_controller.h"
#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using ledger::append_outcome;

constexpr core::milliseconds kInitialBackoff{20};
constexpr core::milliseconds kMaxBackoff{2000};
constexpr std::uint32_t kMaxBackoffDoublings = 7;
constexpr std::string_view kWhere = "task";

wire::task_action ActionOf(placement::control_kind kind) {
  switch (kind) {
    case placement::control_kind::throttle:
      return wire::task_action::throttle;
    case placement::control_kind::unthrottle:
      return wire::task_action::unthrottle;
    case placement::control_kind::evict:
    case placement::control_kind::stop:
      break;
  }
  return wire::task_action::evict;
}

wire::start_priority PriorityOf(const placement::running_task& placed) {
  if (placed.makes_room) return wire::start_priority::urgent_makes_room;
  return placed.spec.urgent ? wire::start_priority::urgent : wire::start_priority::normal;
}

}  // namespace

// Placement.

placement::task_spec task_controller::PlacementSpec(const ledger::task_entry& entry) {
  const ledger::task_spec& spec = entry.spec;
  placement::task_spec out;
  out.task = spec.task;
  out.team = spec.team;
  out.task_class = spec.task_class;
  out.kind = spec.kind;
  out.urgent = spec.urgent;
  blame::task_size size{spec.need, spec.expected_ms};
  if (correct_sizes_) size = sizes_.Correct(spec.task_class, size, largest_worker_);
  out.need = size.need;
  out.expected_ms = size.run_ms;
  const std::int64_t age_ms = std::max<std::int64_t>(
      time_.WallNow().time_since_epoch().count() - spec.submitted_wall_ms, 0);
  out.submitted = time_.Now() - core::milliseconds{age_ms};
  for (const std::string& worker : entry.failed_workers) {
    if (const auto index = workers_.Find(worker)) out.failed_on.push_back(*index);
  }
  out.evictions = entry.evictions;
  return out;
}

void task_controller::Enqueue(tracked_task& row, const ledger::task_entry& entry) {
  if (config_.is_known()) {
    scheduler_.queue().SetQuota(
        entry.spec.team, config_.view().For({.team = entry.spec.team}).team_cpu_quota_millis);
  }
  row.phase = task_phase::queued;
  scheduler_.Resubmit(PlacementSpec(entry));
}

void task_controller::RunScheduler() {
  for (const auto& action : scheduler_.Tick(time_.Now())) CarryOut(action);
}

void task_controller::CarryOut(const placement::scheduler_action& action) {
  if (const auto* assign = std::get_if<placement::assign_action>(&action)) {
    Assign(*assign);
  } else if (const auto* control = std::get_if<placement::control_action>(&action)) {
    const auto found = tasks_.find(control->task);
    if (found == tasks_.end()) return;
    metrics_
        .GetCounter("coltsfoot_task_controls_total",
                    {"action", control->kind == placement::control_kind::throttle     ? "throttle"
                               : control->kind == placement::control_kind::unthrottle ? "unthrottle"
                                                                                      : "evict"})
        .Add();
    SendControl(control->task, found->second, ActionOf(control->kind));
  } else if (const auto* give_up = std::get_if<placement::give_up_action>(&action)) {
    const auto found = tasks_.find(give_up->task);
    if (found == tasks_.end()) return;
    metrics_.CountRefusal(kWhere, give_up->code);
    RecordEnd(give_up->task, found->second,
              ledger::task_finished{give_up->task, found->second.epoch, give_up->code, ""},
              nullptr);
  }
}

void task_controller::Assign(const placement::assign_action& action) {
  const auto found = tasks_.find(action.task);
  const ledger::task_entry* entry =
      found == tasks_.end() ? nullptr : LogEntry(found->second.shard, action.task);
  if (entry == nullptr) {
    scheduler_.OnEnded(action.task, time_.Now());
    return;
  }
  tracked_task& row = found->second;
  if (action.is_probe) quarantine_.OnProbeSent(action.worker, time_.Now());
  row.phase = task_phase::assigning;
  row.worker = workers_.identity(action.worker).id;
  row.epoch = entry->epoch + 1;
  row.counted_as_running = true;
  ledger_.Append(row.shard, ledger::task_assigned{action.task, row.epoch, row.worker},
                 [this, task = action.task, epoch = row.epoch](append_outcome outcome) {
                   OnAssigned(task, epoch, outcome);
                 });
}

void task_controller::OnAssigned(const std::string& task, core::epoch_number epoch,
                                 append_outcome outcome) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end() || found->second.epoch != epoch) return;
  tracked_task& row = found->second;
  const ledger::task_entry* entry = LogEntry(row.shard, task);
  if (entry == nullptr) return;
  if (outcome == append_outcome::no_effect) {
    // A cancellation was recorded before the assignment.
    ReleaseWorker(task, row);
    SyncWithLog(task);
  } else if (outcome == append_outcome::committed) {
    if (entry->cancel_requested) {
      RecordCancelled(task, row, epoch);
    } else {
      SendStart(task, row, *entry);
    }
  }
}

void task_controller::SendStart(const std::string& task, tracked_task& row,
                                const ledger::task_entry& entry) {
  const auto worker = workers_.Find(row.worker);
  const auto fence = ledger_.Fence(row.shard);
  const placement::running_task* placed = scheduler_.running().Find(task);
  if (!worker || !fence || placed == nullptr) {
    row.refusal = result_code::connect_failed;
    Requeue(task, row, result_code::connect_failed);
    return;
  }
  const auto& identity = workers_.identity(*worker);
  wire::start_task message;
  message.shard = row.shard;
  message.fence = *fence;
  message.task = task;
  message.epoch = row.epoch;
  message.token = workers_.LivenessToken(*worker);
  message.config = config_.version();
  if (identity.config < message.config) {
    const auto& names = workers_.place_names();
    message.policy = config::DeriveAgentPolicy(*config_.current(),
                                               {.worker = identity.id,
                                                .rack = names.Name(workers_.rack()[*worker]),
                                                .zone = names.Name(workers_.zone()[*worker]),
                                                .region = names.Name(workers_.region()[*worker])});
  }
  message.team = entry.spec.team;
  message.task_class = entry.spec.task_class;
  message.kind = entry.spec.kind;
  message.priority = PriorityOf(*placed);
  message.need = placed->spec.need;
  message.expected_ms = entry.spec.expected_ms;
  message.payload = entry.spec.payload;
  message.checkpoint = entry.checkpoint;
  row.phase = task_phase::starting;
  if (!SendTo(row.worker, wire::ToFrame(message))) {
    row.refusal = result_code::connect_failed;
    Requeue(task, row, result_code::connect_failed);
    return;
  }
  row.start_message_number = worker_states_[row.worker].messages_sent;
  metrics_.GetCounter("coltsfoot_tasks_started_total").Add();
  if (message.priority == wire::start_priority::urgent_makes_room) {
    metrics_.GetCounter("coltsfoot_task_controls_total", {"action", "make_room"}).Add();
  }
}

void task_controller::SendControl(const std::string& task, const tracked_task& row,
                                  wire::task_action action) {
  const auto fence = ledger_.Fence(row.shard);
  if (!fence) return;
  SendTo(row.worker, wire::ToFrame(wire::control_task{row.shard, *fence, task, row.epoch, action}));
}

bool task_controller::SendTo(const std::string& worker, std::string frame) {
  if (!agents_.Send(worker, std::move(frame))) return false;
  worker_states_[worker].messages_sent += 1;
  return true;
}

// Events.

void task_controller::Acknowledge(const wire::task_event& event) {
  SendTo(event.worker, wire::ToFrame(wire::event_ack{event.incarnation, event.event_id}));
}

void task_controller::MarkRunning(const std::string& task, tracked_task& row,
                                  const ledger::task_entry& entry) {
  const core::mono_time now = time_.Now();
  if (row.phase != task_phase::running) {
    row.phase = task_phase::running;
    row.next_checkpoint = now + CheckpointInterval(entry);
    if (row.counted_as_running) scheduler_.OnStarted(task, now);
  }
  if (entry.cancel_requested) SendControl(task, row, wire::task_action::cancel);
}

core::milliseconds task_controller::CheckpointInterval(const ledger::task_entry& entry) {
  return config_.view()
      .For({.task_class = entry.spec.task_class, .team = entry.spec.team})
      .checkpoint_interval;
}

// A task that resumes on another worker loses its work since the last checkpoint.
void task_controller::RequestCheckpoint(const std::string& task, tracked_task& row) {
  const ledger::task_entry* entry = LogEntry(row.shard, task);
  if (entry == nullptr) return;
  row.next_checkpoint = time_.Now() + CheckpointInterval(*entry);
  SendControl(task, row, wire::task_action::checkpoint);
}

void task_controller::OnTaskEvent(const wire::task_event& event) {
  const ledger::shard_table* table = ledger_.Table(event.shard);
  if (table == nullptr) return;  // the agent resends the event to the owner
  const ledger::task_entry* entry = table->FindTask(event.task);
  const auto found = tasks_.find(event.task);
  if (entry == nullptr || found == tasks_.end() || entry->epoch != event.epoch) {
    metrics_.GetCounter("coltsfoot_stale_task_events_total").Add();
    Acknowledge(event);
    return;
  }
  tracked_task& row = found->second;
  if (row.phase == task_phase::ending || row.epoch != event.epoch) return;
  if (entry->state == ledger::task_state::queued) {
    // The attempt was considered lost; of its late events only a complete result is still used.
    if (event.kind != wire::task_event_kind::finished) {
      Acknowledge(event);
      return;
    }
    scheduler_.CancelQueued(event.task);
  }
  switch (event.kind) {
    case wire::task_event_kind::started:
      if (row.phase != task_phase::starting && row.phase != task_phase::unresolved) return;
      row.refusals = 0;
      MarkRunning(event.task, row, *entry);
      return;
    case wire::task_event_kind::refused:
      OnRefused(event.task, row, event);
      return;
    case wire::task_event_kind::checkpointed:
      ledger_.Append(event.shard,
                     ledger::task_checkpointed{event.task, event.epoch, event.checkpoint},
                     [this, event](append_outcome outcome) {
                       if (outcome == append_outcome::committed) {
                         scheduler_.OnCheckpointed(event.task, time_.Now());
                       }
                       Acknowledge(event);
                     });
      return;
    case wire::task_event_kind::finished:
      OnSucceeded(*entry, event);
      RecordEnd(event.task, row,
                ledger::task_finished{event.task, event.epoch, result_code::ok, event.result},
                &event);
      return;
    case wire::task_event_kind::failed:
      OnFailed(event.task, row, *entry, event);
      return;
    case wire::task_event_kind::evicted:
      metrics_.GetCounter("coltsfoot_evictions_total", {"reason", core::ToString(event.code)})
          .Add();
      RecordEnd(event.task, row,
                ledger::task_evicted{event.task, event.epoch, event.checkpoint, event.code},
                &event);
      return;
    case wire::task_event_kind::cancelled:
      RecordEnd(event.task, row, ledger::task_cancelled{event.task, event.epoch}, &event);
      return;
    case wire::task_event_kind::lost:
      metrics_.GetCounter("coltsfoot_tasks_lost_total").Add();
      RecordEnd(event.task, row,
                ledger::task_requeued{event.task, event.epoch, result_code::connection_lost, false},
                &event);
      return;
  }
}

void task_controller::OnRefused(const std::string& task, tracked_task& row,
                                const wire::task_event& event) {
  metrics_.CountRetry(kWhere, event.code);
  row.refusal = event.code;
  RecordEnd(task, row, ledger::task_requeued{task, event.epoch, event.code, false}, &event);
}

void task_controller::OnSucceeded(const ledger::task_entry& entry, const wire::task_event& event) {
  const core::mono_time now = time_.Now();
  sizes_.ObserveTask(entry.spec.task_class, {entry.spec.need, entry.spec.expected_ms},
                     event.observed, event.run_ms, now);
  if (const auto worker = workers_.Find(event.worker)) {
    quarantine_.OnSuccess(*worker, entry.spec.task_class, now);
  }
}

void task_controller::OnFailed(const std::string& task, tracked_task& row,
                               const ledger::task_entry& entry, const wire::task_event& event) {
  const core::mono_time now = time_.Now();
  const std::size_t fleet = workers_.CountDispatchable(now);
  blame::task_decision decision{};
  if (const auto worker = workers_.Find(event.worker)) {
    const auto change = quarantine_.OnFailure(*worker, task, entry.spec.task_class,
                                              core::milliseconds{event.run_ms}, fleet, now);
    const bool retracted =
        std::any_of(change.retracted.begin(), change.retracted.end(),
                    [&](const blame::retracted_failure& failure) { return failure.work == task; });
    if (!retracted) decision = task_failures_.OnFailed(task, *worker, fleet);
    for (const blame::retracted_failure& failure : change.retracted) {
      task_failures_.RetractFailure(failure.work, failure.worker);
    }
    if (change.entered) {
      spdlog::info("event=worker_quarantined worker={}", event.worker);
      metrics_.GetCounter("coltsfoot_quarantines_total").Add();
    }
  }
  if (decision.ends) {
    RecordEnd(task, row, ledger::task_finished{task, event.epoch, decision.code, event.result},
              &event);
    return;
  }
  metrics_.CountRetry(kWhere, result_code::task_failed);
  RecordEnd(task, row, ledger::task_requeued{task, event.epoch, result_code::task_failed, true},
            &event);
}

void task_controller::RecordEnd(const std::string& task, tracked_task& row, ledger::record change,
                                const wire::task_event* event) {
  if (row.phase == task_phase::ending) return;
  row.phase = task_phase::ending;
  std::optional<wire::task_event> to_acknowledge;
  if (event != nullptr) to_acknowledge = *event;
  ledger_.Append(row.shard, std::move(change),
                 [this, task, epoch = row.epoch,
                  to_acknowledge = std::move(to_acknowledge)](append_outcome outcome) {
                   const bool recorded =
                       outcome == append_outcome::committed || outcome == append_outcome::no_effect;
                   if (recorded && to_acknowledge) Acknowledge(*to_acknowledge);
                   OnEndRecorded(task, epoch, outcome);
                 });
}

void task_controller::OnEndRecorded(const std::string& task, core::epoch_number epoch,
                                    append_outcome outcome) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end() || found->second.epoch != epoch) return;
  if (outcome != append_outcome::committed && outcome != append_outcome::no_effect) return;
  tracked_task& row = found->second;
  const ledger::task_entry* entry = LogEntry(row.shard, task);
  const bool runs_again =
      entry != nullptr && entry->state == ledger::task_state::queued && !entry->cancel_requested;
  if (runs_again && row.refusal && row.counted_as_running) {
    const auto doublings = std::min(row.refusals, kMaxBackoffDoublings);
    row.refusals += 1;
    row.phase = task_phase::backing_off;
    // Without a delay if the worker was full: the scheduler now takes that into account. The other
    // reasons may persist, so the task backs off.
    const bool at_once = *row.refusal == result_code::no_capacity;
    row.resume_at =
        time_.Now() + (at_once ? core::milliseconds{0}
                               : std::min(kInitialBackoff * (1U << doublings), kMaxBackoff));
    if (at_once) Resume(task, row);
    return;
  }
  ReleaseWorker(task, row);
  SyncWithLog(task);
}

void task_controller::Resume(const std::string& task, tracked_task& row) {
  const ledger::task_entry* entry = LogEntry(row.shard, task);
  const bool runs_again =
      entry != nullptr && entry->state == ledger::task_state::queued && !entry->cancel_requested;
  if (!runs_again) {
    ReleaseWorker(task, row);
    SyncWithLog(task);
    return;
  }
  scheduler_.OnRefused(task, row.refusal.value_or(result_code::no_capacity), time_.Now());
  row.counted_as_running = false;
  row.refusal.reset();
  row.phase = task_phase::queued;
}

void task_controller::ReleaseWorker(const std::string& task, tracked_task& row) {
  const core::mono_time now = time_.Now();
  if (!row.counted_as_running) return;
  row.counted_as_running = false;
  scheduler_.OnEnded(task, now);
}

void task_controller::SyncWithLog(const std::string& task) {
  tracked_task& row = tasks_.at(task);
  const ledger::task_entry* entry = LogEntry(row.shard, task);
  if (entry == nullptr || entry->state == ledger::task_state::ended) {
    if (entry != nullptr) {
      metrics_.GetCounter("coltsfoot_tasks_ended_total", {"code", core::ToString(entry->code)})
          .Add();
    }
    RemoveTask(task);
    return;
  }
  row.epoch = entry->epoch;
  row.phase = task_phase::queued;  // the end of the previous assignment is recorded
  if (entry->state == ledger::task_state::assigned) {
    row.phase = task_phase::unresolved;
  } else if (entry->cancel_requested) {
    RecordCancelled(task, row, entry->epoch);
  } else {
    Enqueue(row, *entry);
  }
}

void task_controller::RemoveTask(const std::string& task) {
  task_failures_.OnEnded(task);
  tasks_.erase(task);
  const auto [first, last] = waiters_.equal_range(task);
  std::vector<end_handler> handlers;
  for (auto position = first; position != last; ++position) {
    handlers.push_back(std::move(position->second.done));
  }
  waiters_.erase(first, last);
  for (const end_handler& handler : handlers) handler();
}

}  // namespace coltsfoot::entry
