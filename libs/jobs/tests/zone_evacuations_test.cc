#include "jobs/zone_evacuations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::TestStep;

constexpr milliseconds kBound{5000};
constexpr auto kJob = "00000000000000aa";

/// Two workers in each of the zones a and b. The view of the zones is confirmed by the test.
struct zones_fixture {
  zones_fixture() {
    fleet.time.Advance(milliseconds{10'000});
    fleet.control.ObserveEvacuations(view);
    for (const char* agent : {"a-0", "a-1", "b-0", "b-1"}) {
      fleet.Worker(agent).zone = std::string(agent).substr(0, 1);
      fleet.Worker(agent).sent_ms = 700'000;
    }
    fleet.Begin({"a-0", "a-1", "b-0", "b-1"});
    fleet.Tick();
  }

  void Read(std::set<std::string, std::less<>> zones) {
    view.Replace(std::move(zones));
    view.Confirm(fleet.time.Now());
  }

  /// Runs the fleet for a while with a current view.
  /// @return the zones in which tasks started, one letter for each start.
  std::string Starts(milliseconds duration = milliseconds{1000}) {
    std::string zones;
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
      view.Confirm(fleet.time.Now());
      fleet.Tick(milliseconds{100});
      for (const auto& [agent, message] : fleet.agents.commands) {
        zones.append(message.starts.size(), agent.front());
      }
      fleet.RunCommands();
    }
    return zones;
  }

  std::uint64_t Waits(std::string_view reason) {
    return fleet.metrics.GetCounter("coltsfoot_plan_waits_total", {"reason", reason}).value();
  }

  /// Ends all runs on the workers of a zone.
  void EndRuns(char zone, end_reason reason) {
    for (const char* agent : {"a-0", "a-1", "b-0", "b-1"}) {
      if (*agent != zone) continue;
      const auto running = fleet.Worker(agent).running;
      for (const running_task& each : running) fleet.End(agent, {each.task, each.run}, reason);
    }
  }

  coordinator_fixture fleet;
  zone_evacuations view{kBound, fleet.metrics};
};

}  // namespace

