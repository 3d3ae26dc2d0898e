// The open connections between agents and minions go silent. An agent has as many idle ones as it
// once made calls at the same time, and each costs it the timeout of a poll before it opens a new
// one; meanwhile the lease lapses and the minion stays out of use.
#include <algorithm>
#include <string>
#include <vector>

#include "../support/stand_ins.h"

namespace coltsfoot::review {
namespace {

// Bounds of RULES.md, LOST: a task that lasts counts as missing from 6 s after its last run, if it
// does not run for 3 s that are calm, as the 4 s before them.
constexpr std::int64_t kRestartMs = 6000;
constexpr std::int64_t kIdleMs = 3000;
constexpr std::int64_t kCalmMs = 4000;
constexpr std::int64_t kFillMs = 16'000;
constexpr std::int64_t kSilenceMs = 26'000;  ///< after the filling tasks were accepted
constexpr std::int64_t kObservedMs = 25'000;
constexpr const char* kLasting = "00000000000000a0";
constexpr const char* kFilling = "00000000000000f0";

int Main(int argc, char** argv) {
  SetTimeLimit(110);
  const std::string folder = argc > 1 ? argv[1] : ".";
  record log(folder + "/record.txt");
  store platform;
  platform.Put("op/config", Configuration());
  std::vector<std::unique_ptr<minion>> minions;
  std::vector<minion*> views;
  for (const char* name : {"a", "b", "c", "d"}) {
    minions.push_back(std::make_unique<minion>(log, name, 16'000, 62'500));
    minions.back()->LinkAgent();
    views.push_back(minions.back().get());
  }
  std::int64_t silent_at = 0;
  std::int64_t until = 0;
  {
    fleet programs(log, platform, views, 3);
    if (!programs.Ready()) return 2;
    Sleep(4000);
    // One lasting task on each worker, and twelve tasks on each that fill, as the planner spreads
    // them.
    if (!programs.Submit(kLasting,
                         R"({"spec":"lasting","steps":[{"count":4,"cpu":3200,"memMb":6400,)"
                         R"("longRunning":true,"maxPerServer":1,"goalMs":60,"image":"x"}]})")) {
      return 2;
    }
    Sleep(4000);
    if (!programs.Submit(kFilling, R"({"spec":"fill ms=)" + std::to_string(kFillMs) +
                                       R"(","steps":[{"count":48,"cpu":1000,"memMb":500,)"
                                       R"("estMs":16000,"fills":true,"checkpoint":true,)"
                                       R"("image":"y"}]})")) {
      return 2;
    }
    Sleep(kSilenceMs);
    silent_at = log.Now();
    if (WithTrouble()) {
      for (const auto& each : minions) {
        log.Add("silent: " + std::to_string(each->link().SilenceOpen()) +
                " connections between side-" + each->name() + " and minion " + each->name());
      }
    }
    Sleep(kObservedMs);
    until = log.Now();
  }
  std::vector<std::vector<seen_run>> tasks(4);
  for (const auto& each : minions) {
    for (const seen_run& run : each->Runs()) {
      if (run.task.starts_with(kLasting) && run.started_ms <= until) {
        tasks.at(static_cast<std::size_t>(run.task.back() - '0')).push_back(run);
      }
    }
  }
  int code = 0;
  for (std::vector<seen_run>& runs : tasks) {
    if (runs.empty()) return 2;
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
      return left.started_ms < right.started_ms;
    });
    for (std::size_t index = 0; index < runs.size(); ++index) {
      const std::int64_t ended = runs[index].ended_ms;
      if (ended < 0 || ended > until) continue;
      const std::int64_t next = index + 1 < runs.size() ? runs[index + 1].started_ms : until;
      const std::int64_t missing_from = std::max(ended + kRestartMs, silent_at + kCalmMs);
      const bool lost = next - missing_from >= kIdleMs;
      log.Add((lost ? "BROKEN: LOST: " : "") + runs[index].task + " did not run from " +
              std::to_string(ended) + " to " + std::to_string(next) + " ms; its run ended as " +
              runs[index].reason + "; calm since " + std::to_string(silent_at) + " ms");
      if (lost) code = 1;
    }
  }
  if (code == 0) log.Add("the rule held");
  return code;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) { return coltsfoot::review::Main(argc, argv); }
