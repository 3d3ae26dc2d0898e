#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr auto kJob = R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":100,"estMs":400}]})";
constexpr auto kFirstJob = "00000000000000aa";
constexpr auto kSecondJob = "00000000000000ab";
constexpr milliseconds kDowntime{38'000};
constexpr milliseconds kOutageAfter{29'000};
// `platform_down` of the site file lasts up to 6.8 s.
constexpr milliseconds kOutage{6000};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};

}  // namespace

int RunForgottenAgents(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({}, log);
  if (!system.StartAll()) return kCouldNotRun;
  if (!system.Submit(kFirstJob, kJob) || !system.WaitForState(kFirstJob, "complete", seconds{15})) {
    return kCouldNotRun;
  }
  const int coordinator = system.Coordinator();
  const auto down_at = steady::now();
  log.Write("the hosts of both workers lose power");
  for (const int index : {0, 1}) {
    system.KillRunner(index);
    system.target(index).Crash(kDowntime);
  }
  std::this_thread::sleep_until(down_at + kOutageAfter);
  if (trouble) {
    log.Write("the store is down");
    system.store().SetDown(true);
  }
  std::this_thread::sleep_until(down_at + kOutageAfter + kOutage);
  if (trouble) {
    system.store().SetDown(false);
    log.Write("the store is up");
  }
  std::this_thread::sleep_until(down_at + kDowntime);
  log.Write("the hosts of both workers are back");
  for (const int index : {0, 1}) {
    if (!system.StartRunner(index)) return kCouldNotRun;
  }
  std::this_thread::sleep_for(seconds{4});
  if (!system.Submit(kSecondJob, kJob)) return kCouldNotRun;
  const bool completed = system.WaitForState(kSecondJob, "complete", kRecovery + seconds{18});
  system.RecordRuns();
  log.Write(std::string("the second job ") + (completed ? "completed" : "did not complete") +
            "; coordinator before: " + std::to_string(coordinator) +
            ", now: " + std::to_string(system.Coordinator()));
  return completed ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
