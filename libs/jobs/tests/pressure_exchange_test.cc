#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::TestStep;

constexpr std::uint32_t kGoalMs = 150;
constexpr double kBase = 2.5;
constexpr double kPressure = 0.15;  ///< headroom that a processor of the filling task takes

step_spec ServingStep() {
  step_spec step = TestStep(1, 4000);
  step.long_running = true;
  step.goal_ms = kGoalMs;
  step.image = "s";
  return step;
}

step_spec FillingStep() {
  step_spec step = TestStep(1, 4000);
  step.fills = true;
  step.image = "f";
  return step;
}

/// Sets the readings of a worker's serving and filling tasks.
void SetReadings(worker_report& worker, double filling_cores) {
  for (running_task& task : worker.running) {
    const bool serves = task.task.job == "0000000000000001";
    const double tail_ms = kGoalMs / (kBase - kPressure * filling_cores);
    task.progress = serves ? 100 : 10;
    task.reading = static_cast<std::uint32_t>(std::lround(serves ? tail_ms : 1000 * filling_cores));
  }
}

}  // namespace

// Guards against an agent that slows harmless tasks because it keeps the uncertainty of the first
// estimate: the mean of a pair whose pressure is close to the default hardly changes, so it was
// never sent again.
TEST_CASE("an agent gets a pressure again when its uncertainty has fallen") {
  coordinator_fixture fleet;
  fleet.Begin({"a"});
  fleet.Submit("0000000000000001", {ServingStep()});
  fleet.Submit("0000000000000002", {FillingStep()});
  fleet.Tick();
  fleet.RunCommands();
  fleet.agents.grants.clear();
  std::optional<pair_pressure> latest;
  for (int reading = 0; reading < 100; ++reading) {
    SetReadings(fleet.Worker("a"), reading % 2 == 0 ? 0.0 : 4.0);
    fleet.Tick(milliseconds{500});
    fleet.Report("a");
    for (const auto& [agent, grant] : fleet.agents.grants) {
      if (!grant.pressures.empty()) latest = grant.pressures.front();
    }
    fleet.agents.grants.clear();
  }
  REQUIRE(latest);
  CHECK(latest->mean == doctest::Approx(kPressure).epsilon(0.3));
  // The estimate is within half of its mean.
  CHECK(std::sqrt(latest->variance) < kPressure / 2);
}

// Guards against tasks that miss their goal after a restart of their target: the agent drops all
// pressures with the incarnation, and the coordinator sends only those that have changed.
TEST_CASE("an agent gets all pressures again when its target has restarted") {
  coordinator_fixture fleet;
  fleet.Begin({"a"});
  fleet.Submit("0000000000000001", {ServingStep()});
  fleet.Submit("0000000000000002", {FillingStep()});
  fleet.Tick();
  fleet.RunCommands();
  for (int reading = 0; reading < 100; ++reading) {
    SetReadings(fleet.Worker("a"), reading % 2 == 0 ? 0.0 : 4.0);
    fleet.Tick(milliseconds{500});
    fleet.Report("a");
  }
  fleet.agents.grants.clear();
  fleet.agents.commands.clear();
  worker_report& worker = fleet.Worker("a");
  worker.running.clear();
  SUBCASE("under its name") { worker.incarnation.started_ms = 2; }
  SUBCASE("under another name") { worker.incarnation = {"target-b", 2}; }
  fleet.Report("a");
  for (int report = 0; report < 4; ++report) {
    fleet.Tick(milliseconds{500});
    fleet.RunCommands();
  }
  REQUIRE(fleet.Worker("a").running.size() == 2);
  const auto& grants = fleet.agents.grants;
  CHECK(std::any_of(grants.begin(), grants.end(),
                    [](const auto& each) { return !each.second.pressures.empty(); }));
}

}  // namespace coltsfoot::jobs
