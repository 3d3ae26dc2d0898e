#include "task_controller.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using ledger::append_outcome;

constexpr core::milliseconds kExpiryInterval{100};
constexpr core::milliseconds kAdoptInterval{1000};
constexpr std::size_t kMaxQueuedTasks = 100'000;
constexpr core::milliseconds kFirstPause{20};
constexpr core::milliseconds kLongestPause{2000};
constexpr std::uint32_t kMaxPauseDoublings = 7;
constexpr std::string_view kWhere = "task";

placement::scheduler_options DefaultOptions() {
  placement::scheduler_options out;
  // Agents refuse batch tasks that would use the headroom. An entry that offers them there anyway
  // counts the room as taken until the next heartbeat, so that urgent tasks see neither the
  // headroom nor a worker on which few evictions would be enough.
  out.borrow_headroom = false;
  return out;
}

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

}  // namespace

task_controller::task_controller(const entry_options& options, ledger::shard_manager& ledger,
                                 membership::worker_table& workers, config_controller& config,
                                 blame::quarantine& quarantine, interference::model& interference,
                                 agent_gateway& agents, const core::clock& time,
                                 core::random_source& random, metrics::registry& metrics)
    : options_(options),
      ledger_(ledger),
      workers_(workers),
      config_(config),
      quarantine_(quarantine),
      interference_(interference),
      agents_(agents),
      time_(time),
      metrics_(metrics),
      scheduler_(DefaultOptions(), workers, &interference, &quarantine, random) {}

const ledger::task_entry* task_controller::Entry(core::shard_index shard,
                                                 const std::string& task) const {
  const ledger::shard_table* table = ledger_.Table(shard);
  return table == nullptr ? nullptr : table->FindTask(task);
}

// Submission and cancellation.

void task_controller::Submit(core::shard_index shard, ledger::task_spec spec, done_handler done) {
  if (const ledger::task_entry* known = Entry(shard, spec.task)) {
    const bool same = known->spec.request_digest == spec.request_digest;
    done({same ? result_code::ok : result_code::idempotency_key_reused,
          same ? "" : "the key belongs to another task"});
    return;
  }
  if (!ledger_.MayAppend(shard) || !ledger_.store_reachable()) {
    metrics_.CountRefusal(kWhere, result_code::store_unavailable);
    done({result_code::store_unavailable, "the task cannot be recorded"});
    return;
  }
  const result_code admitted = CheckAdmission(spec);
  if (admitted != result_code::ok) {
    metrics_.CountRefusal(kWhere, admitted);
    done({admitted, admitted == result_code::queue_full ? "too many tasks are queued"
                                                        : "the task alone exceeds the quota"});
    return;
  }
  const std::string task = spec.task;
  const std::uint64_t digest = spec.request_digest;
  ledger_.Append(
      shard, ledger::task_submitted{std::move(spec)},
      [this, shard, task, digest, done = std::move(done)](append_outcome outcome) {
        const ledger::task_entry* entry = Entry(shard, task);
        switch (outcome) {
          case append_outcome::committed:
            metrics_.GetCounter("coltsfoot_tasks_submitted_total").Add();
            TakeOver(task, *entry, shard);
            done({result_code::ok, ""});
            return;
          case append_outcome::no_effect: {
            const bool same = entry != nullptr && entry->spec.request_digest == digest;
            done({same ? result_code::ok : result_code::idempotency_key_reused, ""});
            return;
          }
          case append_outcome::not_committed:
            metrics_.CountRefusal(kWhere, result_code::not_owner);
            done({result_code::not_owner, "the shard was lost before the task was recorded"});
            return;
          case append_outcome::unknown:
            done({result_code::outcome_unknown, "the shard was lost while the task was recorded"});
            return;
          case append_outcome::too_large:
            done({result_code::body_too_large, "the task is too large to record"});
            return;
        }
      });
}

result_code task_controller::CheckAdmission(const ledger::task_spec& spec) {
  if (scheduler_.queue().size() >= kMaxQueuedTasks) return result_code::queue_full;
  if (!config_.is_known()) return result_code::no_configuration;
  const auto quota = config_.view().For({.team = spec.team}).team_cpu_quota_millis;
  return quota && spec.need.cpu_millis > *quota ? result_code::quota_exceeded : result_code::ok;
}

