#include <signal.h>

#include <string>
#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr int kJobs = 40;
// The longest that a client may send.
constexpr std::size_t kPayloadBytes = 4000;
constexpr auto kStep = R"({"count":36,"cpu":5,"memMb":5,"estMs":400})";
// `node_freeze` of the site file lasts 4 s.
constexpr milliseconds kFreeze{4000};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "0c%014x", number);
  return id;
}

}  // namespace

int RunOversizedResend(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({}, log);
  if (!system.StartAll()) return kCouldNotRun;
  const std::string body =
      R"({"spec":")" + std::string(kPayloadBytes, 'x') + R"(","steps":[)" + kStep + "]}";
  if (!system.Submit(JobId(kJobs), body) ||
      !system.WaitForState(JobId(kJobs), "complete", seconds{15})) {
    return kCouldNotRun;
  }
  const auto frozen_at = steady::now();
  if (trouble) system.SignalRunner(0, SIGSTOP);
  for (int number = 0; number < kJobs; ++number) {
    if (!system.Submit(JobId(number), body)) return kCouldNotRun;
  }
  std::this_thread::sleep_until(frozen_at + kFreeze);
  if (trouble) system.SignalRunner(0, SIGCONT);
  std::this_thread::sleep_for(kRecovery + seconds{18});

  int complete = 0;
  for (int number = 0; number < kJobs; ++number) {
    complete += system.StateOf(JobId(number), number % 2) == "complete" ? 1 : 0;
  }
  int running = 0;
  steady::time_point last_start = frozen_at;
  for (const auto& run : system.Runs()) {
    running += run.ended_at ? 0 : 1;
    last_start = std::max(last_start, run.started_at);
  }
  system.RecordRuns();
  log.Write("jobs complete: " + std::to_string(complete) + " of " + std::to_string(kJobs) +
            "; tasks running on the workers: " + std::to_string(running) +
            "; seconds since the last start: " +
            std::to_string(std::chrono::duration<double>(steady::now() - last_start).count()));
  return complete == kJobs ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
