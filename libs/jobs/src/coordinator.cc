#include "jobs/coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "jobs/records.h"
#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

// Covers the time between the agent's send and the target's receipt of a lease, and the delay with
// which the target ends runs whose lease has expired.
constexpr core::milliseconds kExpiryMargin{400};
constexpr core::milliseconds kStopRetryInterval{800};
constexpr core::milliseconds kSummaryInterval{2000};
// A stopped run disappears from the reports after up to half a second.
constexpr core::milliseconds kMoveInterval{500};
// A single stuck task may be at fault itself; several at once point to the worker.
constexpr int kStuckLimit = 2;

}  // namespace

coordinator::coordinator(coordinator_options options, const core::clock& time,
                         metrics::registry& metrics, agent_link& agents,
                         store::versioned_store& storage, term_authority& authority)
    : options_(options),
      time_(time),
      metrics_(metrics),
      agents_(agents),
      authority_(authority),
      queues_(std::make_shared<queue_catalogue>()),
      progress_(time, metrics, storage, [this] { authority_.OnDeposed(); }),
      absences_(time, metrics, storage, [this] { authority_.OnDeposed(); }),
      run_numbers_(time, storage, [this] { authority_.OnDeposed(); }) {}

core::mono_time coordinator::LeaseBound(core::mono_time granted) const {
  return granted + options_.task_lease +
         options_.task_lease * options_.clock_drift_permille / 1000 + kExpiryMargin;
}

void coordinator::SetQueues(std::shared_ptr<const queue_catalogue> queues) {
  queues_ = std::move(queues);
  for (const auto& [id, job] : jobs_.open()) UpdateQueue(*job);
}

void coordinator::UpdateQueue(job_row& job) const {
  // Another entry may have accepted the job under a version that has yet to arrive here.
  if (queues_->version() < job.record.config_version) return;
  // Jobs of a queue that was removed keep its last configuration.
  if (const queue_config* queue = queues_->FindByName(job.record.queue)) job.queue = *queue;
}

void coordinator::OnInboxChange(const store::key_change& change) {
  if (const auto job = KeySuffix(change.key, kJobPrefix)) {
    if (change.entry) AddJob(*job, *change.entry);
  } else if (const auto cancelled = KeySuffix(change.key, kCancelPrefix)) {
    if (change.entry) {
      CancelJob(*cancelled);
    } else {
      early_cancels_.erase(*cancelled);
    }
  } else if (const auto agent = KeySuffix(change.key, kAgentPrefix)) {
    if (!change.entry) return;
    WorkerOf(*agent);
    agents_.Connect(*agent, change.entry->value);
  }
}

void coordinator::AddJob(const std::string& id, const store::kv_entry& entry) {
  if (jobs_.Find(id) != nullptr) return;
  core::last_error error;
  auto record = wire::DecodeValue<job_record>(entry.value, error);
  if (!record || !IsValid(*record, error)) {
    spdlog::error("event=job_unreadable job={} reason=\"{}\"", id, error.reason().message);
    return;
  }
  const std::int64_t wall_ms = time_.WallNow().time_since_epoch().count();
  // The accepting entry's clock may be ahead of this one's; the age must not be negative.
  const core::milliseconds age{std::max<std::int64_t>(0, wall_ms - record->accepted_wall_ms)};
  job_row& job = jobs_.Add(id, std::move(*record), entry.version, time_.Now() - age);
  job.queue = {.name = job.record.queue,
               .service = job.record.service,
               .priority = job.record.priority,
               .attempts = job.record.attempts,
               .stretch = job.record.stretch,
               .objective_ms = job.record.objective_ms};
  UpdateQueue(job);
  if (entry.version < term_) job.run_base = run_numbers_.base();
  spdlog::info("event=job_known job={} queue={} priority={} steps={} tasks={} age_ms={}", id,
               job.record.queue, job.queue.priority, job.steps.size(), job.tasks.size(),
               age.count());
  if (early_cancels_.erase(id) > 0) CancelJob(id);
}