void task_controller::Cancel(core::shard_index shard, const std::string& task, done_handler done) {
  const ledger::task_entry* entry = Entry(shard, task);
  if (entry == nullptr) {
    done({result_code::not_found, "no such task"});
    return;
  }
  if (entry->state == ledger::task_state::ended) {
    const bool cancelled = entry->code == result_code::cancelled;
    done({cancelled ? result_code::ok : result_code::conflict,
          cancelled ? "" : "the task has already ended"});
    return;
  }
  if (!ledger_.MayAppend(shard)) {
    done({result_code::store_unavailable, "the cancellation cannot be recorded"});
    return;
  }
  ledger_.Append(
      shard, ledger::cancel_requested{task},
      [this, task, done = std::move(done)](append_outcome outcome) {
        if (outcome != append_outcome::committed && outcome != append_outcome::no_effect) {
          done({result_code::outcome_unknown, "the shard was lost"});
          return;
        }
        done({result_code::ok, ""});
        const auto found = tasks_.find(task);
        if (found == tasks_.end()) return;
        soft_task& row = found->second;
        const ledger::task_entry* current = Entry(row.shard, task);
        if (current == nullptr || !current->cancel_requested) return;
        if (row.phase == task_phase::queued) {
          scheduler_.CancelQueued(task);
          RecordCancelled(task, row, current->epoch);
        } else if (row.phase == task_phase::starting || row.phase == task_phase::running) {
          SendControl(task, row, wire::task_action::cancel);
        }
      });
}

void task_controller::RecordCancelled(const std::string& task, soft_task& row,
                                      core::epoch_number epoch) {
  row.epoch = epoch;
  RecordEnd(task, row, ledger::task_cancelled{task, epoch}, nullptr);
}

task_view task_controller::Find(core::shard_index shard, const std::string& task) const {
  const auto found = tasks_.find(task);
  return {Entry(shard, task), found != tasks_.end() && found->second.phase == task_phase::running};
}

void task_controller::WaitForEnd(const std::string& task, end_handler done) {
  waiters_.emplace(task, std::move(done));
}

// Ownership.

void task_controller::OnShardOwned(core::shard_index shard) {
  std::set<std::string> workers;
  for (const auto& [task, entry] : ledger_.Table(shard)->tasks()) {
    if (entry.state == ledger::task_state::ended) continue;
    if (entry.state == ledger::task_state::assigned) workers.insert(entry.worker);
    TakeOver(task, entry, shard);
  }
  for (const std::string& worker : workers) SendAdopt(worker, shard);
}

void task_controller::TakeOver(const std::string& task, const ledger::task_entry& entry,
                               core::shard_index shard) {
  soft_task& row = tasks_[task];
  row.shard = shard;
  row.epoch = entry.epoch;
  row.worker = entry.worker;
  if (entry.state == ledger::task_state::assigned) {
    row.phase = task_phase::unresolved;
    AdoptIfKnown(row, entry);
  } else if (entry.cancel_requested) {
    RecordCancelled(task, row, entry.epoch);
  } else {
    Enqueue(row, entry);
  }
}

void task_controller::AdoptIfKnown(soft_task& row, const ledger::task_entry& entry) {
  const auto worker = workers_.Find(row.worker);
  if (!worker || row.adopted) return;
  const core::mono_time now = time_.Now();
  scheduler_.Adopt(PlacementSpec(entry), *worker, now, now);
  row.adopted = true;
  row.started = now;
}

void task_controller::OnShardLost(core::shard_index shard) {
  const core::mono_time now = time_.Now();
  std::vector<std::string> lost;
  for (const auto& [task, row] : tasks_) {
    if (row.shard == shard) lost.push_back(task);
  }
  for (const std::string& task : lost) {
    scheduler_.CancelQueued(task);
    if (tasks_[task].adopted) scheduler_.Drop(task, now);
    Finish(task);
  }
  for (auto& [worker, state] : worker_states_) {
    state.adopt_number.erase(shard);
    state.reported.erase(shard);
  }
}

