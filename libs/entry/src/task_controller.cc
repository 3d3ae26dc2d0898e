#include "task_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using ledger::append_outcome;

constexpr core::milliseconds kPeriodicCheckInterval{100};
constexpr std::size_t kMaxQueuedTasks = 100'000;
constexpr std::string_view kWhere = "task";

placement::scheduler_options DefaultOptions() {
  placement::scheduler_options out;
  // Agents refuse batch tasks that would use the headroom. If an entry assigned them there, it
  // would count the capacity as used until the next heartbeat, and urgent tasks would see neither
  // the headroom nor the workers where a few evictions suffice.
  out.borrow_headroom = false;
  return out;
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

const ledger::task_entry* task_controller::LogEntry(core::shard_index shard,
                                                    const std::string& task) const {
  const ledger::shard_table* table = ledger_.Table(shard);
  return table == nullptr ? nullptr : table->FindTask(task);
}

// Submission and cancellation.

void task_controller::Submit(core::shard_index shard, ledger::task_spec spec, done_handler done) {
  if (const ledger::task_entry* known = LogEntry(shard, spec.task)) {
    const bool same = known->spec.request_digest == spec.request_digest;
    done({same ? result_code::ok : result_code::idempotency_key_reused,
          same ? "" : "the key belongs to another task"});
    return;
  }
  if (!ledger_.MayAppend(shard) || !ledger_.store_reachable()) {
    metrics_.CountRefusal(kWhere, result_code::store_unavailable);
    done({result_code::store_unavailable,
          "the task cannot be recorded because the log is not writable"});
    return;
  }
  const result_code admitted = CheckAdmission(spec);
  if (admitted != result_code::ok) {
    metrics_.CountRefusal(kWhere, admitted);
    done({admitted, admitted == result_code::queue_full
                        ? "too many tasks are queued"
                        : "the task alone exceeds the CPU quota of its team"});
    return;
  }
  const std::string task = spec.task;
  const std::uint64_t digest = spec.request_digest;
  ledger_.Append(
      shard, ledger::task_submitted{std::move(spec)},
      [this, shard, task, digest, done = std::move(done)](append_outcome outcome) {
        const ledger::task_entry* entry = LogEntry(shard, task);
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
            done({result_code::not_owner, "the entry lost the shard before the task was recorded"});
            return;
          case append_outcome::unknown:
            done({result_code::outcome_unknown,
                  "the entry lost the shard while the task was being recorded"});
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
  const ledger::task_entry* entry = LogEntry(shard, task);
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
    done({result_code::store_unavailable,
          "the cancellation cannot be recorded because the log is not writable"});
    return;
  }
  ledger_.Append(
      shard, ledger::cancel_requested{task},
      [this, task, done = std::move(done)](append_outcome outcome) {
        if (outcome != append_outcome::committed && outcome != append_outcome::no_effect) {
          done({result_code::outcome_unknown,
                "the entry lost the shard while the cancellation was being recorded"});
          return;
        }
        done({result_code::ok, ""});
        const auto found = tasks_.find(task);
        if (found == tasks_.end()) return;
        tracked_task& row = found->second;
        const ledger::task_entry* current = LogEntry(row.shard, task);
        if (current == nullptr || !current->cancel_requested) return;
        if (row.phase == task_phase::queued) {
          scheduler_.CancelQueued(task);
          RecordCancelled(task, row, current->epoch);
        } else if (row.phase == task_phase::starting || row.phase == task_phase::running) {
          SendControl(task, row, wire::task_action::cancel);
        }
      });
}

void task_controller::RecordCancelled(const std::string& task, tracked_task& row,
                                      core::epoch_number epoch) {
  row.epoch = epoch;
  RecordEnd(task, row, ledger::task_cancelled{task, epoch}, nullptr);
}

task_view task_controller::Find(core::shard_index shard, const std::string& task) const {
  const auto found = tasks_.find(task);
  return {LogEntry(shard, task),
          found != tasks_.end() && found->second.phase == task_phase::running};
}

void task_controller::WaitForEnd(const std::string& task, core::mono_time until, end_handler done) {
  waiters_.emplace(task, waiter{until, std::move(done)});
}

// Work of each tick.

void task_controller::Tick() {
  const core::mono_time now = time_.Now();
  std::erase_if(waiters_, [now](const auto& each) { return each.second.until < now; });
  if (!config_.is_known()) return;
  ApplySettings();
  quarantine_.Tick(now);
  RunScheduler();
  if (now < next_periodic_check_) return;
  next_periodic_check_ = now + kPeriodicCheckInterval;
  interference_.Decay(now);
  UpdateLargestWorker();
  HandleDueTasks();
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
  // Each entry gets an equal part of the fleet-wide budget, so the entries need not coordinate.
  options.evictions_per_minute =
      static_cast<double>(fleet.evictions_per_minute) / static_cast<double>(entries);
  scheduler_.SetOptions(options);
  blame::quarantine_options quarantine;
  quarantine.min_failures = static_cast<std::uint32_t>(fleet.quarantine_failures);
  quarantine.initial_probe_interval = fleet.quarantine_probe;
  quarantine_.SetOptions(quarantine);
  task_failures_.SetOptions({static_cast<std::uint32_t>(fleet.max_worker_failures)});
  correct_sizes_ = fleet.sizes_correction;
}

void task_controller::OnUsage(const wire::usage_report& report) {
  const core::mono_time now = time_.Now();
  const auto worker = workers_.Find(report.worker);
  if (!worker) return;
  workers_.OnFreeReported(*worker, report.free);
  if (!config_.is_known()) return;
  for (const wire::usage_sample& sample : report.samples) {
    if (sample.task.empty()) continue;
    const auto own = tasks_.find(sample.task);
    const ledger::task_entry* entry =
        own == tasks_.end() ? nullptr : LogEntry(own->second.shard, sample.task);
    if (entry != nullptr) {
      sizes_.ObserveTask(sample.task_class, {entry->spec.need, 0}, sample.used, 0, now);
    } else {
      sizes_.Observe(sample.task_class, sample.used, 0, now);
    }
  }
  if (config_.view().fleet_wide().interference_enabled) {
    interference_.OnUsage(*worker, report, now);
  }
}

void task_controller::OnWorkerForgotten(membership::worker_index worker) {
  scheduler_.OnWorkerForgotten(worker);
  interference_.ResetWorker(worker, time_.Now());
  quarantine_.ResetWorker(worker);
  task_failures_.ResetWorker(worker);
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
    if (!row.counted_as_running) continue;
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
  const ledger::task_entry* entry = LogEntry(shard, task);
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
    lines.push_back("the task would exceed the CPU quota of its team");
  }
  const auto explanation = scheduler_.Explain(spec, time_.Now());
  lines.push_back(
      fmt::format("{} workers known, {} big enough", explanation.known, explanation.big_enough));
  for (std::size_t index = 0; index < placement::kFilterReasons; ++index) {
    const auto reason = static_cast<placement::filter_reason>(index);
    if (explanation.rejected_by(reason) == 0) continue;
    lines.push_back(fmt::format("{} workers excluded: {}", explanation.rejected_by(reason),
                                placement::ToString(reason)));
  }
  for (const auto& best : explanation.best) {
    lines.push_back(
        fmt::format("candidate {} score {:.3f}", workers_.identity(best.worker).id, best.score));
  }
  return lines;
}

}  // namespace coltsfoot::entry