void coordinator::CancelJob(const std::string& id) {
  job_row* job = jobs_.Find(id);
  if (job == nullptr) {
    early_cancels_.emplace(id, time_.Now());
    return;
  }
  if (!IsEnded(job->state)) spdlog::info("event=job_cancelled job={}", id);
  jobs_.Cancel(*job, time_.WallNow().time_since_epoch().count());
}

worker_row& coordinator::WorkerOf(const std::string& agent) {
  const auto [it, added] = workers_.try_emplace(agent);
  worker_row& worker = it->second;
  if (added) {
    worker.agent = agent;
    worker.known_since = time_.Now();
    worker.last_report_at = time_.Now();
    jobs_.MarkAgentChanged(agent);
    // An earlier coordinator may have extended the agent's lease until then.
    worker.lease_bound = LeaseBound(term_began_ + options_.grant_extension);
  }
  return worker;
}

void coordinator::OnAgentConnected(const std::string& agent) {
  worker_row& worker = WorkerOf(agent);
  worker.connected = true;
  worker.reported_on_connection = false;
  worker.sent_pressures.clear();
  // Unsent commands carry sequence numbers of the previous connection. `ResendCommands` makes them
  // again.
  commands_.erase(agent);
  worker.granted_at = {};
  worker.next_command = 1;
  worker.resend_commands = true;
}

void coordinator::OnAgentDisconnected(const std::string& agent) {
  const auto it = workers_.find(agent);
  if (it == workers_.end()) return;
  if (it->second.connected) spdlog::info("event=agent_lost agent={}", agent);
  it->second.connected = false;
}

void coordinator::Tick() {
  if (!active()) return;
  run_numbers_.Flush();
  ExpireLeases();
  SettleTakeover();
  StopRedundantCopies();
  PlanIfDue();
  SendCommands();
  for (const std::string& agent : progress_.Flush(jobs_, workers_)) {
    const worker_row& worker = workers_.at(agent);
    // Only confirms ends: a grant without an echo extends no lease.
    agents_.Send(agent, lease_grant{.term = term_,
                                    .echo_ms = 0,
                                    .incarnation = worker.incarnation,
                                    .stored_end = worker.stored_end});
  }
  absences_.Flush();
  CleanUp();
  LogFleet();
}

void coordinator::PlanIfDue() {
  const core::mono_time began = time_.Now();
  if (!authority_.MayStart() || !plan_pacer_.IsDue(began)) return;
  if (!KnowsEvacuations(began)) return;
  StartPlanned();
  MovePlanned();
  plan_pacer_.Record(began, time_.Now());
}

void coordinator::SettleTakeover() {
  if (takeover_settled_) return;
  for (const auto& [agent, worker] : workers_) {
    if (!worker.listed && worker.state != target_state::gone && time_.Now() < worker.lease_bound) {
      return;
    }
  }
  takeover_settled_ = true;
  spdlog::info("event=takeover_settled term={} after_ms={}", term_,
               core::ToMs(time_.Now() - term_began_));
}

void coordinator::ExpireLeases() {
  for (auto& [agent, worker] : workers_) {
    if (time_.Now() < worker.lease_bound) continue;
    DropLostRuns(worker, "lease_lapsed");
    worker.listed = false;
  }
}

void coordinator::StopRedundantCopies() {
  std::vector<job_row*> settled;
  for (const auto& [id, job] : jobs_.stop_candidates()) {
    if (!StopRedundantCopiesOf(*job)) settled.push_back(job);
  }
  for (job_row* job : settled) jobs_.ClearStopCandidate(*job);
}

