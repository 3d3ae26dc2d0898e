#include <fmt/format.h>

#include <iostream>
#include <map>
#include <string>
#include <thread>

#include "../stand-ins-2/fleet.h"

// A minion crashes once, just after it has begun a task that lasts, and is back 5.4 s later. The
// other minions have no room for the task. Checks that the task runs again.
namespace coltsfoot::review {
namespace {

constexpr auto kConfiguration =
    R"({"version":1,"routes":[{"name":"kiln","host":"h.example","prefix":"/kiln/",)"
    R"("service":"strawline","sloMs":2500,"priority":0,"attempts":2,"stretch":2.2}],)"
    R"("services":[{"name":"strawline","admissionCheck":false}],"limits":{}})";
constexpr auto kJob = "/kiln/6a1f00c25be8d934";
// Three tasks fit on a minion, so the eighth minion gets one.
constexpr std::size_t kTasks = 22;
constexpr auto kBody =
    R"({"spec":"lasting","steps":[{"count":22,"cpu":5000,"memMb":6000,"estMs":320,)"
    R"("longRunning":true}]})";
constexpr milliseconds kDowntime{5400};
// The rule asks for the task from 6 s after its last run, for 3 s, with 4 s of calm before.
constexpr milliseconds kAfterLastRun{6000};
constexpr milliseconds kCalm{4000};
constexpr milliseconds kWindow{3000};
// Further time that is watched, to show that the task doesn't start later either.
constexpr milliseconds kMore{20'000};

std::map<std::string, std::vector<std::string>> RunningByMinion(fleet& all) {
  std::map<std::string, std::vector<std::string>> out;
  for (std::size_t index = 0; index < all.minions(); ++index) {
    for (const seen_run& run : all.At(index).Runs()) {
      if (run.how.empty()) out[all.At(index).name()].push_back(run.task);
    }
  }
  return out;
}

std::size_t CountRunning(fleet& all) {
  std::size_t count = 0;
  for (const auto& [name, tasks] : RunningByMinion(all)) count += tasks.size();
  return count;
}

int Play(const std::string& path) {
  record log(path);
  fleet::layout wanted{.configuration = kConfiguration};
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    wanted.minions.push_back({.name = name, .service = "strawline"});
  }
  fleet all(wanted, log);
  std::this_thread::sleep_for(milliseconds{8000});  // until leases of a former start have lapsed
  if (all.Call(0, "POST", kJob, kBody).status != 200) return 2;
  const auto limit = steady::now() + milliseconds{10'000};
  while (CountRunning(all) < kTasks) {
    if (steady::now() > limit) return 2;
    std::this_thread::sleep_for(milliseconds{2});
  }
  minion* victim = nullptr;
  std::string task;
  for (std::size_t index = 0; index < all.minions(); ++index) {
    const auto running = RunningByMinion(all)[all.At(index).name()];
    if (running.size() == 1) {
      victim = &all.At(index);
      task = running.front();
    }
  }
  if (victim == nullptr) return 2;
  log.Add(fmt::format("all {} tasks run; {} is alone on minion {}", kTasks, task, victim->name()));
  std::this_thread::sleep_for(milliseconds{40});
  const auto crashed_at = steady::now();
  if (HasTrouble()) {
    victim->Crash(kDowntime);
    log.Add(fmt::format("minion {} crashes, for {} ms", victim->name(), kDowntime.count()));
  }
  const auto window_at = crashed_at + std::max(kAfterLastRun, kDowntime + kCalm);
  std::this_thread::sleep_until(window_at + kWindow);
  bool seen = false;
  for (const seen_run& run : all.Runs()) {
    if (run.task != task || run.started_at > window_at + kWindow) continue;
    seen = seen || !run.ended_at || *run.ended_at > window_at;
  }
  log.Add(fmt::format("{} {} between {} and {} ms, while minion {} runs {} tasks", task,
                      seen ? "ran" : "did not run", log.Ms(window_at), log.Ms(window_at + kWindow),
                      victim->name(), RunningByMinion(all)[victim->name()].size()));
  all.Call(1, "GET", kJob);
  std::this_thread::sleep_for(kMore);
  all.Call(1, "GET", kJob);
  RecordRuns(all, log);
  log.Add(seen ? "the rule held" : "the rule was broken");
  return seen ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  return coltsfoot::review::Play(argc > 1 ? argv[1] : "record.txt");
}
