#include "jobs/progress_writer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::TestStep;

constexpr int kJobs = 60;
constexpr std::uint32_t kTasksPerJob = 60;

/// A worker that runs the tasks of many jobs. In each step one task of every second job ends.
struct busy_worker : coordinator_fixture {
  busy_worker() {
    Begin({"a"});
    Worker("a").capacity = {10'000'000, 10'000'000, 0};
    Report("a");
    for (int job = 0; job < kJobs; ++job) {
      Submit(fmt::format("{:016x}", job), {TestStep(kTasksPerJob, 1)});
    }
    for (int round = 0; round < 30; ++round) {
      Tick();
      RunCommands();
    }
  }

  /// Ends one task of every second job.
  void EndSomeTasks() {
    std::vector<run_id> ending;
    std::string last;
    for (const running_task& task : Worker("a").running) {
      if (task.task.job == last || (task.task.index + steps) % 2 != 0) continue;
      last = task.task.job;
      ending.push_back({task.task, task.run});
    }
    for (const run_id& run : ending) End("a", run, end_reason::done);
    ++steps;
  }

  std::uint64_t stored_end() const { return control.workers().at("a").stored_end; }

  std::uint32_t steps = 0;
};

}  // namespace

// Guards against ends that are confirmed only by a write that contains all changed jobs. With more
// changed jobs than fit into one write no end was ever confirmed. A target lists at most 500 ends
// at a time, so later ones were not seen and their tasks ran again (scenarios malolos-straw-large
// trouble-2 and scale-2).
TEST_CASE("ends are confirmed when more jobs change than fit into one write") {
  busy_worker fleet;
  std::vector<std::uint64_t> ends_at;
  for (int step = 0; step < 60; ++step) {
    fleet.EndSomeTasks();
    fleet.Report("a");
    fleet.Tick(milliseconds{20});
    ends_at.push_back(fleet.last_end);
    // Each end is confirmed within 1 s, 50 steps of 20 ms, of its report.
    if (step >= 50) CHECK(fleet.stored_end() >= ends_at[step - 50]);
    CHECK(fleet.last_end - fleet.stored_end() < 500);
  }
  REQUIRE(fleet.last_end > 500);
  for (int step = 0; step < 50; ++step) fleet.Tick(milliseconds{20});
  CHECK(fleet.stored_end() == fleet.last_end);
}

// Guards against an end that is confirmed because another job was stored, while its own is not.
TEST_CASE("an end is not confirmed before the earlier ends of its worker are stored") {
  coordinator_fixture fleet;
  fleet.Begin({"a"});
  fleet.Submit("00000000000000aa", {TestStep(1)});
  fleet.Submit("00000000000000bb", {TestStep(1)});
  fleet.Tick();
  fleet.RunCommands();
  const std::vector<running_task> running = fleet.Worker("a").running;
  REQUIRE(running.size() == 2);
  fleet.storage.mode = testing::memory_store::write_mode::write_lost;
  fleet.End("a", {running[0].task, running[0].run}, end_reason::done);
  fleet.Report("a");
  fleet.Tick();
  fleet.End("a", {running[1].task, running[1].run}, end_reason::done);
  fleet.Report("a");
  fleet.Tick();
  CHECK(fleet.control.workers().at("a").stored_end == 0);
  fleet.storage.mode = testing::memory_store::write_mode::normal;
  fleet.Tick(milliseconds{500});
  fleet.Tick(milliseconds{500});
  CHECK(fleet.control.workers().at("a").stored_end == 2);
}

// Guards against a checkpoint that only the coordinator has: the target drops it with a confirmed
// end, so the work before it is lost if all hosts lose power.
TEST_CASE("an end with a checkpoint is confirmed only after the checkpoint is stored") {
  for (const end_reason reason : {end_reason::stopped, end_reason::lapsed}) {
    CAPTURE(std::string(ToString(reason)));
    coordinator_fixture fleet;
    fleet.Begin({"a"});
    fleet.Submit("00000000000000aa", {TestStep(1)});
    fleet.Tick();
    fleet.RunCommands();
    REQUIRE(fleet.Worker("a").running.size() == 1);
    const running_task task = fleet.Worker("a").running[0];
    fleet.storage.mode = testing::memory_store::write_mode::refused;
    fleet.End("a", {task.task, task.run}, reason, "at-40-percent");
    fleet.Report("a");
    fleet.Tick();
    fleet.Tick(milliseconds{500});
    CHECK(fleet.control.workers().at("a").stored_end == 0);
    fleet.storage.mode = testing::memory_store::write_mode::normal;
    fleet.Tick(milliseconds{500});
    fleet.Tick(milliseconds{500});
    CHECK(fleet.control.workers().at("a").stored_end == 1);

    // All processes start again, and the target has dropped the confirmed end.
    fleet.agents.commands.clear();
    fleet.Worker("a").ended.clear();
    fleet.Worker("a").agent_incarnation = 2;
    fleet.storage.Put(std::string(kLeaderKey), "leader");
    fleet.term = fleet.storage.revision;
    fleet.Worker("a").term = fleet.term;
    fleet.BeginFromStore();
    fleet.control.OnAgentConnected("a");
    fleet.Report("a");
    for (int tick = 0; tick < 3; ++tick) fleet.Tick(milliseconds{100});
    const auto starts = fleet.agents.TakeStarts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].second.checkpoint == "at-40-percent");
  }
}

}  // namespace coltsfoot::jobs
