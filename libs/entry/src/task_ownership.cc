// Takeover and loss of shards, shard reports of workers, and execution leases.
#include <algorithm>
#include <utility>

#include "task_controller.h"
#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;

constexpr core::milliseconds kAdoptInterval{1000};
constexpr std::string_view kWhere = "task";

}  // namespace

void task_controller::OnShardOwned(core::shard_index shard) {
  std::set<std::string> workers;
  for (const auto& [task, entry] : ledger_.Table(shard)->tasks()) {
    if (entry.state == ledger::task_state::assigned) workers.insert(entry.worker);
    TakeOver(task, entry, shard);
  }
  for (const std::string& worker : workers) SendAdopt(worker, shard);
}

void task_controller::TakeOver(const std::string& task, const ledger::task_entry& entry,
                               core::shard_index shard) {
  tracked_task& row = tasks_[task];
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

void task_controller::AdoptIfKnown(tracked_task& row, const ledger::task_entry& entry) {
  const auto worker = workers_.Find(row.worker);
  if (!worker || row.counted_as_running) return;
  const core::mono_time now = time_.Now();
  scheduler_.Adopt(PlacementSpec(entry), *worker, now, now);
  row.counted_as_running = true;
}

void task_controller::OnShardLost(core::shard_index shard) {
  const core::mono_time now = time_.Now();
  std::vector<std::string> lost;
  for (const auto& [task, row] : tasks_) {
    if (row.shard == shard) lost.push_back(task);
  }
  for (const std::string& task : lost) {
    scheduler_.CancelQueued(task);
    if (tasks_[task].counted_as_running) scheduler_.Drop(task, now);
    RemoveTask(task);
  }
  for (auto& [worker, state] : worker_states_) {
    state.adopt_message_numbers.erase(shard);
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
  // A report does not say which `adopt_shard` it answers. `emplace` keeps the number of the oldest
  // unanswered one, so that a report is never taken to cover a start that was sent after the
  // request that it answers.
  state.adopt_message_numbers.emplace(shard, state.messages_sent);
}

void task_controller::OnLinkLost(const std::string& worker) {
  worker_states_[worker].adopt_message_numbers.clear();
}

void task_controller::OnWorkerReachable(const std::string& worker) {
  std::set<core::shard_index> shards;
  for (auto& [task, row] : tasks_) {
    if (row.worker != worker || !IsSent(row.phase)) continue;
    shards.insert(row.shard);
    if (const ledger::task_entry* entry = LogEntry(row.shard, task)) AdoptIfKnown(row, *entry);
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
  const auto pending_adopt = state.adopt_message_numbers.find(report.shard);
  if (pending_adopt == state.adopt_message_numbers.end()) return;
  const std::uint64_t adopt_message_number = pending_adopt->second;
  state.adopt_message_numbers.erase(pending_adopt);
  state.reported[report.shard] = report.fence;
  const std::set<wire::task_ref> running(report.running.begin(), report.running.end());
  const std::set<wire::task_ref> ended(report.ended.begin(), report.ended.end());

  std::vector<std::string> stopped;
  for (auto& [task, row] : tasks_) {
    if (row.shard != report.shard || row.worker != report.worker || !IsSent(row.phase)) continue;
    if (row.start_message_number > adopt_message_number) continue;
    const wire::task_ref ref{task, row.epoch};
    if (running.contains(ref)) {
      const ledger::task_entry* entry = LogEntry(row.shard, task);
      if (entry != nullptr) MarkRunning(task, row, *entry);
    } else if (!ended.contains(ref)) {
      stopped.push_back(task);
    }
  }
  for (const std::string& task : stopped) RequeueLost(task, tasks_.at(task));

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

// Call only if the worker reported that it does not run the assignment; it will not run it later
// either.
void task_controller::RequeueLost(const std::string& task, tracked_task& row) {
  metrics_.GetCounter("coltsfoot_tasks_lost_total").Add();
  Requeue(task, row, result_code::connection_lost);
}

void task_controller::Requeue(const std::string& task, tracked_task& row, result_code code) {
  metrics_.CountRetry(kWhere, code);
  RecordEnd(task, row, ledger::task_requeued{task, row.epoch, code, false}, nullptr);
}

void task_controller::HandleDueTasks() {
  const core::mono_time now = time_.Now();
  std::vector<std::string> expired;
  std::vector<std::string> backoff_over;
  std::vector<std::string> checkpoint_due;
  std::set<std::pair<std::string, core::shard_index>> unresolved;
  for (auto& [task, row] : tasks_) {
    switch (row.phase) {
      case task_phase::starting:
      case task_phase::running:
      case task_phase::unresolved:
        if (HasLeaseExpired(row, now)) {
          expired.push_back(task);
        } else if (row.phase == task_phase::running && now >= row.next_checkpoint) {
          checkpoint_due.push_back(task);
        }
        if (row.phase == task_phase::unresolved && row.resume_at <= now) {
          unresolved.emplace(row.worker, row.shard);
        }
        break;
      case task_phase::backing_off:
        if (now >= row.resume_at) backoff_over.push_back(task);
        break;
      default:
        break;
    }
  }
  for (const std::string& task : expired) {
    metrics_.GetCounter("coltsfoot_leases_lapsed_total").Add();
    Requeue(task, tasks_.at(task), result_code::lease_lapsed);
  }
  for (const std::string& task : checkpoint_due) RequestCheckpoint(task, tasks_.at(task));
  for (const std::string& task : backoff_over) Resume(task, tasks_.at(task));
  for (const auto& [worker, shard] : unresolved) SendAdopt(worker, shard);
  for (auto& [task, row] : tasks_) {
    if (unresolved.contains({row.worker, row.shard}) && row.phase == task_phase::unresolved) {
      row.resume_at = now + kAdoptInterval;
    }
  }
}

bool task_controller::HasLeaseExpired(tracked_task& row, core::mono_time now) const {
  if (row.lease_expiry_epoch == row.epoch && now <= row.lease_expiry) return false;
  const core::mono_time until = LeaseExpiry(row);
  // Only the expiry of an assignment that this entry sent is cached, because heartbeats can only
  // move it forward. The expiry of an inherited assignment moves back when its worker reports or is
  // declared lost.
  if (row.start_message_number != 0 && until != core::mono_time::max()) {
    row.lease_expiry_epoch = row.epoch;
    row.lease_expiry = until;
  }
  return now > until;
}

// A lease that this entry granted ends `lease_ttl` after the worker sent the acknowledged
// heartbeat, hence no later than `lease_ttl` after this entry received it. Until the worker has
// reported under the current fencing token, an earlier owner may also have renewed the lease.
core::mono_time task_controller::LeaseExpiry(const tracked_task& row) const {
  const auto since = ledger_.OwnedSince(row.shard);
  if (!since) return core::mono_time::max();
  core::mono_time base = since->since;
  const auto worker = workers_.Find(row.worker);
  config::subject about{.worker = row.worker};
  if (worker) {
    base = std::max(base, workers_.last_heartbeat_at(*worker));
    about.rack = workers_.place_names().Name(workers_.rack()[*worker]);
    about.zone = workers_.place_names().Name(workers_.zone()[*worker]);
    about.region = workers_.place_names().Name(workers_.region()[*worker]);
  }
  const auto state = worker_states_.find(row.worker);
  const auto fence = ledger_.Fence(row.shard);
  const bool reported = state != worker_states_.end() &&
                        state->second.reported.contains(row.shard) &&
                        state->second.reported.at(row.shard) == fence;
  // An assignment that was made under the current ownership had no earlier owner that could renew
  // its lease.
  const bool inherited = row.start_message_number == 0;
  if (inherited && !reported && !config_.view().For(about).worker_lost) {
    base = std::max(base, since->since + since->orphan_wait);
  }
  return base + options_.lease_ttl + options_.lease_margin;
}

}  // namespace coltsfoot::entry