// Guards against a view that counts as current for longer than an evacuation may be unknown.
TEST_CASE("a view is used for less than the bound after it was confirmed") {
  metrics::registry metrics;
  zone_evacuations view(kBound, metrics);
  const core::mono_time read_at{milliseconds{60'000}};
  CHECK_FALSE(view.IsCurrent({}));
  view.Replace({"a"});
  CHECK_FALSE(view.IsCurrent({}));
  view.Confirm(read_at);
  CHECK(view.IsCurrent(read_at + milliseconds{3400}));
  CHECK_FALSE(view.IsCurrent(read_at + milliseconds{3500}));
  CHECK(view.refresh_at() == read_at + milliseconds{2500});
  // Answers may overtake each other.
  view.Confirm(read_at - milliseconds{1000});
  CHECK(view.start_limit() == read_at + milliseconds{3500});
  view.Set("b", true);
  view.Replace({"b", "c"});
  CHECK_FALSE(view.Contains("a"));
  CHECK(view.Contains("b"));
  CHECK(metrics.GetGauge("coltsfoot_evacuated_zones").value() == 2);
}

// Guards against starts in an evacuated zone, and against stopping or forgetting what runs there.
TEST_CASE("tasks start outside an evacuated zone only, until it is taken back") {
  zones_fixture test;
  test.Read({"a"});
  test.fleet.Submit(kJob, {TestStep(40)});
  const std::string first = test.Starts();
  CHECK(first == std::string(32, 'b'));
  test.view.Set("a", false);
  CHECK(test.Starts() == std::string(8, 'a'));
  test.view.Set("a", true);
  test.Starts();
  CHECK(test.fleet.Worker("a-0").running.size() + test.fleet.Worker("a-1").running.size() == 8);
  CHECK(Summarize({}, test.fleet.control.workers(), test.fleet.time.Now()).evacuated == 2);
}

// Guards against a long-running task that restarts in the zone that it ran in before.
TEST_CASE("long-running tasks and suspects of crashes restart outside an evacuated zone") {
  zones_fixture test;
  test.Read({"b"});
  step_spec lasting = TestStep(6);
  lasting.long_running = true;
  test.fleet.Submit(kJob, {lasting});
  REQUIRE(test.Starts() == "aaaaaa");
  test.Read({"a"});
  SUBCASE("after their runs have ended") {
    test.EndRuns('a', end_reason::failed);
    CHECK(test.Starts() == "bbbbbb");
  }
  SUBCASE("after their targets have crashed") {
    for (const char* agent : {"a-0", "a-1"}) {
      worker_report& report = test.fleet.Worker(agent);
      for (const running_task& each : report.running) {
        report.crashed.push_back({{each.task, each.run}, 10, true});
      }
      report.running.clear();
      report.incarnation.started_ms = 2;
      test.fleet.Report(agent);
      report.crashed.clear();
    }
    const std::string starts = test.Starts(milliseconds{9000});
    CHECK(starts.size() >= 6);
    CHECK(starts.find('a') == std::string::npos);
  }
}

// Guards against suspects that wait for a worker which an evacuation keeps from taking them.
TEST_CASE("suspects get an isolated worker elsewhere once the zone of theirs is evacuated") {
  zones_fixture test;
  test.Read({"b"});
  test.fleet.Submit(kJob, {TestStep(1)});
  // The worker does not accept the suspect at once, since a start there was just commanded.
  REQUIRE(test.Starts(milliseconds{100}) == "a");
  const job_row& job = *test.fleet.control.FindJob(kJob);
  REQUIRE(job.tasks[0].copies.size() == 1);
  const task_copy copy = job.tasks[0].copies.front();
  worker_report& report = test.fleet.Worker(copy.agent);
  report.running.clear();
  report.incarnation.started_ms = 2;
  report.crashed = {{{{kJob, 0, 0, 0}, copy.run}, 10, true}};
  test.fleet.Report(copy.agent);
  report.crashed.clear();
  test.fleet.Tick(milliseconds{100});
  REQUIRE(test.fleet.control.workers().at(copy.agent).isolated);
  test.Read({"a"});
  CHECK(test.Starts() == "b");
}

// Guards against an idle fleet that does not say why, and against a stuck task that loses its run
// although no worker may take it.
TEST_CASE("with all zones evacuated jobs wait and running tasks stay") {
  zones_fixture test;
  test.Read({});
  test.fleet.Submit(kJob, {TestStep(4)});
  REQUIRE(test.Starts().size() == 4);
  test.Read({"a", "b", "unknown"});
  test.fleet.Submit("00000000000000ab", {TestStep(4)});
  CHECK(test.Starts(milliseconds{6000}).empty());
  CHECK(test.Waits("evacuated") > 0);
  std::size_t running = 0;
  for (const auto& [agent, report] : test.fleet.reports) running += report.running.size();
  CHECK(running == 4);
  test.view.Set("b", false);
  CHECK(test.Starts().substr(0, 4) == "bbbb");
}

// Guards against a stuck task that loses its run although only evacuated workers have its label.
TEST_CASE("a stuck task stays if all workers with its label are evacuated") {
  zones_fixture test;
  for (const char* agent : {"a-0", "a-1"}) {
    test.fleet.Worker(agent).labels = {"disk"};
    test.fleet.Report(agent);
  }
  test.Read({});
  step_spec step = TestStep(1);
  step.label = "disk";
  test.fleet.Submit(kJob, {step});
  REQUIRE(test.Starts() == "a");
  test.Read({"a"});
  test.Starts(milliseconds{6000});
  CHECK(test.fleet.Worker("a-0").running.size() + test.fleet.Worker("a-1").running.size() == 1);
}

// Guards against a coordinator that starts tasks by a view that may miss an evacuation: because it
// never read one, or because its watch has gone silent.
TEST_CASE("no task starts without a current view") {
  zones_fixture test;
  test.fleet.Submit(kJob, {TestStep(4)});
  test.fleet.Tick(milliseconds{100});
  CHECK(test.fleet.agents.TakeStarts().empty());
  test.Read({});
  test.fleet.time.Advance(milliseconds{1400});
  for (const auto& [agent, report] : test.fleet.reports) test.fleet.Report(agent);
  test.fleet.time.Advance(milliseconds{1400});
  for (const auto& [agent, report] : test.fleet.reports) test.fleet.Report(agent);
  test.fleet.time.Advance(milliseconds{700});
  test.fleet.Tick();
  CHECK(test.fleet.agents.TakeStarts().empty());
  CHECK(test.fleet.metrics.GetCounter("coltsfoot_plans_without_evacuations_total").value() > 0);
  test.view.Confirm(test.fleet.time.Now());
  test.fleet.Tick();
  CHECK(test.fleet.agents.TakeStarts().size() == 4);
}

// Guards against an expiry that the agent's clock reaches later than the coordinator's clock
// reaches the limit of its view.
TEST_CASE("starts expire with the view that they were planned by") {
  zones_fixture test;
  test.Read({});
  test.fleet.time.Advance(milliseconds{800});
  for (const auto& [agent, report] : test.fleet.reports) test.fleet.Report(agent);
  test.fleet.time.Advance(milliseconds{300});
  test.fleet.Submit(kJob, {TestStep(4)});
  test.fleet.control.Tick();
  test.fleet.storage.Pump();
  test.fleet.control.Tick();
  const auto starts = test.fleet.agents.TakeStarts();
  REQUIRE(starts.size() == 4);
  // The report arrived 800 ms after the view was confirmed, which is used for 3500 ms.
  for (const auto& [agent, start] : starts) CHECK(start.expires_ms == 700'000 + 2700);
}

// Guards against a start that is sent again, with a new connection, to a zone evacuated meanwhile.
TEST_CASE("repeated starts to an evacuated zone have expired, and refused ones are placed again") {
  zones_fixture test;
  test.Read({"b"});
  test.fleet.Submit(kJob, {TestStep(1)});
  test.fleet.Tick(milliseconds{100});
  const auto first = test.fleet.agents.TakeStarts();
  REQUIRE(first.size() == 1);
  const std::string agent = first.front().first;
  test.Read({"a"});
  test.fleet.Worker(agent).commands_seen = 0;
  test.fleet.control.OnAgentConnected(agent);
  test.fleet.Report(agent);
  test.fleet.Tick();
  const auto repeated = test.fleet.agents.TakeStarts();
  REQUIRE(repeated.size() == 1);
  CHECK(repeated.front().second.repeated);
  CHECK(repeated.front().second.expires_ms == 1);
  test.fleet.Worker(agent).refused = {{first.front().second.facts.run, start_refusal::expired}};
  test.fleet.Report(agent);
  test.fleet.Worker(agent).refused.clear();
  CHECK(test.Starts() == "b");
  const task_row& task = test.fleet.control.FindJob(kJob)->tasks[0];
  CHECK(task.progress.failed_runs.empty());
  CHECK(task.failed_on.empty());
}

// Guards against behaviour that changes where the bound is not set.
TEST_CASE("without a view starts have no expiry") {
  coordinator_fixture fleet;
  fleet.Begin({"a"});
  fleet.Submit(kJob, {TestStep(1)});
  fleet.Tick();
  const auto starts = fleet.agents.TakeStarts();
  REQUIRE(starts.size() == 1);
  CHECK(starts.front().second.expires_ms == 0);
}

}  // namespace coltsfoot::jobs
