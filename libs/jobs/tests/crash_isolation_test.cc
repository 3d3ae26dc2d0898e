#include "jobs/crash_isolation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";
constexpr auto kOtherJob = "00000000000000bb";
std::vector<std::string> Agents() { return {"a", "b", "c", "d", "e", "f", "g", "h"}; }

struct crash_fixture : coordinator_fixture {
  crash_fixture() { Begin(Agents()); }

  /// The target of `agent` crashes under these runs and comes back as another incarnation.
  /// @param age time for which they had run.
  void Crash(const std::string& agent, const std::vector<run_id>& runs,
             milliseconds age = milliseconds{0}) {
    worker_report& report = Worker(agent);
    report.running.clear();
    report.ended.clear();
    ++report.incarnation.started_ms;
    for (const run_id& run : runs) {
      report.crashed.push_back({run, static_cast<std::uint32_t>(age.count())});
    }
    Report(agent);
    report.crashed.clear();
  }

  /// The target of `agent` falls silent until its lease has expired, then comes back as another
  /// incarnation that had crashed under these runs.
  void CrashForLong(const std::string& agent, const std::vector<run_id>& suspects) {
    worker_report& report = Worker(agent);
    report.running.clear();
    report.state = target_state::gone;
    Pass(milliseconds{200});
    report.state = target_state::ready;
    Crash(agent, suspects);
  }

  /// @return the names of the isolated workers.
  std::vector<std::string> Isolated() const {
    std::vector<std::string> out;
    for (const auto& [agent, worker] : control.workers()) {
      if (worker.isolated) out.push_back(agent);
    }
    return out;
  }

  /// Advances the time while all agents report, and executes the commands.
  void Pass(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
      Tick(milliseconds{100});
      RunCommands();
    }
  }

  /// @return the agent that runs the task, and the run.
  std::pair<std::string, run_id> Find(const task_id& task) {
    for (const auto& [agent, report] : reports) {
      for (const running_task& each : report.running) {
        if (each.task == task) return {agent, {each.task, each.run}};
      }
    }
    return {};
  }
};

}  // namespace

// Guards against one task that crashes target after target.
TEST_CASE(
    "a job fails when two targets crash under a task of it and no other comes into question") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(1)});
  for (int crash = 0; crash < 2; ++crash) {
    CHECK(fleet.control.StateOf(kJob) != job_state::failed);
    fleet.Pass(milliseconds{1000});
    const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
    REQUIRE_FALSE(agent.empty());
    fleet.Crash(agent, {run});
  }
  fleet.Pass(milliseconds{1000});
  CHECK(fleet.control.StateOf(kJob) == job_state::failed);
  CHECK(fleet.Find({kJob, 0, 0, 0}).first.empty());
}

// Guards against a task that crashes its targets some time after its start and is started without
// end (review/6).
TEST_CASE("a job fails when targets crash in a row under a task that is not young any more") {
  crash_fixture fleet;
  milliseconds age{500};
  SUBCASE("half a second after its start") {}
  SUBCASE("seconds after its start") { age = milliseconds{8000}; }
  fleet.Submit(kJob, {TestStep(1)});
  std::size_t crashes = 0;
  for (; crashes < 10 && fleet.control.StateOf(kJob) != job_state::failed; ++crashes) {
    fleet.Pass(milliseconds{1000});
    const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
    REQUIRE_FALSE(agent.empty());
    fleet.Crash(agent, {run}, age);
    fleet.Pass(milliseconds{1000});
  }
  CHECK(crashes <= 4);
}

// Guards against a task that is never suspected because each of its runs lasts longer.
TEST_CASE("a job fails after five crashes in a row although each run outlived the one before") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(1)});
  std::uint32_t crashes = 0;
  for (; crashes < 10 && fleet.control.StateOf(kJob) != job_state::failed; ++crashes) {
    fleet.Pass(milliseconds{1000});
    const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
    REQUIRE_FALSE(agent.empty());
    fleet.Crash(agent, {run}, milliseconds{500 + 400 * crashes});
    fleet.Pass(milliseconds{1000});
  }
  CHECK(crashes == 5);
}

// Guards against bystanders that are delayed because their target crashed once.
TEST_CASE("a task that had run for a while is no suspect after a single crash") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(2)});
  fleet.Pass(milliseconds{1000});
  const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
  fleet.Crash(agent, {run}, milliseconds{500});
  CHECK(fleet.control.FindJob(kJob)->tasks[0].crashes.losses == 1);
  CHECK(fleet.control.FindJob(kJob)->tasks[0].crashes.crashes == 0);
  fleet.Pass(milliseconds{200});
  CHECK_FALSE(fleet.Find({kJob, 0, 0, 0}).first.empty());
  CHECK(fleet.Isolated().empty());
}

