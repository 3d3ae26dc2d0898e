// All processes are killed while hundreds of tasks work on each worker. Their ends wait there; a
// minion lists 500 of them at a time. The new coordinator takes the first list for the whole truth
// and starts the tasks again whose ends come later.
#include <algorithm>
#include <csignal>
#include <map>
#include <string>
#include <vector>

#include "../support/stand_ins.h"

namespace coltsfoot::review {
namespace {

constexpr int kJobs = 3;
constexpr std::size_t kTasks = 1000;
constexpr std::size_t kWorkers = 4;
constexpr std::size_t kEdges = 3;
constexpr std::int64_t kTaskMs = 4000;
constexpr std::int64_t kKillMs = 3000;  ///< after the last job was accepted
constexpr std::int64_t kDownMs = 1100;
constexpr std::int64_t kObservedMs = 25'000;

std::string Id(int index) { return "00000000000000a" + std::to_string(index); }

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
    views.push_back(minions.back().get());
  }
  const std::string job = R"({"spec":"ms=)" + std::to_string(kTaskMs) + R"(","steps":[{"count":)" +
                          std::to_string(kTasks) + R"(,"cpu":10,"memMb":10,"estMs":4000}]})";
  int complete = 0;
  {
    fleet programs(log, platform, views, kEdges);
    if (!programs.Ready()) return 2;
    Sleep(4000);
    for (int index = 0; index < kJobs; ++index) {
      if (!programs.Submit(Id(index), job)) return 2;
    }
    if (WithTrouble()) {
      Sleep(kKillMs);
      for (std::size_t edge = 0; edge < kEdges; ++edge) programs.SignalEdge(edge, SIGKILL);
      for (std::size_t side = 0; side < kWorkers; ++side) programs.SignalSide(side, SIGKILL);
      Sleep(kDownMs);
      for (std::size_t edge = 0; edge < kEdges; ++edge) programs.RestartEdge(edge);
      for (std::size_t side = 0; side < kWorkers; ++side) programs.RestartSide(side);
    }
    Sleep(kObservedMs);
    for (int index = 0; index < kJobs; ++index) {
      const auto answer = programs.Call(0, "GET", "/q/" + Id(index));
      if (answer.body.find("\"complete\"") != std::string::npos) ++complete;
    }
  }
  std::map<std::string, std::vector<seen_run>> by_task;
  for (const auto& each : minions) {
    for (const seen_run& run : each->Runs()) by_task[run.task].push_back(run);
  }
  int again = 0;
  for (auto& entry : by_task) {
    const std::string& task = entry.first;
    std::vector<seen_run>& runs = entry.second;
    std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
      return left.started_ms < right.started_ms;
    });
    for (std::size_t later = 1; later < runs.size(); ++later) {
      const auto done = std::find_if(runs.begin(), runs.end(), [&](const seen_run& run) {
        return run.reason == "done" && run.noted && run.ended_ms <= runs[later].started_ms;
      });
      if (done == runs.end()) continue;
      ++again;
      log.Add("BROKEN: TWICE: start at " + std::to_string(runs[later].started_ms) + " ms of " +
              task + " run " + std::to_string(runs[later].run) + " on " + runs[later].minion +
              "; run " + std::to_string(done->run) + " ended done at " +
              std::to_string(done->ended_ms) + " ms on " + done->minion +
              ", which was taken note of");
    }
  }
  log.Add(std::to_string(by_task.size()) + " tasks began, " + std::to_string(again) +
          " of them again after an end that was taken note of; " + std::to_string(complete) +
          " jobs are complete");
  if (by_task.size() != kJobs * kTasks) return 2;
  return again > 0 ? 1 : 0;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) { return coltsfoot::review::Main(argc, argv); }
