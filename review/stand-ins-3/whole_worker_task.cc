#include <string>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr auto kJob = "00000000000000aa";
// Of a worker's 4000.
constexpr int kLargeTask = 3900;
constexpr int kSmallerTask = 3800;
// Far more than the 3 s for which a job may have nothing running.
constexpr seconds kLimit{25};

}  // namespace

int RunWholeWorkerTask(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({.priority = 2}, log);
  if (!system.StartAll()) return kCouldNotRun;
  const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":)" +
                           std::to_string(trouble ? kLargeTask : kSmallerTask) +
                           R"(,"memMb":100,"estMs":400}]})";
  log.Write("job: " + body);
  if (!system.Submit(kJob, body)) return kCouldNotRun;
  const bool completed = system.WaitForState(kJob, "complete", kLimit);
  system.RecordRuns();
  log.Write(std::string("the job ") + (completed ? "completed" : "did not complete") +
            "; runs on the workers: " + std::to_string(system.Runs().size()));
  return completed ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
