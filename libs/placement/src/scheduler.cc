#include "placement/scheduler.h"

#include <algorithm>
#include <utility>

#include "worker_filter.h"

namespace coltsfoot::placement {

namespace {

constexpr core::nanoseconds kFleetTotalInterval = std::chrono::seconds{1};
/// Delay until the next attempt for a task without a plan, so that other tasks are planned
/// meanwhile.
constexpr core::nanoseconds kPlanRetryDelay = std::chrono::milliseconds{100};
/// An eviction that has not ended its task within this time is considered lost; the task may then
/// be chosen as a victim again.
constexpr core::nanoseconds kCommandLost = std::chrono::seconds{10};

/// Tolerated slowdown of services, minus one, if only tail latency has a weight. Full workers
/// without noisy neighbours cause less than this.
constexpr double kMinToleratedExcess = 0.45;

/// @return the slowdown of a service against its baseline above which batch tasks beside it are
/// throttled. A lower weight of tail latency tolerates more slowdown, so that more batch work gets
/// done.
double ToleratedSlowdown(const goal_weights& weights) {
  const double tail = std::max(0.0, weights.tail_latency);
  const double all = tail + std::max(0.0, weights.throughput) + std::max(0.0, weights.evictions);
  if (all <= 0) return ToleratedSlowdown({1, 1, 1});
  return 1 + kMinToleratedExcess * all / tail;
}

reclaim_options ReclaimOptions(const scheduler_options& options) {
  reclaim_options reclaim = options.reclaim;
  reclaim.throttle_frees_percent = options.preemption.throttle_frees_percent;
  return reclaim;
}

bool IsEnding(const running_task& task) {
  return task.state == running_state::evicting || task.state == running_state::stopping;
}

}  // namespace

/// Forwards the tasks that the queue offers to `scheduler::Place`.
class scheduler::queue_placer final : public task_placer {
 public:
  queue_placer(scheduler& owner, core::mono_time now, actions& out)
      : owner_(owner), now_(now), out_(out) {}
  attempt_outcome TryPlace(const task_spec& task) override {
    return owner_.Place(task, now_, out_);
  }

