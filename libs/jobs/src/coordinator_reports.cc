#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "jobs/coordinator.h"

// Part of the coordinator that handles the reports of agents.
namespace coltsfoot::jobs {
namespace {

constexpr core::milliseconds kReadingInterval{300};
// A task that has run for this long is no suspect any more.
constexpr core::milliseconds kCrashEvidenceLifetime{10'000};
// Must stay far below `coordinator_options::task_lease`.
constexpr core::milliseconds kGrantInterval{300};
// Longer than an agent keeps a late start and the run that it may begin unseen.
constexpr core::milliseconds kMaxLateStartTime{26'000};
// Progress in percent from which a long-running task serves requests.
constexpr std::uint32_t kServingProgress = 100;
// Change of a pressure's upper bound from which it is sent to the agent again.
constexpr double kPressureChange = 0.04;

bool Contains(const std::vector<run_id>& runs, const run_id& run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

/// @return the pressure plus its standard deviation. Agents plan paces with values up to this one.
double UpperBound(const pressure& known) { return known.mean + std::sqrt(known.variance); }

}  // namespace

void coordinator::OnReport(const worker_report& report) {
  if (!active()) return;
  if (report.term > term_) {
    spdlog::warn("event=deposed term={} by=report agent={} newer_term={}", term_, report.agent,
                 report.term);
    authority_.OnDeposed();
    return;
  }
  worker_row& worker = WorkerOf(report.agent);
  worker.last_report_at = time_.Now();
  worker.last_report_sent_ms = report.sent_ms;
  worker.reported_on_connection = true;
  if (!std::exchange(worker.reported, true) && !worker.absent) {
    // The agent has seen this term, so no earlier coordinator can extend its lease any more.
    worker.lease_bound = LeaseBound(time_.Now());
  }
  worker.resend_commands =
      worker.resend_commands || worker.agent_incarnation != report.agent_incarnation;
  worker.agent_incarnation = report.agent_incarnation;
  // Before the runs of an incarnation that has ended are dropped: the report says more of them.
  if (report.listed) {
    ApplyCrash(worker, report.crashed);
    DropRefused(worker, report);
  }
  LearnLateStarts(worker, report);
  ChangeIncarnation(worker, report);
  if (report.listed && worker.incarnation == report.incarnation) {
    ApplyEnds(worker, report);
    if (report.state != target_state::gone) Reconcile(worker, report);
    // Further ends follow once the coordinator has confirmed those in the list.
    if (report.ends_omitted && !worker.listed) {
      spdlog::info("event=worker_list_incomplete agent={} target={} ended={}", worker.agent,
                   worker.incarnation.name, report.ended.size());
    } else if (!std::exchange(worker.listed, true)) {
      spdlog::info("event=worker_listed agent={} target={} running={} ended={}", worker.agent,
                   worker.incarnation.name, report.running.size(), report.ended.size());
    }
    if (std::exchange(worker.resend_commands, false)) ResendCommands(worker);
  }
  GrantLease(worker, report);
}

void coordinator::ChangeIncarnation(worker_row& worker, const worker_report& report) {
  worker.state = report.state;
  if (report.incarnation.name.empty()) return;
  worker.service = report.service;
  worker.zone = report.zone;
  worker.labels = report.labels;
  worker.capacity = report.capacity;
  if (worker.incarnation != report.incarnation) {
    if (!worker.incarnation.name.empty()) {
      isolation_.RecordCrash(worker, time_.Now());
      spdlog::info("event=target_restarted agent={} target={} before={}", worker.agent,
                   report.incarnation.name, worker.incarnation.name);
    }
    RemoveLostCopies(worker.agent, "target_restarted", report.incarnation);
    worker.incarnation = report.incarnation;
    worker.listed = false;
    worker.processed_end = 0;
    worker.stored_end = 0;
    worker.unstored.clear();
    // The agent has dropped the pressures with the earlier incarnation.
    worker.sent_pressures.clear();
    worker.recent_failures = 0;
    worker.quarantined_until = {};
    worker.quarantine_duration = core::milliseconds{0};
  }
  if (report.state == target_state::gone) DropLostRuns(worker, "target_gone");
}

void coordinator::LearnLateStarts(worker_row& worker, const worker_report& report) {
  if (report.listed && report.state != target_state::gone) {
    worker.late_starts.clear();
  } else if (report.listed || !report.starting.empty()) {
    if (worker.late_starts.empty() && !report.starting.empty()) {
      worker.late_starts_until = time_.Now() + kMaxLateStartTime;
      spdlog::info("event=late_starts_kept agent={} starts={}", worker.agent,
                   report.starting.size());
    }
    worker.late_starts = report.starting;
  }
}

void coordinator::DropLostRuns(worker_row& worker, std::string_view reason) {
  if (time_.Now() >= worker.late_starts_until) worker.late_starts.clear();
  std::erase_if(worker.late_starts, [this](const run_id& start) {
    const auto ref = jobs_.FindTask(start.task);
    return !ref || IsEnded(ref->job->state) || ref->task->progress.done;
  });
  std::vector<std::pair<task_ref, std::uint32_t>> lost;
  jobs_.VisitCopies(
      worker.agent, [&](const task_ref& ref, const task_id& id, const task_copy& copy) {
        const bool stays = !copy.running && Contains(worker.late_starts, {id, copy.run});
        if (!stays) lost.emplace_back(ref, copy.run);
      });
  RemoveCopies(worker.agent, reason, lost);
  for (const run_id& start : worker.late_starts) AdoptStarting(worker, start);
  // A successor has to ask the agent for late starts, which it doesn't if the worker is absent.
  if (worker.late_starts.empty() && !worker.absent) MarkAbsent(worker);
}

void coordinator::MarkAbsent(worker_row& worker) {
  worker.absent = true;
  absences_.Add(worker.agent);
}

void coordinator::ApplyEnds(worker_row& worker, const worker_report& report) {
  for (const ended_run& end : report.ended) {
    if (end.number <= worker.processed_end) continue;
    ApplyEnd(worker, end);
    worker.processed_end = end.number;
    const job_row* job = jobs_.Find(end.task.job);
    worker.unstored.push_back({end.number, end.task.job, job == nullptr ? 0 : job->changes});
  }
}

void coordinator::ApplyEnd(worker_row& worker, const ended_run& end) {
  metrics_.GetCounter("coltsfoot_task_ends_total", {"reason", ToString(end.reason)}).Add();
  const auto ref = jobs_.FindTask(end.task);
  if (!ref) {
    spdlog::info("event=end_of_unknown_task task={} run={} agent={}", ToString(end.task), end.run,
                 worker.agent);
    return;
  }
  ref->job->begun = true;
  const auto copy = jobs_.RemoveCopy(*ref, worker.agent, end.run);
  const std::int64_t ran_ms = copy ? core::ToMs(time_.Now() - copy->issued_at) : -1;
  const std::int64_t wall_ms = time_.WallNow().time_since_epoch().count();
  ref->task->progress.last_run = std::max(ref->task->progress.last_run, end.run);
  if (!end.checkpoint.empty() && !ref->task->progress.done) {
    ref->task->progress.checkpoint = end.checkpoint;
    // The target drops the checkpoint once the end is confirmed. An ended job stores none.
    if (!IsEnded(ref->job->state)) jobs_.MarkDirty(*ref->job);
  }
  if (end.reason == end_reason::done && !ref->job->Spec(ref->step).long_running) {
    jobs_.ClearCrashes(*ref);
    jobs_.MarkDone(*ref, wall_ms);
    worker.recent_failures = 0;
    worker.quarantine_duration = core::milliseconds{0};
  } else if (end.reason == end_reason::failed) {
    jobs_.ClearCrashes(*ref);
    ref->task->failed_on = worker.agent;
    jobs_.MarkFailed(*ref, end.run, wall_ms);
    CountFailure(worker, end);
  }
  if (end.reason != end_reason::done) {
    spdlog::info("event=run_ended task={} run={} reason={} agent={} ran_ms={} failures={}",
                 ToString(end.task), end.run, ToString(end.reason), worker.agent, ran_ms,
                 ref->task->progress.failed_runs.size());
  }
  if (IsEnded(ref->job->state) && ref->job->stored_state != ref->job->state) {
    spdlog::info("event=job_ended job={} state={} age_ms={}", ref->job->id,
                 ToString(ref->job->state), core::ToMs(time_.Now() - ref->job->accepted_at));
  }
}

void coordinator::CountFailure(worker_row& worker, const ended_run& end) {
  if (worker.last_failed_job == end.task.job) return;
  worker.last_failed_job = end.task.job;
  if (++worker.recent_failures < options_.failures_to_quarantine) return;
  Quarantine(worker, "tasks_failed");
}

void coordinator::Quarantine(worker_row& worker, std::string_view reason) {
  const core::mono_time now = time_.Now();
  if (worker.quarantined_until > now) return;
  std::size_t quarantined = 0;
  for (const auto& [agent, other] : workers_) quarantined += other.quarantined_until > now ? 1 : 0;
  // At most a third of the workers, so that jobs that fail on every worker do not quarantine the
  // whole fleet.
  if (3 * (quarantined + 1) > workers_.size()) return;
  worker.quarantine_duration =
      worker.quarantine_duration.count() == 0
          ? options_.initial_quarantine
          : std::min(2 * worker.quarantine_duration, options_.max_quarantine);
  worker.quarantined_until = now + worker.quarantine_duration;
  worker.recent_failures = options_.failures_to_quarantine - 1;
  metrics_.GetCounter("coltsfoot_workers_avoided_total", {"reason", reason}).Add();
  spdlog::warn("event=worker_avoided agent={} for_ms={} reason={}", worker.agent,
               worker.quarantine_duration.count(), reason);
}

void coordinator::Reconcile(worker_row& worker, const worker_report& report) {
  worker.unknown_runs = 0;
  jobs_.MarkAgentChanged(worker.agent);
  for (const running_task& listed : report.running) AdoptRunning(worker, listed);
  LearnPressures(worker, report);
  for (const run_id& listed : report.starting) AdoptStarting(worker, listed);
  DropMissing(worker, report);
}

void coordinator::LearnPressures(worker_row& worker, const worker_report& report) {
  const core::mono_time now = time_.Now();
  // A reading covers half a second; further reports in that time repeat it.
  if (now - worker.observed_at < kReadingInterval) return;
  worker.observed_at = now;
  std::map<std::string, double> cores;
  for (const running_task& listed : report.running) {
    const auto ref = jobs_.FindTask(listed.task);
    if (!ref || !ref->job->Spec(ref->step).fills) continue;
    cores[ref->job->Spec(ref->step).image] += listed.reading / 1000.0;
  }
  std::vector<filling_use> co_located;
  co_located.reserve(cores.size());
  for (const auto& [image, used] : cores) co_located.push_back({image, used});
  for (const running_task& listed : report.running) {
    const auto ref = jobs_.FindTask(listed.task);
    if (!ref || listed.progress < kServingProgress) continue;
    const step_spec& step = ref->job->Spec(ref->step);
    if (step.goal_ms == 0) continue;
    headroom_model_.Observe({.group = GroupOf(listed.task.job, listed.task.step),
                             .image = step.image,
                             .tail_ms = listed.reading,
                             .goal_ms = step.goal_ms},
                            co_located, now);
  }
}

std::vector<pair_pressure> coordinator::ChangedPressures(worker_row& worker) const {
  std::vector<pair_pressure> changed;
  for (const auto& [group, victim] : worker.serving_groups) {
    for (const auto& [image, cores] : worker.filling_cores) {
      if (!headroom_model_.HasEstimate(victim, image)) continue;
      const pressure known = headroom_model_.PressureOf(victim, image);
      const auto [sent, added] = worker.sent_pressures.try_emplace({victim, image}, known);
      if (!added && std::abs(UpperBound(sent->second) - UpperBound(known)) < kPressureChange) {
        continue;
      }
      sent->second = known;
      changed.push_back(
          {victim, image, static_cast<float>(known.mean), static_cast<float>(known.variance)});
    }
  }
  return changed;
}

void coordinator::AdoptRunning(worker_row& worker, const running_task& listed) {
  const auto ref = jobs_.FindTask(listed.task);
  if (!ref) {
    ++worker.unknown_runs;
    CommandsFor(worker).stops.push_back({listed.task, listed.run});
    return;
  }
  AdoptRun(worker, *ref, {listed.task, listed.run}, true);
  for (task_copy& copy : ref->task->copies) {
    if (copy.agent != worker.agent || copy.run != listed.run) continue;
    if (copy.progress != listed.progress) copy.progress_changed_at = time_.Now();
    copy.progress = listed.progress;
    if (time_.Now() - copy.issued_at >= kCrashEvidenceLifetime) jobs_.ClearCrashes(*ref);
    copy.pace = listed.pace;
    if (listed.pace >= options_.planner.min_pace) {
      copy.slowed_since = {};
    } else if (copy.slowed_since == core::mono_time{}) {
      copy.slowed_since = time_.Now();
    }
  }
  if (!listed.checkpoint.empty() && !ref->task->progress.done) {
    ref->task->progress.checkpoint = listed.checkpoint;
  }
}

void coordinator::AdoptStarting(worker_row& worker, const run_id& listed) {
  const auto ref = jobs_.FindTask(listed.task);
  if (ref) {
    AdoptRun(worker, *ref, listed, false);
  } else {
    ++worker.unknown_runs;
    CommandsFor(worker).stops.push_back(listed);
  }
}

void coordinator::AdoptRun(worker_row& worker, const task_ref& ref, const run_id& run,
                           bool running) {
  ref.job->begun = ref.job->begun || running;
  for (task_copy& copy : ref.task->copies) {
    if (copy.agent != worker.agent || copy.run != run.run) continue;
    if (running && !copy.running) copy.progress_changed_at = time_.Now();
    copy.running = copy.running || running;
    return;
  }
  jobs_.AddCopy(ref, {.agent = worker.agent,
                      .incarnation = worker.incarnation,
                      .run = run.run,
                      .issued_at = time_.Now(),
                      .running = running,
                      .progress_changed_at = time_.Now()});
  CommandsFor(worker).facts.push_back(FactsOf(run, ref.job->Spec(ref.step)));
}

void coordinator::DropRefused(worker_row& worker, const worker_report& report) {
  for (const refused_run& refused : report.refused) {
    metrics_.GetCounter("coltsfoot_starts_refused_total", {"reason", ToString(refused.reason)})
        .Add();
    spdlog::info("event=start_refused task={} run={} agent={} reason={}",
                 ToString(refused.run.task), refused.run.run, worker.agent,
                 ToString(refused.reason));
    const auto ref = jobs_.FindTask(refused.run.task);
    if (ref) jobs_.RemoveCopy(*ref, worker.agent, refused.run.run);
    if (refused.reason == start_refusal::unhealthy) {
      worker.quarantined_until = time_.Now() + options_.initial_quarantine;
    }
  }
}

void coordinator::ApplyCrash(const worker_row& worker, const std::vector<crashed_run>& crashed) {
  std::vector<crashed_run> runs;
  std::vector<task_ref> tasks;
  std::vector<crash_evidence> evidence;
  for (const crashed_run& each : crashed) {
    const auto ref = jobs_.FindTask(each.run.task);
    if (!ref) continue;
    jobs_.RemoveCopy(*ref, worker.agent, each.run.run);
    runs.push_back(each);
    tasks.push_back(*ref);
    evidence.push_back(ref->task->crashes);
  }
  if (runs.empty()) return;
  metrics_.GetCounter("coltsfoot_runs_lost_total", {"reason", "target_crashed"}).Add(runs.size());
  const std::vector<crash_evidence> after = JudgeCrash(runs, evidence);
  const auto is_suspected = [&](std::size_t index) {
    return after[index].crashes > evidence[index].crashes;
  };
  std::size_t suspects = 0;
  for (std::size_t index = 0; index < runs.size(); ++index) suspects += is_suspected(index) ? 1 : 0;
  spdlog::warn("event=runs_lost agent={} runs={} reason=target_crashed suspects={}", worker.agent,
               runs.size(), suspects);
  if (suspects > 0) {
    metrics_
        .GetCounter("coltsfoot_target_crashes_total", {"suspects", suspects == 1 ? "one" : "many"})
        .Add();
  }
  const std::int64_t wall_ms = time_.WallNow().time_since_epoch().count();
  for (std::size_t index = 0; index < runs.size(); ++index) {
    const job_row& job = *tasks[index].job;
    const bool was_failed = job.state == job_state::failed;
    jobs_.MarkCrashed(tasks[index], after[index],
                      isolation_.CrashesAloneOfCulprit(workers_.size(), time_.Now(),
                                                       core::milliseconds{after[index].longest_ms}),
                      wall_ms);
    if (!is_suspected(index)) continue;
    spdlog::warn(
        "event=task_suspected task={} run={} agent={} age_ms={} suspects={} losses={} crashes={} "
        "alone={}",
        ToString(runs[index].run.task), runs[index].run.run, worker.agent, runs[index].age_ms,
        suspects, after[index].losses, after[index].crashes, after[index].alone);
    if (was_failed || job.state != job_state::failed) continue;
    spdlog::info("event=job_ended job={} state=failed reason=target_crashes age_ms={}", job.id,
                 core::ToMs(time_.Now() - job.accepted_at));
  }
}

void coordinator::DropMissing(worker_row& worker, const worker_report& report) {
  // A missing run may be one whose end the target does not list yet.
  if (report.ends_omitted) return;
  std::vector<run_id> present = report.starting;
  for (const running_task& listed : report.running) present.push_back({listed.task, listed.run});
  struct missing_copy {
    task_ref ref;
    run_id run;
    bool was_running = false;
  };
  std::vector<missing_copy> missing;
  jobs_.VisitCopies(
      worker.agent, [&](const task_ref& ref, const task_id& id, const task_copy& copy) {
        // Before commands are sent again on a new connection, `copy.command` has the
        // numbering of an earlier one.
        const bool seen =
            copy.running || (!worker.resend_commands && copy.command <= report.commands_seen);
        if (!seen || Contains(present, {id, copy.run})) return;
        missing.push_back({ref, {id, copy.run}, copy.running});
      });
  for (const auto& [ref, run, was_running] : missing) {
    metrics_
        .GetCounter("coltsfoot_runs_missing_total", {"listed_before", was_running ? "yes" : "no"})
        .Add();
    spdlog::info(
        "event=run_missing task={} run={} agent={} listed_before={} commands_seen={} "
        "reconnected={}",
        ToString(run.task), run.run, worker.agent, was_running, report.commands_seen,
        worker.resend_commands);
    jobs_.RemoveCopy(ref, worker.agent, run.run);
  }
}

void coordinator::ResendCommands(worker_row& worker) {
  std::vector<start_command> starts;
  std::vector<task_facts> facts;
  worker_commands& commands = CommandsFor(worker);
  jobs_.VisitCopies(worker.agent, [&](const task_ref& ref, const task_id& id, task_copy& copy) {
    const run_id run{id, copy.run};
    copy.stopping = false;
    if (copy.running) {
      facts.push_back(FactsOf(run, ref.job->Spec(ref.step)));
    } else {
      starts.push_back(MakeStart(*ref.job, run, *ref.task, worker));
      starts.back().repeated = true;
      copy.command = commands.sequence;
    }
  });
  commands.facts = std::move(facts);
  commands.starts.insert(commands.starts.end(), starts.begin(), starts.end());
}

void coordinator::RemoveLostCopies(const std::string& agent, std::string_view reason,
                                   const target_incarnation& keep) {
  std::vector<std::pair<task_ref, std::uint32_t>> lost;
  jobs_.VisitCopies(agent, [&](const task_ref& ref, const task_id&, const task_copy& copy) {
    if (copy.incarnation != keep) lost.emplace_back(ref, copy.run);
  });
  RemoveCopies(agent, reason, lost);
}

void coordinator::RemoveCopies(const std::string& agent, std::string_view reason,
                               const std::vector<std::pair<task_ref, std::uint32_t>>& lost) {
  for (const auto& [ref, run] : lost) jobs_.RemoveCopy(ref, agent, run);
  if (lost.empty()) return;
  metrics_.GetCounter("coltsfoot_runs_lost_total", {"reason", reason}).Add(lost.size());
  spdlog::warn("event=runs_lost agent={} runs={} reason={}", agent, lost.size(), reason);
}

void coordinator::GrantLease(worker_row& worker, const worker_report& report) {
  if (!authority_.MayExtend()) return;
  if (report.state == target_state::gone) return;
  if (worker.absent || !absences_.MayGrant(worker.agent)) {
    absences_.Remove(worker.agent);
    worker.absent = !absences_.MayGrant(worker.agent);
    if (worker.absent) return;
    spdlog::info("event=worker_present agent={} target={}", worker.agent, report.incarnation.name);
  }
  const core::mono_time now = time_.Now();
  std::vector<pair_pressure> pressures = ChangedPressures(worker);
  const bool same = worker.granted_incarnation == report.incarnation &&
                    worker.granted_end == worker.stored_end && pressures.empty();
  // Agents report each change, far more often than their lease must be extended.
  if (same && now - worker.granted_at < kGrantInterval) return;
  worker.granted_at = now;
  worker.granted_incarnation = report.incarnation;
  worker.granted_end = worker.stored_end;
  // An agent that does not know its target yet extends no lease, so the target's runs expire.
  if (!report.incarnation.name.empty()) {
    worker.lease_bound = std::max(worker.lease_bound, LeaseBound(now));
  }
  agents_.Send(worker.agent, lease_grant{.term = term_,
                                         .echo_ms = report.sent_ms,
                                         .incarnation = report.incarnation,
                                         .stored_end = worker.stored_end,
                                         .pressures = std::move(pressures)});
}

}  // namespace coltsfoot::jobs
