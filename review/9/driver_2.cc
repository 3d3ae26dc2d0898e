#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>

#include "../stand-ins-2/fleet.h"

// Two machines lose power at the same moment: the entry that places the tasks, which is back after
// 1 s, and a side machine with its minion, which doesn't come back. Checks that the lasting tasks
// of that minion run again elsewhere.
namespace coltsfoot::review {
namespace {

constexpr auto kConfiguration =
    R"({"version":1,"routes":[{"name":"kiln","host":"h.example","prefix":"/kiln/",)"
    R"("service":"strawline","sloMs":2500,"priority":0,"attempts":2,"stretch":2.2}],)"
    R"("services":[{"name":"strawline","admissionCheck":false}],"limits":{}})";
constexpr auto kJob = "/kiln/8c02b7d915f4ea36";
constexpr std::size_t kTasks = 6;
constexpr auto kBody =
    R"({"spec":"lasting","steps":[{"count":6,"cpu":3200,"memMb":6400,"estMs":320,)"
    R"("longRunning":true}]})";
constexpr milliseconds kEntryDown{1000};
constexpr milliseconds kGone{600'000};
// The rule asks for the tasks from 6 s after their last run, for 3 s, with 4 s of calm before.
constexpr milliseconds kAfterLastRun{6000};
constexpr milliseconds kCalm{4000};
constexpr milliseconds kWindow{3000};
constexpr milliseconds kMore{10'000};

std::size_t CountRunning(minion& at) {
  const auto runs = at.Runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.how.empty(); }));
}

std::size_t CountRunning(fleet& all) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < all.minions(); ++index) count += CountRunning(all.At(index));
  return count;
}

int Play(const std::string& path) {
  record log(path);
  fleet all({.entries = 3,
             .minions = {{.name = "a", .service = "strawline"},
                         {.name = "b", .service = "strawline"},
                         {.name = "c", .service = "strawline"},
                         {.name = "d", .service = "strawline"}},
             .configuration = kConfiguration},
            log);
  std::this_thread::sleep_for(milliseconds{8000});
  if (all.Call(0, "POST", kJob, kBody).status != 200) return 2;
  std::this_thread::sleep_for(milliseconds{4000});
  if (CountRunning(all) != kTasks) return 2;
  std::size_t victim = 0;
  for (std::size_t index = 0; index < all.minions(); ++index) {
    if (CountRunning(all.At(index)) > CountRunning(all.At(victim))) victim = index;
  }
  const auto leader = all.Leader();
  if (!leader) return 2;
  log.Add(fmt::format("all {} tasks run, {} of them on minion {}; edge-{} places tasks", kTasks,
                      CountRunning(all.At(victim)), all.At(victim).name(), *leader));
  const auto lost_at = steady::now();
  // With ONLY=side, the entry keeps its power.
  const bool entry_lost = HasTrouble() && std::getenv("ONLY") == nullptr;
  if (entry_lost) {
    all.KillEntry(*leader);
    log.Add(fmt::format("edge-{} loses power", *leader));
  }
  if (HasTrouble()) {
    all.KillRunner(victim);
    all.At(victim).Crash(kGone);
    log.Add(fmt::format("the side machine with minion {} loses power", all.At(victim).name()));
  }
  std::this_thread::sleep_until(lost_at + kEntryDown);
  if (entry_lost) {
    all.StartEntry(*leader);
    log.Add(fmt::format("edge-{} starts again", *leader));
  }
  const auto window_at = lost_at + std::max(kAfterLastRun, kEntryDown + kCalm);
  std::this_thread::sleep_until(window_at + kWindow);
  std::map<std::string, bool> running;
  for (const seen_run& run : all.Runs()) {
    const bool began = run.started_at <= window_at + kWindow;
    running[run.task] =
        running[run.task] || (began && (!run.ended_at || *run.ended_at > window_at));
  }
  std::size_t missing = 0;
  for (const auto& [task, seen] : running) {
    if (seen) continue;
    ++missing;
    log.Add(fmt::format("{} did not run between {} and {} ms", task, log.Ms(window_at),
                        log.Ms(window_at + kWindow)));
  }
  for (std::size_t index = 0; index < all.minions(); ++index) {
    log.Add(
        fmt::format("minion {} runs {} tasks", all.At(index).name(), CountRunning(all.At(index))));
  }
  std::this_thread::sleep_for(kMore);
  RecordRuns(all, log);
  log.Add(missing == 0 ? "the rule held" : "the rule was broken");
  return missing == 0 ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  return coltsfoot::review::Play(argc > 1 ? argv[1] : "record.txt");
}
