#include <doctest/doctest.h>

#include <string>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";

}  // namespace

// Guards against jobs that count as begun because their starts were sent to targets out of reach.
TEST_CASE("a job waits until a target reports a run of it") {
  coordinator_fixture fleet;
  fleet.Begin({"a"});
  fleet.Submit(kJob, {TestStep(1)});
  CHECK(fleet.control.CountWaiting("q") == 1);
  fleet.Tick();
  const auto starts = fleet.agents.TakeStarts();
  REQUIRE(starts.size() == 1);
  const run_id run = starts[0].second.facts.run;
  CHECK(fleet.control.CountWaiting("q") == 1);
  fleet.Worker("a").starting = {run};
  fleet.Report("a");
  CHECK(fleet.control.CountWaiting("q") == 1);
  SUBCASE("as running") { fleet.Worker("a").running.push_back({run.task, run.run}); }
  SUBCASE("as ended") { fleet.End("a", run, end_reason::failed); }
  fleet.Worker("a").starting.clear();
  fleet.Report("a");
  CHECK(fleet.control.CountWaiting("q") == 0);
  fleet.Tick();
  fleet.storage.Put(std::string(kLeaderKey), "successor");
  fleet.term = fleet.storage.revision;
  fleet.Worker("a").term = fleet.term;
  fleet.BeginFromStore();
  fleet.control.OnAgentConnected("a");
  fleet.Report("a");
  CHECK(fleet.control.CountWaiting("q") == 0);
}

// Guards against counting cancelled jobs and those of other queues.
TEST_CASE("cancelled jobs and jobs of other queues do not wait") {
  coordinator_fixture fleet;
  fleet.Begin({});
  fleet.Submit(kJob, {TestStep(1)});
  CHECK(fleet.control.CountWaiting("q") == 1);
  CHECK(fleet.control.CountWaiting("other") == 0);
  fleet.Cancel(kJob);
  CHECK(fleet.control.CountWaiting("q") == 0);
}

}  // namespace coltsfoot::jobs