// Guards against a job that is given up for starts that may not have been executed.
TEST_CASE("a task that had not certainly begun is a suspect but not alone") {
  const run_id run{{kJob, 0, 0, 0}, 1};
  const run_id other{{kJob, 0, 0, 1}, 1};
  CHECK(JudgeCrash({{run, 0, true}}, {{}})[0].alone == 1);
  CHECK(JudgeCrash({{run, 0, false}}, {{}})[0] == crash_evidence{.losses = 1, .crashes = 1});
  for (const crash_evidence& each : JudgeCrash({{run, 0, true}, {other, 0, false}}, {{}, {}})) {
    CHECK(each == crash_evidence{.losses = 1, .crashes = 1});
  }
}

// Guards against crashes that add up over many harmless runs of a task.
TEST_CASE("crashes are in a row only while no run of the task has lasted") {
  crash_fixture fleet;
  step_spec step = TestStep(1);
  step.long_running = true;
  fleet.Submit(kJob, {step});
  for (int crash = 0; crash < 8; ++crash) {
    fleet.Pass(milliseconds{11'000});
    const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
    REQUIRE_FALSE(agent.empty());
    fleet.Crash(agent, {run}, milliseconds{10'500});
  }
  CHECK(fleet.control.StateOf(kJob) == job_state::active);
  CHECK(fleet.control.FindJob(kJob)->tasks[0].crashes.losses == 1);
}

// Guards against a trial that ends before the task does what it does.
TEST_CASE("a suspect's trial lasts longer than it had run before the crashes") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(2)});
  for (int crash = 0; crash < 2; ++crash) {
    fleet.Pass(milliseconds{1000});
    for (std::uint32_t index = 0; index < 2; ++index) {
      const auto [agent, run] = fleet.Find({kJob, 0, 0, index});
      REQUIRE_FALSE(agent.empty());
      fleet.Crash(agent, {run}, milliseconds{800});
    }
  }
  for (milliseconds passed{0}; passed < milliseconds{1000}; passed += milliseconds{100}) {
    fleet.Tick(milliseconds{100});
    fleet.RunCommands();
    for (const std::string& agent : fleet.Isolated()) {
      CHECK(fleet.Worker(agent).running.size() <= 1);
    }
  }
  CHECK(fleet.Isolated().size() == 2);
  fleet.Pass(milliseconds{1000});
  CHECK(fleet.Isolated().empty());
}

// Guards against evidence that is lost with the coordinator.
TEST_CASE("a new coordinator knows the crashes under a task") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(1)});
  fleet.Pass(milliseconds{1000});
  const auto [first, run] = fleet.Find({kJob, 0, 0, 0});
  fleet.Crash(first, {run});
  fleet.Tick();
  fleet.Tick(milliseconds{200});
  REQUIRE(fleet.storage.entries.count(CrashKey(kJob)) == 1);
  fleet.agents.commands.clear();
  fleet.BeginFromStore();
  for (const std::string& agent : Agents()) {
    fleet.control.OnAgentConnected(agent);
    fleet.Report(agent);
  }
  fleet.Pass(milliseconds{2000});
  const auto [second, again] = fleet.Find({kJob, 0, 0, 0});
  REQUIRE_FALSE(second.empty());
  fleet.Crash(second, {again});
  fleet.Pass(milliseconds{1000});
  CHECK(fleet.control.StateOf(kJob) == job_state::failed);
}

// Guards against bystanders that a suspect takes down, and against crashes with several suspects.
TEST_CASE("suspects start one at a time on isolated workers that get no other tasks") {
  crash_fixture fleet;
  fleet.Submit(kJob, {TestStep(4)});
  fleet.Pass(milliseconds{1000});
  std::vector<run_id> suspects;
  for (std::uint32_t index = 0; index < 4; ++index) {
    const auto [agent, run] = fleet.Find({kJob, 0, 0, index});
    fleet.Crash(agent, {});
    suspects.push_back(run);
  }
  fleet.Crash("a", suspects);
  fleet.Submit(kOtherJob, {TestStep(40)});
  fleet.agents.commands.clear();
  for (int step = 0; step < 3; ++step) {
    fleet.Tick(milliseconds{100});
    const std::vector<std::string> isolated = fleet.Isolated();
    // A quarter of eight workers.
    CHECK(isolated.size() == 2);
    for (const auto& [agent, start] : fleet.agents.TakeStarts()) {
      const bool is_isolated = std::find(isolated.begin(), isolated.end(), agent) != isolated.end();
      CHECK(is_isolated == (start.facts.run.task.job == kJob));
      fleet.Worker(agent).running.push_back({start.facts.run.task, start.facts.run.run});
    }
    for (const std::string& agent : isolated) CHECK(fleet.Worker(agent).running.size() <= 1);
  }
  fleet.Pass(milliseconds{1800});
  for (std::uint32_t index = 0; index < 4; ++index) {
    CHECK_FALSE(fleet.Find({kJob, 0, 0, index}).first.empty());
  }
  CHECK(fleet.Isolated().empty());
}

