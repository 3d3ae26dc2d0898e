#include <doctest/doctest.h>

#include <string>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";

}  // namespace

// Guards against absence from a restarted agent's first list that is taken for the end of a run.
TEST_CASE("a run that a restarted agent does not know is not started elsewhere") {
  coordinator_fixture fleet;
  fleet.Begin({"a", "b"});
  fleet.Submit(kJob, {TestStep(1)});
  fleet.Tick();
  const auto starts = fleet.agents.TakeStarts();
  REQUIRE(starts.size() == 1);
  const std::string agent = starts[0].first;
  fleet.Worker(agent).starting.push_back(starts[0].second.facts.run);
  fleet.Report(agent);
  // A command of the new connection that arrives before the agent knows its target.
  fleet.control.OnAgentDisconnected(agent);
  fleet.control.OnAgentConnected(agent);
  fleet.Worker(agent).agent_incarnation = 2;
  fleet.Worker(agent).starting.clear();
  fleet.Worker(agent).commands_seen = 1;
  fleet.Report(agent);
  fleet.Tick();
  const auto again = fleet.agents.TakeStarts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].first == agent);
  CHECK(again[0].second.facts.run == starts[0].second.facts.run);
  CHECK_FALSE(starts[0].second.repeated);
  CHECK(again[0].second.repeated);
}

// Guards against a run that counts as ended because a full list of ends leaves its end out.
TEST_CASE("a run whose end a restarted agent cannot list yet is not started again") {
  coordinator_fixture fleet;
  fleet.Begin({"a", "b"});
  fleet.Submit(kJob, {TestStep(1)});
  fleet.Tick();
  const auto starts = fleet.agents.TakeStarts();
  REQUIRE(starts.size() == 1);
  const std::string agent = starts[0].first;
  const run_id run = starts[0].second.facts.run;
  fleet.Worker(agent).running.push_back({.task = run.task, .run = run.run});
  fleet.Report(agent);
  fleet.control.OnAgentDisconnected(agent);
  fleet.control.OnAgentConnected(agent);
  fleet.Worker(agent).agent_incarnation = 2;
  fleet.Worker(agent).running.clear();
  for (std::uint32_t number = 1; number <= kMaxListedEnds; ++number) {
    fleet.Worker(agent).ended.push_back({.number = number,
                                         .task = {"00000000000000ab", 0, 0, number},
                                         .run = 1,
                                         .reason = end_reason::done,
                                         .checkpoint = ""});
  }
  fleet.Report(agent);
  fleet.Tick();
  REQUIRE_FALSE(fleet.agents.commands.empty());
  CHECK(fleet.agents.commands.back().second.facts.size() == 1);
  CHECK(fleet.agents.TakeStarts().empty());
}

}  // namespace coltsfoot::jobs