bool coordinator::StopRedundantCopiesOf(job_row& job) {
  if (job.copy_count == 0) return false;
  const core::mono_time now = time_.Now();
  bool found = false;
  for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < job.Spec(step).count; ++index) {
      const std::uint32_t place = job.steps[step].first_task + index;
      if (job.tasks[place].copies.empty()) continue;
      task_row& task = job.tasks.At(place);
      for (task_copy& copy : task.copies) {
        // Of two copies of a task that is not speculative, the one with the higher run continues:
        // the other was started by a coordinator that had lost contact.
        const bool duplicate = task.copies.size() > 1 && !job.Spec(step).speculative &&
                               copy.run < task.progress.last_run;
        if (!IsEnded(job.state) && !task.progress.done && !duplicate) continue;
        found = true;
        if (copy.stopping && now - copy.stop_issued_at < kStopRetryInterval) continue;
        const auto worker = workers_.find(copy.agent);
        if (worker == workers_.end() || !worker->second.connected) continue;
        copy.stopping = true;
        copy.stop_issued_at = now;
        CommandsFor(worker->second).stops.push_back({{job.id, 0, step, index}, copy.run});
      }
    }
  }
  return found;
}

void coordinator::UpdateCommitted() {
  for (const std::string& agent : jobs_.TakeChangedAgents()) {
    worker_row& worker = WorkerOf(agent);
    worker.committed = {};
    worker.filling_cpu = 0;
    worker.serving = 0;
    worker.serving_cpu = 0;
    worker.slowed = 0;
    worker.serving_groups.clear();
    worker.filling_cores.clear();
    jobs_.VisitCopies(agent, [&](const task_ref& ref, const task_id& id, const task_copy& copy) {
      const step_spec& step = ref.job->Spec(ref.step);
      worker.committed += Reserved(step);
      if (step.fills) {
        worker.filling_cpu += step.need.cpu_millis;
        worker.filling_cores[step.image] += static_cast<double>(step.need.cpu_millis) / 1000.0;
        if (copy.slowed_since != core::mono_time{}) ++worker.slowed;
      }
      if (!step.long_running) return;
      worker.serving_groups.emplace(GroupOf(id.job, id.step), step.image);
      ++worker.serving;
      worker.serving_cpu += step.need.cpu_millis;
    });
  }
}

void coordinator::StartPlanned() {
  UpdateCommitted();
  const core::mono_time now = time_.Now();
  for (const auto& [id, job] : jobs_.open()) {
    job->held = !takeover_settled_ && job->accepted_revision < term_;
    if (job->copy_count > 0) job->last_running_at = now;
  }
  MarkEvacuated();
  isolation_.Update(jobs_, workers_, now);
  const start_plan plan = Plan(jobs_, workers_, headroom_model_, now, options_.planner);
  metrics_.GetCounter("coltsfoot_plan_workers_total").Add(plan.workers_examined);
  for (const auto& [reason, count] : plan.waits) {
    metrics_.GetCounter("coltsfoot_plan_waits_total", {"reason", ToString(reason)}).Add(count);
    waits_[reason] += count;
  }
  for (const planned_start& start : plan.starts) {
    const task_id id{start.job, 0, start.step, start.index};
    const auto ref = jobs_.FindTask(id);
    const std::uint32_t last_run = std::max(ref->task->progress.last_run, ref->job->run_base);
    if (!run_numbers_.Reserve(std::uint64_t{last_run} + 1)) {
      // The plan has committed resources to this start.
      jobs_.MarkAgentChanged(start.agent);
      continue;
    }
    worker_row& worker = workers_.at(start.agent);
    worker.last_start_at = now;
    worker_commands& commands = CommandsFor(worker);
    const std::uint32_t run = last_run + 1;
    if (ref->job->state == job_state::queued) {
      spdlog::info("event=job_started job={} agent={} waited_ms={}", start.job, start.agent,
                   core::ToMs(now - ref->job->accepted_at));
    }
    jobs_.AddCopy(*ref, {.agent = start.agent,
                         .incarnation = worker.incarnation,
                         .run = run,
                         .command = commands.sequence,
                         .issued_at = now,
                         .progress_changed_at = now});
    commands.starts.push_back(MakeStart(*ref->job, {id, run}, *ref->task, worker));
    metrics_.GetCounter("coltsfoot_starts_total").Add();
  }
}