bool task_controller::IsSent(task_phase phase) noexcept {
  return phase == task_phase::starting || phase == task_phase::running ||
         phase == task_phase::unresolved;
}

void task_controller::SendAdopt(const std::string& worker, core::shard_index shard) {
  const auto fence = ledger_.Fence(shard);
  if (!fence) return;
  if (!SendTo(worker, wire::ToFrame(wire::adopt_shard{shard, *fence}))) return;
  worker_state& state = worker_states_[worker];
  state.adopt_number[shard] = state.messages;
}

void task_controller::OnWorkerReachable(const std::string& worker) {
  std::set<core::shard_index> shards;
  for (auto& [task, row] : tasks_) {
    if (row.worker != worker || !IsSent(row.phase)) continue;
    shards.insert(row.shard);
    if (const ledger::task_entry* entry = Entry(row.shard, task)) AdoptIfKnown(row, *entry);
  }
  for (const core::shard_index shard : shards) SendAdopt(worker, shard);
}

void task_controller::OnShardReport(const wire::shard_report& report) {
  const auto fence = ledger_.Fence(report.shard);
  if (!fence || *fence != report.fence || report.code != result_code::ok) {
    metrics_.CountRefusal("adopt", report.code);
    return;
  }
  worker_state& state = worker_states_[report.worker];
  const auto adopted = state.adopt_number.find(report.shard);
  if (adopted == state.adopt_number.end()) return;
  state.reported[report.shard] = report.fence;
  const std::set<wire::task_ref> running(report.running.begin(), report.running.end());
  const std::set<wire::task_ref> ended(report.ended.begin(), report.ended.end());

  std::vector<std::string> stopped;
  for (auto& [task, row] : tasks_) {
    if (row.shard != report.shard || row.worker != report.worker || !IsSent(row.phase)) continue;
    if (row.sent_number > adopted->second) continue;
    const wire::task_ref ref{task, row.epoch};
    if (running.contains(ref)) {
      if (row.phase != task_phase::running) {
        row.phase = task_phase::running;
        if (row.adopted) scheduler_.OnStarted(task, time_.Now());
      }
      const ledger::task_entry* entry = Entry(row.shard, task);
      if (entry != nullptr && entry->cancel_requested) {
        SendControl(task, row, wire::task_action::cancel);
      }
    } else if (!ended.contains(ref)) {
      stopped.push_back(task);
    }
  }
  for (const std::string& task : stopped) EndLost(task, tasks_.at(task));

  for (const wire::task_ref& ref : report.running) {
    const auto found = tasks_.find(ref.task);
    const bool expected = found != tasks_.end() && found->second.epoch == ref.epoch &&
                          found->second.worker == report.worker;
    if (expected) continue;
    metrics_.GetCounter("coltsfoot_stray_assignments_total").Add();
    SendTo(report.worker, wire::ToFrame(wire::control_task{report.shard, report.fence, ref.task,
                                                           ref.epoch, wire::task_action::cancel}));
  }
}

// The worker has proved that it does not run the assignment and never will.
void task_controller::EndLost(const std::string& task, soft_task& row) {
  metrics_.GetCounter("coltsfoot_tasks_lost_total").Add();
  Requeue(task, row, result_code::connection_lost);
}

void task_controller::Requeue(const std::string& task, soft_task& row, result_code code) {
  metrics_.CountRetry(kWhere, code);
  RecordEnd(task, row, ledger::task_requeued{task, row.epoch, code, false}, nullptr);
}

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

void task_controller::Enqueue(soft_task& row, const ledger::task_entry& entry) {
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
      found == tasks_.end() ? nullptr : Entry(found->second.shard, action.task);
  if (entry == nullptr) {
    scheduler_.OnEnded(action.task, time_.Now());
    return;
  }
  soft_task& row = found->second;
  if (action.is_probe) quarantine_.OnProbeSent(action.worker, time_.Now());
  row.phase = task_phase::assigning;
  row.worker = workers_.identity(action.worker).id;
  row.epoch = entry->epoch + 1;
  row.adopted = true;
  ledger_.Append(row.shard, ledger::task_assigned{action.task, row.epoch, row.worker},
                 [this, task = action.task, epoch = row.epoch](append_outcome outcome) {
                   OnAssigned(task, epoch, outcome);
                 });
}

