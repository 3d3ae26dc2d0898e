#include <string>
#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr auto kLastingJob = "00000000000000aa";
constexpr auto kLongImageJob = "00000000000000ab";
constexpr int kOtherJobs = 10;
constexpr auto kJob = R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":100,"estMs":400}]})";
// The targets run tasks with this payload until they are stopped.
constexpr auto kLasting =
    R"({"spec":"lasting","steps":[{"count":2,"cpu":500,"memMb":100,"longRunning":true}]})";
constexpr std::size_t kLongImage = 200'000;
constexpr std::size_t kShortImage = 20;
// `recoverS` of the site file.
constexpr seconds kRecovery{12};

std::string OtherJob(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "0d%014x", number);
  return id;
}

int CountRunning(fleet& system, std::string_view job) {
  int running = 0;
  for (const auto& run : system.Runs()) {
    if (run.task.starts_with(job) && !run.ended_at) ++running;
  }
  return running;
}

}  // namespace

int RunLongImage(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({}, log);
  if (!system.StartAll()) return kCouldNotRun;
  if (!system.Submit(kLastingJob, kLasting)) return kCouldNotRun;
  std::this_thread::sleep_for(seconds{2});
  if (CountRunning(system, kLastingJob) != 2) return kCouldNotRun;
  const std::string image(trouble ? kLongImage : kShortImage, 'x');
  log.Write("one client submits a job of 40 tasks whose `image` has " +
            std::to_string(image.size()) + " bytes");
  system.Call(0, "POST", kLongImageJob,
              R"({"spec":"x","steps":[{"count":40,"cpu":120,"memMb":50,"estMs":400,"image":")" +
                  image + R"("}]})");
  std::this_thread::sleep_for(seconds{3});
  for (int number = 0; number < kOtherJobs; ++number) {
    if (!system.Submit(OtherJob(number), kJob)) return kCouldNotRun;
    std::this_thread::sleep_for(seconds{1});
  }
  if (system.Call(1, "DELETE", kLastingJob).status != 200) return kCouldNotRun;
  std::this_thread::sleep_for(kRecovery + seconds{18});
  int complete = 0;
  for (int number = 0; number < kOtherJobs; ++number) {
    complete += system.StateOf(OtherJob(number), 0) == "complete" ? 1 : 0;
  }
  const int cancelled = CountRunning(system, kLastingJob);
  system.RecordRuns();
  log.Write("other jobs complete: " + std::to_string(complete) + " of " +
            std::to_string(kOtherJobs) +
            "; tasks of the cancelled job that still run: " + std::to_string(cancelled));
  return complete == kOtherJobs && cancelled == 0 ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