// Guards against a suspect that waits for ever because no isolated worker has its label.
TEST_CASE("a suspect starts on an isolated worker that has its label") {
  crash_fixture fleet;
  fleet.Worker("g").labels = {"rare"};
  fleet.Report("g");
  step_spec step = TestStep(1);
  step.label = "rare";
  fleet.Submit(kJob, {step});
  fleet.Pass(milliseconds{1000});
  const auto [agent, run] = fleet.Find({kJob, 0, 0, 0});
  REQUIRE(agent == "g");
  fleet.Crash(agent, {run});
  fleet.Pass(milliseconds{2000});
  CHECK(fleet.Find({kJob, 0, 0, 0}).first == "g");
  CHECK(fleet.Isolated().empty());
}

// Guards against a long-running task that waits for ever for a worker that other such tasks fill,
// while another worker is empty (review/9).
TEST_CASE("a suspect starts on a worker with room although the least loaded usable one was full") {
  crash_fixture fleet;
  step_spec step = TestStep(22, 5000);
  step.long_running = true;
  fleet.Submit(kJob, {step});
  fleet.Pass(milliseconds{1000});
  const task_id last{kJob, 0, 0, 21};
  const auto [agent, run] = fleet.Find(last);
  REQUIRE(fleet.Worker(agent).running.size() == 1);
  fleet.CrashForLong(agent, {run});
  fleet.Pass(milliseconds{1500});
  CHECK(fleet.Find(last).first == agent);
  CHECK(fleet.Isolated().empty());
}

// Guards against a suspect that waits for ever for a worker at its step's limit of tasks.
TEST_CASE("a suspect starts on a worker that is below the limit of tasks per worker") {
  crash_fixture fleet;
  step_spec step = TestStep(8);
  step.long_running = true;
  step.max_per_worker = 1;
  fleet.Submit(kJob, {step});
  fleet.Pass(milliseconds{1000});
  const task_id task{kJob, 0, 0, 7};
  const auto [agent, run] = fleet.Find(task);
  fleet.CrashForLong(agent, {run});
  fleet.Pass(milliseconds{1500});
  CHECK(fleet.Find(task).first == agent);
  CHECK(fleet.Isolated().empty());
}

// Guards against long-running tasks that wait for each other's trial although nothing crashes.
TEST_CASE("suspects of a crash of many start together once targets have stopped crashing") {
  crash_fixture fleet;
  for (const std::string& agent : Agents()) {
    if (agent != "a") fleet.Worker(agent).state = target_state::draining;
    fleet.Report(agent);
  }
  step_spec step = TestStep(40, 100);
  step.long_running = true;
  fleet.Submit(kJob, {step});
  fleet.Pass(milliseconds{1000});
  std::vector<run_id> suspects;
  for (std::uint32_t index = 0; index < 40; ++index) {
    suspects.push_back(fleet.Find({kJob, 0, 0, index}).second);
  }
  fleet.Crash("a", suspects);
  fleet.Pass(milliseconds{4500});
  CHECK(fleet.Worker("a").running.size() < 20);
  fleet.Pass(milliseconds{1000});
  CHECK(fleet.Worker("a").running.size() == 40);
}

// Guards against innocent tasks that fail on a fleet whose targets often crash by themselves.
TEST_CASE("more crashes rule out a coincidence when targets crash often") {
  core::manual_clock time;
  crash_isolation isolation;
  worker_row worker;
  CHECK(isolation.CrashesAloneOfCulprit(10, time.Now()) == 2);
  for (int crash = 0; crash < 40; ++crash) {
    time.Advance(milliseconds{500});
    isolation.RecordCrash(worker, time.Now());
  }
  CHECK(isolation.CrashesAloneOfCulprit(10, time.Now()) >= 3);
  worker.isolated = true;
  crash_isolation quiet;
  for (int crash = 0; crash < 40; ++crash) quiet.RecordCrash(worker, time.Now());
  CHECK(quiet.CrashesAloneOfCulprit(10, time.Now()) == 2);
  CHECK(quiet.CrashesAloneOfCulprit(10, time.Now(), milliseconds{9000}) == 2);
  CHECK(IsCulprit({.crashes = 4, .alone = 0}, 3));
  CHECK_FALSE(IsCulprit({.crashes = 3, .alone = 1}, 2));
}

}  // namespace coltsfoot::jobs