void task_controller::OnAssigned(const std::string& task, core::epoch_number epoch,
                                 append_outcome outcome) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end() || found->second.epoch != epoch) return;
  soft_task& row = found->second;
  const ledger::task_entry* entry = Entry(row.shard, task);
  if (entry == nullptr) return;
  if (outcome == append_outcome::no_effect) {
    // A cancellation was recorded first.
    LeaveWorker(task, row);
    Resync(task);
  } else if (outcome == append_outcome::committed) {
    if (entry->cancel_requested) {
      RecordCancelled(task, row, epoch);
    } else {
      SendStart(task, row, *entry);
    }
  }
}

void task_controller::SendStart(const std::string& task, soft_task& row,
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
  message.token = workers_.Token(*worker);
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
  message.need = placed->spec.need;
  message.expected_ms = entry.spec.expected_ms;
  message.payload = entry.spec.payload;
  message.checkpoint = entry.checkpoint;
  row.phase = task_phase::starting;
  row.started = time_.Now();
  if (!SendTo(row.worker, wire::ToFrame(message))) {
    row.refusal = result_code::connect_failed;
    Requeue(task, row, result_code::connect_failed);
    return;
  }
  row.sent_number = worker_states_[row.worker].messages;
  metrics_.GetCounter("coltsfoot_tasks_started_total").Add();
}

void task_controller::SendControl(const std::string& task, const soft_task& row,
                                  wire::task_action action) {
  const auto fence = ledger_.Fence(row.shard);
  if (!fence) return;
  SendTo(row.worker, wire::ToFrame(wire::control_task{row.shard, *fence, task, row.epoch, action}));
}

bool task_controller::SendTo(const std::string& worker, std::string frame) {
  if (!agents_.Send(worker, std::move(frame))) return false;
  worker_states_[worker].messages += 1;
  return true;
}

// Events.

void task_controller::Acknowledge(const wire::task_event& event) {
  SendTo(event.worker, wire::ToFrame(wire::event_ack{event.incarnation, event.event_id}));
}