 private:
  scheduler& owner_;
  core::mono_time now_;
  actions& out_;
};

scheduler::scheduler(scheduler_options options, membership::worker_table& workers,
                     interference::model* interference, blame::quarantine* quarantine,
                     core::random_source& random)
    : options_(options),
      workers_(workers),
      interference_(interference),
      quarantine_(quarantine),
      random_(random),
      policy_(MakePlacementPolicy(options.policy, options.scoring)),
      queue_(options.queue),
      reclaim_(ReclaimOptions(options)),
      budget_(options.evictions_per_minute) {}

scheduler::~scheduler() = default;

void scheduler::SetOptions(scheduler_options options) {
  const bool same_policy = options.policy == options_.policy &&
                           options.scoring.weights == options_.scoring.weights &&
                           options.scoring.max_scored == options_.scoring.max_scored;
  if (!same_policy) policy_ = MakePlacementPolicy(options.policy, options.scoring);
  budget_.SetRate(options.evictions_per_minute);
  options_ = options;
}

core::result_code scheduler::Submit(task_spec task) {
  if (running_.Find(task.task) != nullptr) return core::result_code::conflict;
  return queue_.Push(std::move(task));
}

void scheduler::Resubmit(task_spec task) { queue_.Requeue(std::move(task)); }

bool scheduler::CancelQueued(std::string_view task) {
  const auto removed = queue_.Remove(task);
  if (!removed) return false;
  DropReservation(removed->task);
  return true;
}

void scheduler::Adopt(task_spec task, worker_index worker, core::mono_time started,
                      core::mono_time now) {
  CancelQueued(task.task);
  Release(task.task, true, now);
  const interference::class_id started_class = RecordClassStart(worker, task.task_class, now);
  queue_.OnRunning(task.team, task.need);
  running_.Add({.spec = std::move(task),
                .worker = worker,
                .state = running_state::running,
                .assigned_at = started,
                .checkpointed_at = started,
                .issued_at = now,
                .interference_class = started_class},
               workers_);
}

void scheduler::OnRefused(std::string_view task, core::result_code code, core::mono_time now) {
  if (const running_task* row = running_.Find(task); row != nullptr) {
    // After `no_capacity` the assignment still counts against the worker, so that the worker is not
    // chosen again at once. Confirming it lets the next capacity report drop it, since that report
    // is newer than the refusal.
    workers_.ConfirmAssignment(row->worker, row->assignment);
    if (row->makes_room) workers_.OnMakeRoomFailed(row->worker);
  }
  auto refused = Release(task, code != core::result_code::no_capacity, now);
  if (!refused) return;
  if (quarantine_ != nullptr) quarantine_->OnProbeNotRun(refused->worker);
  Resubmit(std::move(refused->spec));
}

void scheduler::OnStarted(std::string_view task, core::mono_time now) {
  running_task* row = running_.Find(task);
  if (row == nullptr) return;
  workers_.ConfirmAssignment(row->worker, row->assignment);
  if (row->state == running_state::assigned) running_.SetState(*row, running_state::running, now);
}

void scheduler::OnCheckpointed(std::string_view task, core::mono_time now) {
  if (running_task* row = running_.Find(task); row != nullptr) row->checkpointed_at = now;
}

std::optional<task_spec> scheduler::OnEnded(std::string_view task, core::mono_time now) {
  auto ended = Release(task, true, now);
  if (!ended) return std::nullopt;
  if (IsEnding(*ended)) ++ended->spec.evictions;
  return std::move(ended->spec);
}

void scheduler::Drop(std::string_view task, core::mono_time now) {
  CancelQueued(task);
  Release(task, false, now);
}

void scheduler::OnWorkerForgotten(worker_index worker) {
  reclaim_.ResetWorker(worker);
  if (quarantine_ != nullptr) quarantine_->ResetWorker(worker);
  std::vector<std::string> reserved;
  for (const auto& [task, row] : reservations_) {
    if (row.worker == worker) reserved.push_back(task);
  }
  for (const std::string& task : reserved) DropReservation(task);
}

std::vector<scheduler_action> scheduler::Tick(core::mono_time now) {
  actions out;
  if (first_tick_ == core::mono_time{}) first_tick_ = now;
  UpdateFleetTotal(now);
  ForgetLostCommands(now);
  AdvanceReservations(now, out);
  queue_placer placer(*this, now, out);
  counters_.over_quota += queue_.RunPass(placer, now).over_quota;
  RunPreemption(task_tier::urgent, options_.urgent_preempt_after, now, out);
  RunPreemption(task_tier::latency_critical, options_.preempt_after, now, out);
  ReserveForStarvingTask(now);
  RunReclaim(now, out);
  return out;
}

placement_explanation scheduler::Explain(const task_spec& task, core::mono_time now) {
  placement_explanation explanation;
  policy_->Choose(task, view(), now, random_, &explanation);
  return explanation;
}

placement_view scheduler::view() const {
  return {.workers = &workers_,
          .running = &running_,
          .interference = interference_,
          .quarantine_states = quarantine_ == nullptr ? std::span<const blame::quarantine_state>{}
                                                      : quarantine_->quarantine_states(),
          .headroom_percent = options_.headroom_percent,
          .borrow_headroom = options_.borrow_headroom,
          .tolerated_slowdown = ToleratedSlowdown(options_.scoring.weights),
          .no_borrowing = reclaim_.active()};
}

attempt_outcome scheduler::Place(const task_spec& task, core::mono_time now, actions& out) {
  const auto choice = policy_->Choose(task, view(), now, random_, nullptr);
  if (choice) {
    RecordAssignment(task, *choice, workers_.Assign(choice->worker, task.need), now, out);
    return attempt_outcome::placed;
  }
  ++counters_.blocked;
  const auto code = GiveUpCode(task, now);
  if (!code) return attempt_outcome::blocked;
  ++counters_.given_up;
  out.emplace_back(give_up_action{task.task, *code});
  DropReservation(task.task);
  return attempt_outcome::dropped;
}

std::optional<core::result_code> scheduler::GiveUpCode(const task_spec& task,
                                                       core::mono_time now) const {
  if (now - first_tick_ < options_.fleet_discovery_time) return std::nullopt;
  bool known = false;
  bool big_enough = false;
  for (worker_index worker = 0; worker < workers_.size(); ++worker) {
    // A worker that restarts is gone for a short time and still counts.
    if (!workers_.IsKnown(worker)) continue;
    known = true;
    if (!task.need.FitsIn(workers_.total()[worker])) continue;
    big_enough = true;
    const auto& failed_on = task.failed_on;
    if (std::find(failed_on.begin(), failed_on.end(), worker) == failed_on.end()) {
      return std::nullopt;
    }
  }
  if (!known) return std::nullopt;
  return big_enough ? core::result_code::failed_everywhere : core::result_code::never_fits;
}

void scheduler::RecordAssignment(task_spec task, const placement_choice& choice,
                                 membership::assignment_id assignment, core::mono_time now,
                                 actions& out) {
  DropReservation(task.task);
  ++counters_.placed;
  out.emplace_back(assign_action{task.task, choice.worker, choice.is_probe});
  if (choice.is_probe && quarantine_ != nullptr) quarantine_->OnProbeSent(choice.worker, now);
  const interference::class_id started_class =
      RecordClassStart(choice.worker, task.task_class, now);
  queue_.OnRunning(task.team, task.need);
  running_.Add({.spec = std::move(task),
                .worker = choice.worker,
                .assignment = assignment,
                .assigned_at = now,
                .checkpointed_at = now,
                .issued_at = now,
                .borrows_headroom = choice.borrows_headroom,
                .interference_class = started_class},
               workers_);
}

interference::class_id scheduler::RecordClassStart(worker_index worker, std::string_view task_class,
                                                   core::mono_time now) {
  if (interference_ == nullptr) return interference::kOtherClass;
  const interference::class_id id = interference_->FindOrAddClass(task_class, now);
  interference_->OnStarted(worker, id, now);
  return id;
}

void scheduler::AdvanceReservations(core::mono_time now, actions& out) {
  std::vector<std::string> tasks;
  tasks.reserve(reservations_.size());
  for (const auto& [task, row] : reservations_) tasks.push_back(task);
  for (const std::string& task : tasks) {
    const reservation row = reservations_.at(task);
    const task_spec* queued = queue_.Find(task);
    const bool expired =
        !row.for_starving_task && now - row.started > options_.preemption.plan_timeout;
    const bool usable = workers_.IsDispatchable(row.worker, now) &&
                        QuarantineStateOf(view(), row.worker) == blame::quarantine_state::trusted;
    if (queued == nullptr || expired || !usable) {
      DropReservation(task);
      continue;
    }
    if (!IsSatisfied(row) || !queue_.IsWithinQuota(queued->team, queued->need)) {
      AdvanceVictims(row, now, out);
      continue;
    }
    // The hold becomes the assignment. The reservation is erased first, so that `DropReservation`
    // in `RecordAssignment` does not release the hold.
    workers_.ConvertHold(row.worker, row.hold);
    starvation_reservations_ -= row.for_starving_task ? 1 : 0;
    reservations_.erase(task);
    RecordAssignment(*queue_.Remove(task), {.worker = row.worker}, row.hold, now, out);
  }
}

bool scheduler::IsSatisfied(const reservation& row) const {
  core::resources available = workers_.available()[row.worker];
  for (const auto& [task, other] : reservations_) {
    if (other.worker == row.worker && other.number > row.number) available += other.need;
  }
  return available.cpu_millis >= 0 && available.memory_mb >= 0 &&
         (row.need.accelerators == 0 || available.accelerators >= 0);
}

void scheduler::AdvanceVictims(const reservation& row, core::mono_time now, actions& out) {
  const preemption_options& rules = options_.preemption;
  for (const std::string& name : row.victims) {
    running_task* victim = running_.Find(name);
    if (victim == nullptr || victim->worker != row.worker) continue;
    const core::nanoseconds issued_for = now - victim->issued_at;
    if (victim->state == running_state::throttled && issued_for >= rules.throttle_timeout) {
      // The budget allowed the plan, for which the task has already waited. Only the step changed,
      // so the eviction may overdraw the budget.
      budget_.Take(now, true);
      IssueCommand(*victim, preemption_step::evict, now, out);
    } else if (victim->state == running_state::evicting && issued_for >= rules.evict_timeout) {
      IssueCommand(*victim, preemption_step::stop, now, out);
    }
  }
}

void scheduler::DropReservation(const std::string& task) {
  const auto entry = reservations_.find(task);
  if (entry == reservations_.end()) return;
  const reservation& row = entry->second;
  workers_.ReleaseHold(row.worker, row.hold);
  starvation_reservations_ -= row.for_starving_task ? 1 : 0;
  reservations_.erase(entry);
}

void scheduler::Reserve(const task_spec& task, worker_index worker, bool for_starving_task,
                        std::vector<std::string> victims, core::mono_time now) {
  starvation_reservations_ += for_starving_task ? 1 : 0;
  reservations_[task.task] = {.worker = worker,
                              .need = task.need,
                              .hold = workers_.Hold(worker, task.need),
                              .number = next_reservation_++,
                              .for_starving_task = for_starving_task,
                              .started = now,
                              .victims = std::move(victims)};
}

void scheduler::RunPreemption(task_tier tier, core::nanoseconds after, core::mono_time now,
                              actions& out) {
  if (queue_.size(tier) == 0) return;
  std::erase_if(plan_retry_times_, [now](const auto& entry) { return entry.second <= now; });
  const auto waiting = queue_.WaitingLongerThan(
      tier, after, options_.max_plans_per_tick, now, [this](const task_spec& task) {
        return reservations_.contains(task.task) || plan_retry_times_.contains(task.task) ||
               !queue_.IsWithinQuota(task.team, task.need);
      });
  for (const task_spec* task : waiting) StartPreemption(*task, now, out);
}

void scheduler::StartPreemption(const task_spec& task, core::mono_time now, actions& out) {
  // Reservations for starving batch tasks are dropped first; the next pass may place the task
  // there.
  if (starvation_reservations_ > 0) return DropStarvationReservations();
  const core::nanoseconds waited = now - task.submitted;
  const bool overdue = task.urgent && waited >= options_.preemption.urgent_override_after;
  const double budget = budget_.Available(now, overdue);
  const auto plan = PlanPreemption(task, waited, budget, view(), options_.preemption, now);
  if (!plan) {
    if (overdue && RequestAgentEvictions(task, budget, now, out)) return;
    plan_retry_times_[task.task] = now + kPlanRetryDelay;
    if (budget < 1) ++counters_.budget_denied;
    return;
  }
  ++counters_.preemptions;
  std::vector<std::string> victims;
  for (const victim& row : plan->victims) {
    victims.push_back(row.task);
    running_task& task_row = *running_.Find(row.task);
    if (row.step == preemption_step::evict) {
      budget_.Take(now, overdue);
    } else {
      // The throttle reaches the agent before the start that needs the capacity, so the capacity
      // counts as free now.
      const std::int64_t percent = options_.preemption.throttle_frees_percent;
      workers_.ReleaseAssignment(row.worker, 0,
                                 {task_row.spec.need.cpu_millis * percent / 100, 0, 0});
    }
    IssueCommand(task_row, row.step, now, out);
  }
  Reserve(task, plan->worker, false, std::move(victims), now);
}

// The agent chooses the victims, so the budget is charged with an estimate of their number.
bool scheduler::RequestAgentEvictions(const task_spec& task, double budget, core::mono_time now,
                                      actions& out) {
  const core::nanoseconds waited = now - task.submitted;
  const auto plan = PlanAgentEvictions(task, waited, budget, view(), options_.preemption, now);
  if (!plan) return false;
  ++counters_.agent_eviction_requests;
  for (std::uint32_t i = 0; i < plan->evictions; ++i) budget_.Take(now, true);
  const std::string name = task.task;
  const auto assignment = workers_.Assign(plan->worker, task.need);
  RecordAssignment(*queue_.Remove(name), {.worker = plan->worker}, assignment, now, out);
  running_.Find(name)->makes_room = true;
  return true;
}

void scheduler::ReserveForStarvingTask(core::mono_time now) {
  const std::size_t limit =
      fleet_size_ == 0 ? 0 : 1 + fleet_size_ / std::max(1U, options_.workers_per_starving_task);
  if (starvation_reservations_ >= limit || queue_.size(task_tier::batch) == 0) return;
  if (queue_.size() > queue_.size(task_tier::batch)) return;
  const auto waiting = queue_.WaitingLongerThan(
      task_tier::batch, options_.starvation_age, 1, now, [this](const task_spec& task) {
        return reservations_.contains(task.task) || !queue_.IsWithinQuota(task.team, task.need);
      });
  if (waiting.empty()) return;
  const task_spec& task = *waiting.front();
  task_spec task_without_need = task;
  task_without_need.need = {};
  std::optional<worker_index> best;
  for (worker_index worker = 0; worker < workers_.size(); ++worker) {
    if (!task.need.FitsIn(workers_.total()[worker])) continue;
    if (FilterWorker(task_without_need, view(), worker, true, now)) continue;
    const auto available = workers_.available();
    if (!best || available[worker].cpu_millis > available[*best].cpu_millis) best = worker;
  }
  if (!best) return;
  ++counters_.starvation_reservations;
  Reserve(task, *best, true, {}, now);
}

void scheduler::DropStarvationReservations() {
  std::vector<std::string> tasks;
  for (const auto& [task, row] : reservations_) {
    if (row.for_starving_task) tasks.push_back(task);
  }
  for (const std::string& task : tasks) DropReservation(task);
}

void scheduler::IssueCommand(running_task& task, preemption_step step, core::mono_time now,
                             actions& out) {
  control_kind kind = control_kind::throttle;
  running_state state = running_state::throttled;
  if (step == preemption_step::evict) {
    ++counters_.preempt_evictions;
    kind = control_kind::evict;
    state = running_state::evicting;
  } else if (step == preemption_step::stop) {
    ++counters_.preempt_stops;
    kind = control_kind::stop;
    state = running_state::stopping;
  }
  running_.SetState(task, state, now);
  if (IsEnding(task)) commands_.emplace_back(now, task.spec.task);
  out.emplace_back(control_action{task.spec.task, task.worker, kind});
}

void scheduler::ForgetLostCommands(core::mono_time now) {
  while (!commands_.empty() && now - commands_.front().first > kCommandLost) {
    const auto [issued_at, name] = std::move(commands_.front());
    commands_.pop_front();
    running_task* task = running_.Find(name);
    if (task == nullptr || !IsEnding(*task) || task->issued_at != issued_at) continue;
    ++counters_.lost_commands;
    running_.SetState(*task, running_state::running, now);
  }
}

void scheduler::RunReclaim(core::mono_time now, actions& out) {
  for (const reclaim_action& action : reclaim_.Tick(view(), running_, budget_, now)) {
    control_kind kind = control_kind::throttle;
    if (action.action == reclaim_action::kind::throttle) {
      ++counters_.reclaim_throttles;
    } else if (action.action == reclaim_action::kind::evict) {
      ++counters_.reclaim_evictions;
      kind = control_kind::evict;
      commands_.emplace_back(now, action.task);
    } else {
      kind = control_kind::unthrottle;
    }
    out.emplace_back(control_action{action.task, action.worker, kind});
  }
}

void scheduler::UpdateFleetTotal(core::mono_time now) {
  if (fleet_total_at_ != core::mono_time{} && now - fleet_total_at_ < kFleetTotalInterval) return;
  fleet_total_at_ = now;
  core::resources total;
  fleet_size_ = 0;
  for (worker_index worker = 0; worker < workers_.size(); ++worker) {
    if (!workers_.IsDispatchable(worker, now)) continue;
    total += workers_.total()[worker];
    ++fleet_size_;
  }
  queue_.SetFleetTotal(total);
}

std::optional<running_task> scheduler::Release(std::string_view task, bool release_capacity,
                                               core::mono_time now) {
  auto removed = running_.Remove(task);
  if (!removed) return std::nullopt;
  if (release_capacity) {
    workers_.ReleaseAssignment(removed->worker, removed->assignment, removed->spec.need);
  }
  queue_.OnStopped(removed->spec.team, removed->spec.need);
  if (interference_ != nullptr) {
    interference_->OnEnded(removed->worker, removed->interference_class, now);
  }
  return removed;
}

}  // namespace coltsfoot::placement
