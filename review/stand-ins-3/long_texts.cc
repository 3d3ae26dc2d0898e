#include <algorithm>
#include <string>
#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr auto kFirstJob = "00000000000000aa";
constexpr auto kOtherJob = "00000000000000ab";
constexpr auto kJob = R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":100,"estMs":400}]})";
constexpr int kJobs = 1300;
constexpr std::size_t kLongText = 250'000;
constexpr std::size_t kShortText = 20;
// `memory_mb` of the machines.
constexpr std::size_t kMemoryBytes = 260'000'000;
constexpr milliseconds kRestartDelay{1000};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "0e%014x", number);
  return id;
}

/// Kills and restarts entries that exceed the memory of their machine, as the platform does.
/// @return the number of entries.
int EnforceMemory(fleet& system, record& log) {
  int killed = 0;
  for (const int entry : {0, 1}) {
    const std::size_t bytes = system.MemoryOfEntry(entry);
    if (bytes <= kMemoryBytes) continue;
    ++killed;
    log.Write("entry-" + std::to_string(entry) + " takes " + std::to_string(bytes) +
              " bytes of memory; the platform kills it");
    system.KillEntry(entry);
    std::this_thread::sleep_for(kRestartDelay);
    system.StartEntry(entry);
  }
  return killed;
}

}  // namespace

int RunLongTexts(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({}, log);
  if (!system.StartAll()) return kCouldNotRun;
  if (!system.Submit(kFirstJob, kJob) || !system.WaitForState(kFirstJob, "complete", seconds{15})) {
    return kCouldNotRun;
  }
  const std::string body =
      R"({"spec":"x","steps":[{"count":1,"cpu":50,"memMb":50,"estMs":400,"dataRack":")" +
      std::string(trouble ? kLongText : kShortText, 'x') + R"("}]})";
  int killed = 0;
  int accepted = 0;
  for (int number = 0; number < kJobs && killed == 0; ++number) {
    accepted += system.Call(number % 2, "POST", JobId(number), body).status == 200 ? 1 : 0;
    killed = EnforceMemory(system, log);
  }
  log.Write("jobs of the client accepted: " + std::to_string(accepted) +
            "; entries killed: " + std::to_string(killed));
  std::this_thread::sleep_for(seconds{5});
  if (!system.Submit(kOtherJob, kJob)) return kCouldNotRun;
  const bool completed = system.WaitForState(kOtherJob, "complete", kRecovery + seconds{18});
  int running = 0;
  for (const auto& run : system.Runs()) running += run.ended_at ? 0 : 1;
  log.Write(std::string("the job of another client ") +
            (completed ? "completed" : "did not complete") +
            "; tasks running on the workers: " + std::to_string(running));
  return completed ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