void task_controller::OnTaskEvent(const wire::task_event& event) {
  const ledger::shard_table* table = ledger_.Table(event.shard);
  if (table == nullptr) return;  // the agent sends it again to the owner
  const ledger::task_entry* entry = table->FindTask(event.task);
  const auto found = tasks_.find(event.task);
  if (entry == nullptr || found == tasks_.end() || entry->epoch != event.epoch) {
    metrics_.GetCounter("coltsfoot_stale_task_events_total").Add();
    Acknowledge(event);
    return;
  }
  soft_task& row = found->second;
  if (row.phase == task_phase::ending || row.epoch != event.epoch) return;
  if (entry->state == ledger::task_state::queued) {
    // The attempt was taken for lost; only its whole result is still worth something.
    if (event.kind != wire::task_event_kind::finished) {
      Acknowledge(event);
      return;
    }
    scheduler_.CancelQueued(event.task);
  }
  switch (event.kind) {
    case wire::task_event_kind::started:
      if (row.phase != task_phase::starting && row.phase != task_phase::unresolved) return;
      row.phase = task_phase::running;
      row.refusals = 0;
      if (row.adopted) scheduler_.OnStarted(event.task, time_.Now());
      if (entry->cancel_requested) SendControl(event.task, row, wire::task_action::cancel);
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

void task_controller::OnRefused(const std::string& task, soft_task& row,
                                const wire::task_event& event) {
  metrics_.CountRetry(kWhere, event.code);
  row.refusal = event.code;
  RecordEnd(task, row, ledger::task_requeued{task, event.epoch, event.code, false}, &event);
}

void task_controller::OnSucceeded(const ledger::task_entry& entry, const wire::task_event& event) {
  const core::mono_time now = time_.Now();
  sizes_.Observe(entry.spec.task_class, event.observed, event.run_ms, now);
  if (const auto worker = workers_.Find(event.worker)) {
    quarantine_.OnSuccess(*worker, entry.spec.task_class, now);
  }
}

void task_controller::OnFailed(const std::string& task, soft_task& row,
                               const ledger::task_entry& entry, const wire::task_event& event) {
  const core::mono_time now = time_.Now();
  const std::size_t fleet = workers_.CountDispatchable(now);
  blame::verdict verdict{};
  if (const auto worker = workers_.Find(event.worker)) {
    const auto change = quarantine_.OnFailure(*worker, task, entry.spec.task_class,
                                              core::milliseconds{event.run_ms}, fleet, now);
    const bool refunded =
        std::any_of(change.refunds.begin(), change.refunds.end(),
                    [&](const blame::refund& refund) { return refund.work == task; });
    if (!refunded) verdict = verdicts_.OnFailed(task, *worker, fleet);
    for (const blame::refund& refund : change.refunds) {
      verdicts_.Refund(refund.work, refund.worker);
    }
    if (change.entered) {
      spdlog::info("event=worker_quarantined worker={}", event.worker);
      metrics_.GetCounter("coltsfoot_quarantines_total").Add();
    }
  }
  if (verdict.ends) {
    RecordEnd(task, row, ledger::task_finished{task, event.epoch, verdict.code, event.result},
              &event);
    return;
  }
  metrics_.CountRetry(kWhere, result_code::task_failed);
  RecordEnd(task, row, ledger::task_requeued{task, event.epoch, result_code::task_failed, true},
            &event);
}

void task_controller::RecordEnd(const std::string& task, soft_task& row, ledger::record change,
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
  soft_task& row = found->second;
  const ledger::task_entry* entry = Entry(row.shard, task);
  const bool runs_again =
      entry != nullptr && entry->state == ledger::task_state::queued && !entry->cancel_requested;
  if (runs_again && row.refusal && row.adopted) {
    const auto doublings = std::min(row.refusals, kMaxPauseDoublings);
    row.refusals += 1;
    row.phase = task_phase::resting;
    // A full worker is known to the scheduler from now on; the other reasons need time to pass.
    const bool at_once = *row.refusal == result_code::no_capacity;
    row.resume_at =
        time_.Now() + (at_once ? core::milliseconds{0}
                               : std::min(kFirstPause * (1U << doublings), kLongestPause));
    if (at_once) Resume(task, row);
    return;
  }
  LeaveWorker(task, row);
  Resync(task);
}

void task_controller::Resume(const std::string& task, soft_task& row) {
  const ledger::task_entry* entry = Entry(row.shard, task);
  const bool runs_again =
      entry != nullptr && entry->state == ledger::task_state::queued && !entry->cancel_requested;
  if (!runs_again) {
    LeaveWorker(task, row);
    Resync(task);
    return;
  }
  scheduler_.OnRefused(task, row.refusal.value_or(result_code::no_capacity), time_.Now());
  row.adopted = false;
  row.refusal.reset();
  row.phase = task_phase::queued;
}

void task_controller::LeaveWorker(const std::string& task, soft_task& row) {
  const core::mono_time now = time_.Now();
  if (!row.adopted) return;
  row.adopted = false;
  scheduler_.OnEnded(task, now);
}

void task_controller::Resync(const std::string& task) {
  soft_task& row = tasks_.at(task);
  const ledger::task_entry* entry = Entry(row.shard, task);
  if (entry == nullptr || entry->state == ledger::task_state::ended) {
    if (entry != nullptr) {
      metrics_.GetCounter("coltsfoot_tasks_ended_total", {"code", core::ToString(entry->code)})
          .Add();
    }
    Finish(task);
    return;
  }
  row.epoch = entry->epoch;
  if (entry->state == ledger::task_state::assigned) {
    row.phase = task_phase::unresolved;
  } else if (entry->cancel_requested) {
    RecordCancelled(task, row, entry->epoch);
  } else {
    Enqueue(row, *entry);
  }
}

void task_controller::Finish(const std::string& task) {
  verdicts_.OnEnded(task);
  tasks_.erase(task);
  const auto [first, last] = waiters_.equal_range(task);
  std::vector<end_handler> handlers;
  for (auto position = first; position != last; ++position) {
    handlers.push_back(std::move(position->second));
  }
  waiters_.erase(first, last);
  for (const end_handler& handler : handlers) handler();
}

// Systems that run each tick.

void task_controller::Tick() {
  const core::mono_time now = time_.Now();
  if (!config_.is_known()) return;
  ApplySettings();
  quarantine_.Tick(now);
  RunScheduler();
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryInterval;
  interference_.Decay(now);
  UpdateLargestWorker();
  ExpireLeases();
}

void task_controller::UpdateLargestWorker() {
  largest_worker_ = {};
  for (const core::resources& total : workers_.total()) {
    largest_worker_.cpu_millis = std::max(largest_worker_.cpu_millis, total.cpu_millis);
    largest_worker_.memory_mb = std::max(largest_worker_.memory_mb, total.memory_mb);
    largest_worker_.accelerators = std::max(largest_worker_.accelerators, total.accelerators);
  }
}

void task_controller::ApplySettings() {
  const std::size_t entries = std::max<std::size_t>(ledger_.Entries().size(), 1);
  if (applied_config_ == config_.version() && applied_entries_ == entries) return;
  applied_config_ = config_.version();
  applied_entries_ = entries;
  const config::resolved_settings& fleet = config_.view().fleet_wide();
  placement::scheduler_options options = DefaultOptions();
  options.policy = static_cast<placement::policy_kind>(fleet.policy);
  options.scoring.weights = {fleet.tail_latency_weight, fleet.throughput_weight,
                             fleet.evictions_weight};
  options.headroom_percent = static_cast<std::uint32_t>(fleet.latency_critical_headroom_percent);
  // Each entry spends its part of the fleet's budget, so that no agreement is needed.
  options.evictions_per_minute =
      static_cast<double>(fleet.evictions_per_minute) / static_cast<double>(entries);
  scheduler_.SetOptions(options);
  blame::quarantine_options quarantine;
  quarantine.failures = static_cast<std::uint32_t>(fleet.quarantine_failures);
  quarantine.first_probe = fleet.quarantine_probe;
  quarantine_.SetOptions(quarantine);
  verdicts_.SetOptions({static_cast<std::uint32_t>(fleet.max_worker_failures)});
  correct_sizes_ = fleet.sizes_correction;
}

void task_controller::ExpireLeases() {
  const core::mono_time now = time_.Now();
  std::vector<std::string> lapsed;
  std::vector<std::string> rested;
  std::set<std::pair<std::string, core::shard_index>> unresolved;
  for (const auto& [task, row] : tasks_) {
    switch (row.phase) {
      case task_phase::starting:
      case task_phase::running:
      case task_phase::unresolved:
        if (now > SilentUntil(row)) lapsed.push_back(task);
        if (row.phase == task_phase::unresolved && row.resume_at <= now) {
          unresolved.emplace(row.worker, row.shard);
        }
        break;
      case task_phase::resting:
        if (now >= row.resume_at) rested.push_back(task);
        break;
      default:
        break;
    }
  }
  for (const std::string& task : lapsed) {
    metrics_.GetCounter("coltsfoot_leases_lapsed_total").Add();
    Requeue(task, tasks_.at(task), result_code::lease_lapsed);
  }
  for (const std::string& task : rested) Resume(task, tasks_.at(task));
  for (const auto& [worker, shard] : unresolved) SendAdopt(worker, shard);
  for (auto& [task, row] : tasks_) {
    if (unresolved.contains({row.worker, row.shard}) && row.phase == task_phase::unresolved) {
      row.resume_at = now + kAdoptInterval;
    }
  }
}

// A lease that this entry granted ends `lease_ttl` after the worker sent the heartbeat that was
// answered, hence before the same time after the heartbeat was received here. Until the worker has
// reported under the present fence, an earlier owner may have granted leases as well.
core::mono_time task_controller::SilentUntil(const soft_task& row) {
  const auto since = ledger_.OwnedSince(row.shard);
  if (!since) return core::mono_time::max();
  core::mono_time base = since->since;
  const auto worker = workers_.Find(row.worker);
  config::subject about{.worker = row.worker};
  if (worker) {
    base = std::max(base, workers_.heard(*worker));
    about.rack = workers_.place_names().Name(workers_.rack()[*worker]);
    about.zone = workers_.place_names().Name(workers_.zone()[*worker]);
    about.region = workers_.place_names().Name(workers_.region()[*worker]);
  }
  const auto state = worker_states_.find(row.worker);
  const auto fence = ledger_.Fence(row.shard);
  const bool reported = state != worker_states_.end() &&
                        state->second.reported.contains(row.shard) &&
                        state->second.reported.at(row.shard) == fence;
  // An assignment that was made under the present ownership never had another owner.
  const bool inherited = row.sent_number == 0;
  if (inherited && !reported && !config_.view().For(about).worker_lost) {
    base = std::max(base, since->since + since->orphan_wait);
  }
  return base + options_.lease_ttl + options_.lease_margin;
}

void task_controller::OnUsage(const wire::usage_report& report) {
  const core::mono_time now = time_.Now();
  const auto worker = workers_.Find(report.worker);
  if (!worker || !config_.is_known()) return;
  for (const wire::usage_sample& sample : report.samples) {
    if (!sample.task.empty()) sizes_.Observe(sample.task_class, sample.used, 0, now);
  }
  if (config_.view().fleet_wide().interference_enabled) {
    interference_.OnUsage(*worker, report, now);
  }
}

void task_controller::OnWorkerForgotten(membership::worker_index worker) {
  scheduler_.OnWorkerForgotten(worker);
  interference_.ResetWorker(worker, time_.Now());
  quarantine_.ResetWorker(worker);
  verdicts_.ResetWorker(worker);
}

void task_controller::SetPeerUsage(const std::string& peer,
                                   const std::vector<wire::team_usage>& teams) {
  for (const auto& old : std::exchange(peer_usage_[peer], teams)) {
    scheduler_.queue().OnStopped(old.team, old.used);
  }
  for (const auto& usage : teams) scheduler_.queue().OnRunning(usage.team, usage.used);
  if (teams.empty()) peer_usage_.erase(peer);
}

std::vector<wire::team_usage> task_controller::OwnUsage() const {
  std::map<std::string, core::resources> usage;
  for (const auto& [task, row] : tasks_) {
    if (!row.adopted) continue;
    const placement::running_task* placed = scheduler_.running().Find(task);
    if (placed != nullptr) usage[placed->spec.team] += placed->spec.need;
  }
  std::vector<wire::team_usage> out;
  out.reserve(usage.size());
  for (const auto& [team, used] : usage) out.push_back({team, used});
  return out;
}

std::vector<std::string> task_controller::Explain(core::shard_index shard,
                                                  const std::string& task) {
  std::vector<std::string> lines;
  const ledger::task_entry* entry = Entry(shard, task);
  if (entry == nullptr) return lines;
  lines.push_back(fmt::format("{} assignments, {} evictions, {} failed attempts",
                              entry->assignments, entry->evictions, entry->failed_attempts));
  if (entry->state == ledger::task_state::ended) {
    lines.push_back(fmt::format("ended with {}", core::ToString(entry->code)));
    return lines;
  }
  if (entry->code != result_code::ok) {
    lines.push_back(fmt::format("last attempt ended with {}", core::ToString(entry->code)));
  }
  for (const std::string& worker : entry->failed_workers) {
    lines.push_back("failed on " + worker);
  }
  if (entry->state == ledger::task_state::assigned) {
    lines.push_back("assigned to " + entry->worker);
    return lines;
  }
  const placement::task_spec spec = PlacementSpec(*entry);
  if (!scheduler_.queue().IsWithinQuota(spec.team, spec.need)) {
    lines.push_back("the team is at its quota");
  }
  const auto explanation = scheduler_.Explain(spec, time_.Now());
  lines.push_back(
      fmt::format("{} workers known, {} big enough", explanation.known, explanation.big_enough));
  for (std::size_t index = 0; index < placement::kFilterReasons; ++index) {
    const auto reason = static_cast<placement::filter_reason>(index);
    if (explanation.removed_by(reason) == 0) continue;
    lines.push_back(fmt::format("{} workers excluded: {}", explanation.removed_by(reason),
                                placement::ToString(reason)));
  }
  for (const auto& best : explanation.best) {
    lines.push_back(
        fmt::format("candidate {} score {:.3f}", workers_.identity(best.worker).id, best.score));
  }
  return lines;
}

}  // namespace coltsfoot::entry