void coordinator::MovePlanned() {
  const core::mono_time now = time_.Now();
  if (now < next_move_) return;
  next_move_ = now + kMoveInterval;
  std::map<std::string, int> stuck;
  for (const planned_move& move :
       PlanMoves(jobs_, workers_, headroom_model_, now, options_.planner)) {
    const auto ref = jobs_.FindTask(move.run.task);
    if (!ref) continue;
    for (task_copy& copy : ref->task->copies) {
      if (copy.agent != move.agent || copy.run != move.run.run) continue;
      copy.stopping = true;
      copy.stop_issued_at = now;
    }
    if (move.reason == move_reason::stuck) {
      ref->task->failed_on = move.agent;
      if (++stuck[move.agent] == kStuckLimit) Quarantine(workers_.at(move.agent), "tasks_stuck");
    }
    CommandsFor(workers_.at(move.agent)).stops.push_back(move.run);
    metrics_.GetCounter("coltsfoot_moves_total", {"reason", ToString(move.reason)}).Add();
    spdlog::info("event=run_moved task={} run={} agent={} reason={}", ToString(move.run.task),
                 move.run.run, move.agent, ToString(move.reason));
  }
}

void coordinator::LogFleet() {
  const core::mono_time now = time_.Now();
  if (now < next_summary_) return;
  next_summary_ = now + kSummaryInterval;
  std::string waits;
  for (const auto& [reason, count] : std::exchange(waits_, {})) {
    waits += std::string(waits.empty() ? "" : ",") + ToString(reason) + ":" + std::to_string(count);
  }
  const fleet_summary sum = Summarize(jobs_, workers_, now);
  spdlog::info(
      "event=fleet workers={} usable={} avoided={} slowed={} evacuated={} cpu={} committed={} "
      "filling={} "
      "jobs={} waiting_tasks={} waiting_filling={} running={} waits={}",
      workers_.size(), sum.usable, sum.quarantined, sum.slowed, sum.evacuated, sum.cpu_millis,
      sum.committed_millis, sum.filling_millis, sum.open_jobs, sum.waiting_tasks,
      sum.waiting_filling, sum.running, waits);
}

task_facts coordinator::FactsOf(const run_id& run, const step_spec& step) {
  return {.run = run,
          .long_running = step.long_running,
          .fills = step.fills,
          .goal_ms = step.goal_ms,
          .cpu_millis = step.need.cpu_millis,
          .image = step.image};
}

start_command coordinator::MakeStart(const job_row& job, const run_id& run, const task_row& task,
                                     const worker_row& worker) const {
  return {.facts = FactsOf(run, job.Spec(run.task.step)),
          .payload = job.record.spec.payload,
          .checkpoint = task.progress.checkpoint,
          .expires_ms = StartExpiry(worker)};
}

worker_commands& coordinator::CommandsFor(worker_row& worker) {
  const auto [it, added] = commands_.try_emplace(worker.agent);
  if (added) {
    it->second.term = term_;
    it->second.sequence = worker.next_command++;
    it->second.incarnation = worker.incarnation;
  }
  return it->second;
}

void coordinator::SendCommands() {
  for (const auto& [agent, commands] : commands_) agents_.Send(agent, commands);
  commands_.clear();
}

std::optional<job_state> coordinator::StateOf(std::string_view job) const {
  const job_row* row = jobs_.Find(job);
  if (row == nullptr) return std::nullopt;
  // A cancellation is stored before the coordinator learns of it.
  if (row->state == job_state::cancelled || !IsEnded(row->state)) return row->state;
  // The end may be in the store, where callers may have read it, so ask the store.
  if (row->end_in_doubt) return std::nullopt;
  // An end that is not stored yet would be lost if this process failed now.
  return row->stored_state == row->state ? row->state : job_state::active;
}

std::uint64_t coordinator::CountWaiting(std::string_view queue) const {
  return static_cast<std::uint64_t>(
      std::count_if(jobs_.jobs().begin(), jobs_.jobs().end(), [&](const auto& each) {
        // A planned start may never reach its target.
        const job_row& job = each.second;
        return !job.begun && !IsEnded(job.state) && job.record.queue == queue;
      }));
}

}  // namespace coltsfoot::jobs
