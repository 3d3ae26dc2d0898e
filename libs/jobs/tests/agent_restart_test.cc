#include <doctest/doctest.h>

#include <string>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";

/// Adds ends of another job until the target's list is full.
void FillEndList(worker_report& worker) {
  for (std::uint32_t number = 1; number <= kMaxListedEnds; ++number) {
    worker.ended.push_back({.number = number,
                            .task = {"00000000000000ab", 0, 0, number},
                            .run = 1,
                            .reason = end_reason::done,
                            .checkpoint = ""});
  }
  worker.ends_omitted = true;
}

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
  FillEndList(fleet.Worker(agent));
  fleet.Report(agent);
  fleet.Tick();
  REQUIRE_FALSE(fleet.agents.commands.empty());
  CHECK(fleet.agents.commands.back().second.facts.size() == 1);
  CHECK(fleet.agents.TakeStarts().empty());
  // This report was sent before the agent received the commands that name its runs.
  fleet.Report(agent);
  fleet.Tick();
  CHECK(fleet.agents.TakeStarts().empty());
}

// Guards against a takeover that starts tasks again whose ends a full list leaves out.
TEST_CASE("a new coordinator starts no known task before a worker has listed all its ends") {
  coordinator_fixture fleet;
  fleet.storage.Put(AgentKey("a"), "10.0.0.1:7000");
  fleet.Submit(kJob, {TestStep(1)});
  // The job is older than the term, so an earlier coordinator may have started it.
  fleet.storage.Put(std::string(kLeaderKey), "leader");
  fleet.term = fleet.storage.revision;
  fleet.BeginFromStore();
  fleet.control.OnAgentConnected("a");
  FillEndList(fleet.Worker("a"));
  fleet.Report("a");
  fleet.Tick();
  CHECK(fleet.agents.TakeStarts().empty());
  REQUIRE_FALSE(fleet.agents.grants.empty());
  CHECK(fleet.agents.grants.back().second.stored_end == kMaxListedEnds);
  // A confirmed end leaves the agent's list before the target lists the next ones.
  worker_report& worker = fleet.Worker("a");
  worker.ended.erase(worker.ended.begin(), worker.ended.begin() + 300);
  fleet.Report("a");
  fleet.Tick();
  CHECK(fleet.agents.TakeStarts().empty());
  worker.ended = {{.number = kMaxListedEnds + 1,
                   .task = {kJob, 0, 0, 0},
                   .run = 1,
                   .reason = end_reason::done,
                   .checkpoint = ""}};
  worker.ends_omitted = false;
  fleet.Report("a");
  fleet.Tick();
  CHECK(fleet.agents.TakeStarts().empty());
  CHECK(fleet.control.StateOf(kJob) == job_state::complete);
}

}  // namespace coltsfoot::jobs
