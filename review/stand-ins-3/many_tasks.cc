#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

#include "fleet.h"

namespace coltsfoot::review {
namespace {

constexpr auto kFirstJob = "00000000000000aa";
constexpr auto kOtherJob = "00000000000000ab";
constexpr auto kJob = R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":100,"estMs":400}]})";
constexpr int kJobs = 40;
constexpr int kSteps = 64;
constexpr int kManyTasks = 1000;
constexpr int kFewTasks = 1;
// At most one task of a job runs on each worker, so that most of the capacity stays free.
constexpr int kCpu = 20;
constexpr int kOtherCpu = 500;
constexpr int kWorkers = 2;
// `cpu` of a target's capacity.
constexpr int kWorkerCpu = 4000;
// `memory_mb` of the machines.
constexpr std::size_t kMemoryBytes = 260'000'000;
constexpr milliseconds kWatchPeriod{50};
constexpr milliseconds kRestartDelay{1000};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};
// Of the rule.
constexpr seconds kIdleBound{3};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "0e%014x", number);
  return id;
}

/// @return a job whose steps follow each other.
std::string JobOf(int tasks) {
  std::string body = R"({"spec":"x","steps":[)";
  for (int step = 0; step < kSteps; ++step) {
    if (step > 0) body += ',';
    body += R"({"count":)" + std::to_string(tasks) + R"(,"cpu":)" + std::to_string(kCpu) +
            R"(,"memMb":10,"estMs":400,"maxPerServer":1)";
    if (step > 0) body += R"(,"after":[)" + std::to_string(step - 1) + "]";
    body += '}';
  }
  return body + "]}";
}

/// Kills and restarts entries that exceed the memory of their machine, as the platform does.
class memory_limit {
 public:
  memory_limit(fleet& system, record& log)
      : system_(system), log_(log), thread_([this] { Run(); }) {}
  ~memory_limit() {
    stopping_ = true;
    thread_.join();
  }
  memory_limit(const memory_limit&) = delete;
  memory_limit& operator=(const memory_limit&) = delete;

  int kills() const { return kills_; }

 private:
  void Run() {
    while (!stopping_) {
      for (const int entry : {0, 1}) Enforce(entry);
      std::this_thread::sleep_for(kWatchPeriod);
    }
  }

  void Enforce(int entry) {
    const std::size_t bytes = system_.MemoryOfEntry(entry);
    if (bytes <= kMemoryBytes) return;
    ++kills_;
    log_.Write("entry-" + std::to_string(entry) + " takes " + std::to_string(bytes) +
               " bytes of memory; the platform kills it");
    system_.KillEntry(entry);
    std::this_thread::sleep_for(kRestartDelay);
    system_.StartEntry(entry);
  }

  fleet& system_;
  record& log_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> kills_{0};
  std::thread thread_;
};

/// @return the capacity that tasks use at this moment, in thousandths of a core.
int UsedCpu(fleet& system) {
  int used = 0;
  for (const auto& run : system.Runs()) {
    if (run.ended_at) continue;
    used += run.task.starts_with(kOtherJob) ? kOtherCpu : kCpu;
  }
  return used;
}

bool HasRun(fleet& system) {
  const auto runs = system.Runs();
  return std::any_of(runs.begin(), runs.end(),
                     [](const auto& run) { return run.task.starts_with(kOtherJob); });
}

}  // namespace

int RunManyTasks(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({.workers = kWorkers}, log);
  if (!system.StartAll()) return kCouldNotRun;
  if (!system.Submit(kFirstJob, kJob) || !system.WaitForState(kFirstJob, "complete", seconds{15})) {
    return kCouldNotRun;
  }
  const memory_limit limit(system, log);
  const std::string body = JobOf(trouble ? kManyTasks : kFewTasks);
  log.Write("one client submits " + std::to_string(kJobs) + " jobs of " + std::to_string(kSteps) +
            " steps in " + std::to_string(body.size()) + " bytes each");
  int accepted = 0;
  for (int number = 0; number < kJobs; ++number) {
    accepted += system.Submit(JobId(number), body) ? 1 : 0;
  }
  log.Write("jobs of the client accepted: " + std::to_string(accepted));
  std::this_thread::sleep_for(seconds{5});
  if (!system.Submit(kOtherJob, kJob)) return kCouldNotRun;
  const auto until = steady::now() + kRecovery + seconds{18};
  auto idle_since = steady::now();
  std::chrono::duration<double> longest_idle{0};
  bool completed = false;
  for (int attempt = 0; !completed && steady::now() < until; ++attempt) {
    completed = system.StateOf(kOtherJob, attempt % 2) == "complete";
    const int used = UsedCpu(system);
    log.Write("capacity in use: " + std::to_string(used));
    if (HasRun(system) || 2 * used >= kWorkers * kWorkerCpu) idle_since = steady::now();
    longest_idle =
        std::max<std::chrono::duration<double>>(longest_idle, steady::now() - idle_since);
    std::this_thread::sleep_for(milliseconds{200});
  }
  system.RecordRuns();
  char idle[32];
  std::snprintf(idle, sizeof(idle), "%.1f", longest_idle.count());
  log.Write(std::string("the job of another client ") +
            (completed ? "completed" : "did not complete") + "; nothing of it ran for " + idle +
            " s while under half of the capacity was in use; entries killed: " +
            std::to_string(limit.kills()));
  return !completed && longest_idle >= kIdleBound ? kBroken : kHeld;
}

}  // namespace coltsfoot::review
