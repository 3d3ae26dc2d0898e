#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <numbers>
#include <string>
#include <vector>

#include "fixture.h"
#include "jobs/planner.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::TestQueue;
using testing::TestStep;

constexpr int kWorkers = 4;
constexpr std::int64_t kWorkerMillis = 32'000;
constexpr std::int64_t kServingMillis = 16'000;  ///< of each worker
constexpr std::uint32_t kTasksPerJob = 8;
constexpr std::int64_t kTaskMillis = 3500;  ///< processors of a filling task, in thousandths
constexpr std::uint32_t kGoalMs = 18;
constexpr milliseconds kTick{50};
constexpr milliseconds kReadingPeriod{500};
constexpr milliseconds kTaskDuration{1700};
constexpr milliseconds kObjective{4400};

double Cores(std::int64_t cpu_millis) { return static_cast<double>(cpu_millis) / 1000.0; }

/// Filling jobs arrive at a steady rate on workers whose serving tasks see a swinging load. Filling
/// tasks take no headroom.
class filling_load {
 public:
  filling_load() {
    for (int index = 0; index < kWorkers; ++index) {
      worker_row& worker = workers_["w" + std::to_string(index)];
      worker.agent = "w" + std::to_string(index);
      worker.connected = true;
      worker.reported_on_connection = true;
      worker.listed = true;
      worker.state = target_state::ready;
      worker.service = "svc";
      worker.capacity = {kWorkerMillis, 128'000, 0};
      worker.committed = {kServingMillis, 0, 0};
      worker.serving = 1;
      worker.serving_cpu = kServingMillis;
      worker.serving_groups = {{"serving.0", "s"}};
    }
  }

  /// Plays the load.
  /// @return the share of the jobs that met their objective.
  double Play(milliseconds duration, milliseconds job_interval) {
    for (milliseconds at{0}; at < duration; at += kTick) {
      time_.Advance(kTick);
      if (at % kReadingPeriod == milliseconds{0}) Observe();
      if (at % job_interval == milliseconds{0} && at + kObjective < duration) Submit();
      EndTasks();
      StartTasks();
    }
    return static_cast<double>(met_) / submitted_;
  }

 private:
  struct run {
    core::mono_time ends_at;
    std::string job;
    std::uint32_t index = 0;
    std::string agent;
  };

  void Observe() {
    const double at_s = std::chrono::duration<double>(time_.Now().time_since_epoch()).count();
    const double wave = std::sin(2 * std::numbers::pi * at_s / 10);
    const double headroom = 2.5 - wave;
    const auto tail_ms = static_cast<std::uint32_t>(std::lround(kGoalMs / headroom));
    for (auto& [agent, worker] : workers_) {
      worker.last_report_at = time_.Now();
      model_.Observe({"serving.0", "s", tail_ms, kGoalMs}, {{"f", Cores(worker.filling_cpu)}},
                     time_.Now());
    }
  }

  void Submit() {
    step_spec step = TestStep(kTasksPerJob, kTaskMillis);
    step.fills = true;
    step.image = "f";
    step.estimate_ms = static_cast<std::uint32_t>(kTaskDuration.count());
    job_row& job =
        jobs_.Add("job" + std::to_string(submitted_++),
                  {.queue = "batch", .service = "svc", .spec = {"", {step}}}, 1, time_.Now());
    job.queue = TestQueue();
    job.queue.stretch = 2;
    job.queue.objective_ms = 1000;
  }

  void EndTasks() {
    std::erase_if(active_, [&](const run& each) {
      if (each.ends_at > time_.Now()) return false;
      const auto ref = jobs_.FindTask({each.job, 0, 0, each.index});
      jobs_.RemoveCopy(*ref, each.agent, 1);
      jobs_.MarkDone(*ref, 1);
      worker_row& worker = workers_.at(each.agent);
      worker.filling_cpu -= kTaskMillis;
      worker.filling_cores["f"] -= Cores(kTaskMillis);
      worker.committed.memory_mb -= ref->job->Spec(0).need.memory_mb;
      const bool met = time_.Now() - ref->job->accepted_at <= kObjective;
      if (ref->job->state == job_state::complete && met) ++met_;
      return true;
    });
  }

  void StartTasks() {
    // The planner adds the starts to the workers itself.
    for (const planned_start& start :
         Plan(jobs_, workers_, model_, time_.Now(), planner_options{}).starts) {
      const auto ref = jobs_.FindTask({start.job, 0, start.step, start.index});
      jobs_.AddCopy(*ref, {.agent = start.agent, .run = 1});
      active_.push_back({time_.Now() + kTaskDuration, start.job, start.index, start.agent});
    }
  }

  core::manual_clock time_;
  job_table jobs_;
  worker_table workers_;
  headroom_model model_;
  std::vector<run> active_;
  int submitted_ = 0;
  int met_ = 0;
};

}  // namespace

// Guards against filling jobs that wait beside idle processors because an image that takes no
// headroom is counted as if it took some (scenario sensus-ternak scale-1). The load asks for two
// thirds of the processors that serving tasks leave idle.
TEST_CASE("harmless filling jobs meet their objective on idle processors") {
  filling_load load;
  CHECK(load.Play(milliseconds{60'000}, milliseconds{750}) > 0.95);
}

}  // namespace coltsfoot::jobs
