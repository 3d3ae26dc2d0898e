#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "minion.h"

namespace coltsfoot::review {
namespace {

using platform::testing::observed_run;

constexpr int kWorkers = 2;
// `cpu` of the capacity of both minions.
constexpr std::size_t kTotalCpu = 8000;
constexpr milliseconds kTaskTime{400};
constexpr std::size_t kIdDigits = 16;
constexpr auto kLastingJob = "00000000000000aa";
constexpr std::size_t kLastingTasks = 600;
constexpr int kLastingCpu = 5;
constexpr auto kLasting =
    R"({"spec":"lasting","steps":[{"count":600,"cpu":5,"memMb":5,"longRunning":true,)"
    R"("checkpoint":true,"maxPerServer":300}]})";
constexpr std::size_t kLargeSaved = 2000;
constexpr std::size_t kSmallSaved = 16;
constexpr int kOtherJobs = 40;
constexpr int kOtherCpu = 40;
constexpr auto kOther = R"({"spec":"x","steps":[{"count":40,"cpu":40,"memMb":10,"estMs":400},)"
                        R"({"count":1,"cpu":40,"memMb":10,"estMs":400,"after":[0]}]})";
constexpr milliseconds kOtherPause{500};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};
// Of the rule.
constexpr seconds kIdleBound{3};

std::string OtherJob(int number) {
  char id[kIdDigits + 1];
  std::snprintf(id, sizeof(id), "0d%014x", number);
  return id;
}

std::vector<observed_run> RunsAt(const std::vector<std::unique_ptr<minion>>& minions) {
  std::vector<observed_run> runs;
  for (const auto& each : minions) {
    for (observed_run& run : each->Runs()) runs.push_back(std::move(run));
  }
  return runs;
}

std::size_t CountRunning(const std::vector<observed_run>& runs, std::string_view job) {
  return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const auto& run) {
    return run.task.starts_with(job) && !run.ended_at;
  }));
}

/// What the minions have seen of a job.
struct job_runs {
  int running = 0;
  bool second_step_begun = false;
  steady::time_point last_end;
};

/// @return the number of the other jobs that have had nothing running for as long as the rule
/// allows, and whose second step has not begun.
int CountStalled(const std::vector<observed_run>& runs) {
  std::map<std::string, job_runs> jobs;
  for (const observed_run& run : runs) {
    job_runs& job = jobs[run.task.substr(0, kIdDigits)];
    if (run.task.substr(kIdDigits).starts_with(".0.1.")) job.second_step_begun = true;
    if (run.ended_at) {
      job.last_end = std::max(job.last_end, *run.ended_at);
    } else {
      ++job.running;
    }
  }
  int stalled = 0;
  for (int number = 0; number < kOtherJobs; ++number) {
    const job_runs& job = jobs[OtherJob(number)];
    const bool idle = job.running == 0 && steady::now() - job.last_end > kIdleBound;
    if (idle && !job.second_step_begun) ++stalled;
  }
  return stalled;
}

}  // namespace

int RunLargeProgress(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  const std::size_t saved_bytes = trouble ? kLargeSaved : kSmallSaved;
  fleet system({.workers = kWorkers, .targets_silent = true}, log);
  std::vector<std::unique_ptr<minion>> minions;
  for (int index = 0; index < kWorkers; ++index) {
    minions.push_back(
        std::make_unique<minion>("i-" + std::to_string(index), kTaskTime, saved_bytes));
    minions.back()->AnnounceTo(system.announcement(index));
  }
  if (!system.StartAll() || !system.Submit(kLastingJob, kLasting)) return kCouldNotRun;
  const auto until = steady::now() + seconds{20};
  while (CountRunning(RunsAt(minions), kLastingJob) < kLastingTasks) {
    if (steady::now() > until) return kCouldNotRun;
    std::this_thread::sleep_for(milliseconds{100});
  }
  std::this_thread::sleep_for(seconds{3});
  log.Write("a task of the lasting job fails at each worker; each of its tasks has saved " +
            std::to_string(saved_bytes) + " bytes");
  for (const auto& each : minions) {
    if (!each->FailLastingTask()) return kCouldNotRun;
  }
  std::this_thread::sleep_for(seconds{1});
  for (int number = 0; number < kOtherJobs; ++number) {
    if (!system.Submit(OtherJob(number), kOther)) return kCouldNotRun;
    std::this_thread::sleep_for(kOtherPause);
  }
  std::this_thread::sleep_for(kRecovery + seconds{18});
  int complete = 0;
  for (int number = 0; number < kOtherJobs; ++number) {
    complete += system.StateOf(OtherJob(number), 0) == "complete" ? 1 : 0;
  }
  const auto runs = RunsAt(minions);
  const std::size_t lasting = CountRunning(runs, kLastingJob);
  const std::size_t others = CountRunning(runs, "0d");
  const std::size_t used = lasting * kLastingCpu + others * kOtherCpu;
  const int stalled = CountStalled(runs);
  system.RecordRuns(runs);
  log.Write("jobs that are shown as complete: " + std::to_string(complete) + " of " +
            std::to_string(kOtherJobs) +
            "; jobs of which nothing runs and whose second step has not begun: " +
            std::to_string(stalled) + "; lasting tasks that run: " + std::to_string(lasting) +
            "; capacity in use: " + std::to_string(used) + " of " + std::to_string(kTotalCpu));
  if (stalled > 0 && 2 * used < kTotalCpu) return kBroken;
  return complete == kOtherJobs ? kHeld : kCouldNotRun;
}

}  // namespace coltsfoot::review
