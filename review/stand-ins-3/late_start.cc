#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "minion.h"

namespace coltsfoot::review {
namespace {

using platform::testing::observed_run;

constexpr int kWorkers = 6;
constexpr milliseconds kTaskTime{5000};
constexpr auto kFirstJob = "00000000000000aa";
constexpr auto kSecondJob = "00000000000000ab";
constexpr auto kTasks = R"({"spec":"x","steps":[{"count":36,"cpu":500,"memMb":100,"estMs":5000}]})";
// Late orders are carried out 2 to 12 s later.
constexpr milliseconds kOrderDelay{8000};
constexpr milliseconds kPlacingLimit{3000};
constexpr milliseconds kCutAfter{300};
constexpr milliseconds kCut{9000};
constexpr milliseconds kDowntime{600};

/// Records the tasks of which two runs ran at the same time.
/// @return the longest such time, in seconds.
double LongestOverlap(const std::vector<observed_run>& runs, record& log) {
  double longest = 0;
  const auto end = [](const observed_run& run) { return run.ended_at.value_or(steady::now()); };
  for (std::size_t first = 0; first < runs.size(); ++first) {
    for (std::size_t second = first + 1; second < runs.size(); ++second) {
      if (runs[first].task != runs[second].task) continue;
      const auto from = std::max(runs[first].started_at, runs[second].started_at);
      const auto until = std::min(end(runs[first]), end(runs[second]));
      const double overlap = std::chrono::duration<double>(until - from).count();
      if (overlap <= 0) continue;
      log.Write("task " + runs[first].task + " ran twice at the same time for " +
                std::to_string(overlap) + " s: run " + std::to_string(runs[first].run) + " at " +
                runs[first].target + ", run " + std::to_string(runs[second].run) + " at " +
                runs[second].target);
      longest = std::max(longest, overlap);
    }
  }
  return longest;
}

}  // namespace

int RunLateStart(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({.workers = kWorkers, .targets_silent = true}, log);
  std::vector<std::unique_ptr<minion>> minions;
  for (int index = 0; index < kWorkers; ++index) {
    minions.push_back(std::make_unique<minion>("i-" + std::to_string(index), kTaskTime));
    minions.back()->AnnounceTo(system.announcement(index));
  }
  minion& cut_off = *minions.front();
  if (!system.StartAll()) return kCouldNotRun;
  if (!system.Submit(kFirstJob, kTasks) ||
      !system.WaitForState(kFirstJob, "complete", seconds{30})) {
    return kCouldNotRun;
  }
  if (trouble) {
    log.Write("the next start at i-0 gets no answer and is carried out 8 s later");
    cut_off.DelayNextStart(kOrderDelay);
  }
  if (!system.Submit(kSecondJob, kTasks)) return kCouldNotRun;
  const auto placed_by = steady::now() + kPlacingLimit;
  while (trouble && cut_off.CountLate() == 0) {
    if (steady::now() > placed_by) return kCouldNotRun;
    std::this_thread::sleep_for(milliseconds{10});
  }
  std::this_thread::sleep_for(kCutAfter);
  if (trouble) {
    log.Write("i-0 is cut off, and starts again under its id behind the cut");
    cut_off.SetCut(true);
  }
  std::this_thread::sleep_for(kDowntime);
  if (trouble) cut_off.StartAgain();
  std::this_thread::sleep_for(kCut - kDowntime);
  if (trouble) {
    cut_off.SetCut(false);
    log.Write("the cut of i-0 heals");
  }
  const bool completed = system.WaitForState(kSecondJob, "complete", seconds{30});
  std::this_thread::sleep_for(seconds{3});
  std::vector<observed_run> runs;
  for (const auto& each : minions) {
    for (observed_run& run : each->Runs()) runs.push_back(std::move(run));
  }
  system.RecordRuns(runs);
  if (LongestOverlap(runs, log) > 0) return kBroken;
  return completed ? kHeld : kCouldNotRun;
}

}  // namespace coltsfoot::review
