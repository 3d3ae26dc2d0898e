#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

using nlohmann::json;

constexpr int kJobs = 60;
constexpr milliseconds kTaskTime{2500};
constexpr auto kThreeSteps =
    R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":50,"estMs":2500},)"
    R"({"count":1,"cpu":100,"memMb":50,"estMs":2500,"after":[0]},)"
    R"({"count":1,"cpu":100,"memMb":50,"estMs":2500,"after":[1]}]})";
// `platform_down` of the site file lasts up to 6.8 s.
constexpr milliseconds kOutage{4500};
constexpr milliseconds kDeaf{1000};
// After a disruption of the store hosts are in touch again after `contactMs`.
constexpr milliseconds kContact{3000};
// A start counts from this time after its job was shown as complete.
constexpr milliseconds kNoted{1000};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "0a%014x", number);
  return id;
}

/// Runs the jobs and writes what the programs then have in the store to `store.json`.
int RecordStore(const std::filesystem::path& directory, fleet& system) {
  for (int number = 0; number < kJobs; ++number) {
    if (!system.Submit(JobId(number), kThreeSteps)) return kCouldNotRun;
  }
  for (int number = 0; number < kJobs; ++number) {
    if (!system.WaitForState(JobId(number), "complete", seconds{60})) return kCouldNotRun;
  }
  std::ofstream(directory / "store.json") << system.store().Dump().dump(0) << '\n';
  return kHeld;
}

/// Loads the recorded store, without the addresses of agents, which are new in each run.
bool LoadStore(const std::filesystem::path& directory, metadata_store& store) {
  std::ifstream file(directory / "store.json");
  const json rows = json::parse(file, nullptr, false);
  if (!rows.is_array()) return false;
  for (const json& row : rows) {
    const auto key = row.at(0).get<std::string>();
    const bool is_job = key.starts_with("coltsfoot/in/job/");
    if (!is_job && !key.starts_with("coltsfoot/progress/") && key != "coltsfoot/in/run-bound") {
      continue;
    }
    store.PreloadEncoded(key, row.at(1).get<std::string>());
  }
  return true;
}

}  // namespace

int RunResubmittedRemovals(const std::filesystem::path& directory, bool trouble, record& log) {
  fleet system({.task_time = kTaskTime}, log);
  if (std::getenv("RECORD") != nullptr) {
    return system.StartAll() ? RecordStore(directory, system) : kCouldNotRun;
  }
  if (!LoadStore(directory, system.store()) || !system.StartAll()) return kCouldNotRun;

  std::map<std::string, steady::time_point> shown_complete;
  const auto look = [&] {
    for (int number = 0; number < kJobs; ++number) {
      const std::string id = JobId(number);
      if (system.StateOf(id, number % 2) == "complete") {
        shown_complete.try_emplace(id, steady::now());
      }
    }
  };
  look();
  if (shown_complete.empty()) return kCouldNotRun;
  std::this_thread::sleep_for(seconds{3});
  if (trouble) {
    log.Write("the store is down");
    system.store().SetDown(true);
  }
  std::this_thread::sleep_for(kOutage);
  if (trouble) {
    system.store().SetDown(false);
    log.Write("the store is up");
  }
  std::this_thread::sleep_for(seconds{4});
  if (trouble) {
    system.store().Compact(kDeaf);
    log.Write("the store drops its history after 1 s in which watches hear nothing");
  }
  for (int number = 0; number < 3; ++number) {
    if (!system.Submit(JobId(kJobs + number), kThreeSteps)) return kCouldNotRun;
  }
  std::this_thread::sleep_for(kDeaf);
  const auto in_touch_from = steady::now() + kContact;
  std::this_thread::sleep_for(seconds{14});

  look();
  system.RecordRuns();
  int started_again = 0;
  int in_touch = 0;
  for (const auto& run : system.Runs()) {
    const auto shown = shown_complete.find(run.task.substr(0, run.task.find('.')));
    if (shown == shown_complete.end() || run.started_at <= shown->second + kNoted) continue;
    ++started_again;
    if (run.started_at > in_touch_from) ++in_touch;
  }
  log.Write(
      "starts of tasks of jobs that were shown as complete: " + std::to_string(started_again) +
      ", of these by machines in touch: " + std::to_string(in_touch));
  for (int number = 0; number < 3; ++number) {
    if (!system.WaitForState(JobId(kJobs + number), "complete", seconds{10})) {
      return started_again > 0 ? kBroken : kCouldNotRun;
    }
  }
  return in_touch > 0 ? kBroken : kHeld;
}

}  // namespace coltsfoot::review
