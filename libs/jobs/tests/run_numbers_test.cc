#include "jobs/run_numbers.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::kRunBound;
using testing::memory_store;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";
constexpr auto kOtherJob = "00000000000000bb";

struct numbered_fleet : coordinator_fixture {
  /// Another coordinator takes over with the contents of the store.
  void BeginNextTerm() {
    agents.commands.clear();
    storage.Put(std::string(kLeaderKey), "successor");
    term = storage.revision;
    for (auto& [agent, report] : reports) report.term = term;
    BeginFromStore();
    for (const auto& [agent, report] : reports) {
      control.OnAgentConnected(agent);
      Report(agent);
    }
  }

  /// @return the numbers of the runs that are commanded until `duration` has passed.
  std::vector<std::uint32_t> StartedRuns(milliseconds duration = milliseconds{500}) {
    std::vector<std::uint32_t> out;
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
      Tick(milliseconds{50});
      for (const auto& [agent, start] : agents.TakeStarts()) out.push_back(start.facts.run.run);
    }
    return out;
  }
};

}  // namespace

// Guards against run numbers that grow with the store's revision until no target's lists can be
// read (review/7).
TEST_CASE("run numbers stay small in a store that has had billions of changes") {
  numbered_fleet fleet;
  fleet.storage.revision = 5'000'000'000;
  fleet.Begin({"a"});
  fleet.Submit(kJob, {TestStep(1)});
  fleet.BeginNextTerm();
  fleet.Submit(kOtherJob, {TestStep(1)});
  const std::vector<std::uint32_t> runs = fleet.StartedRuns();
  REQUIRE(runs.size() == 2);
  for (const std::uint32_t run : runs) CHECK(run <= kRunBound + 1);
}

// Guards against a number that an earlier coordinator used for a run that nobody reports.
TEST_CASE("a new coordinator numbers runs above all of an earlier one that stored no progress") {
  numbered_fleet fleet;
  fleet.Begin({"a"});
  step_spec step = TestStep(1);
  step.long_running = true;
  fleet.Submit(kJob, {step});
  std::uint32_t highest = 0;
  for (int restart = 0; restart < 3000; ++restart) {
    fleet.Tick();
    const auto starts = fleet.agents.TakeStarts();
    REQUIRE(starts.size() == 1);
    highest = starts[0].second.facts.run.run;
    fleet.End("a", starts[0].second.facts.run, end_reason::failed);
    fleet.Report("a");
    fleet.Worker("a").ended.clear();
  }
  CHECK(highest >= 3000);
  fleet.storage.entries.erase(ProgressKey(kJob));
  fleet.BeginNextTerm();
  const std::vector<std::uint32_t> runs = fleet.StartedRuns();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0] > highest);
}

// Guards against a start whose number a new coordinator would use again.
TEST_CASE("a task starts only once its run number is reserved in the store") {
  numbered_fleet fleet;
  fleet.storage.entries.erase(std::string(kRunBoundKey));
  fleet.storage.mode = memory_store::write_mode::write_lost;
  fleet.Begin({"a"});
  fleet.Submit(kJob, {TestStep(1)});
  CHECK(fleet.StartedRuns().empty());
  SUBCASE("the next write succeeds") { fleet.storage.mode = memory_store::write_mode::normal; }
  SUBCASE("the next write succeeds without an answer") {
    fleet.storage.mode = memory_store::write_mode::answer_lost;
  }
  CHECK(fleet.StartedRuns() == std::vector<std::uint32_t>{1});
}

// Guards against resources that stay committed to a start that waits for its number.
TEST_CASE("a start that waits for its run number commits nothing") {
  numbered_fleet fleet;
  fleet.storage.entries.erase(std::string(kRunBoundKey));
  fleet.storage.mode = memory_store::write_mode::write_lost;
  fleet.Begin({"a"});
  fleet.Submit(kJob, {TestStep(1, 16'000)});
  CHECK(fleet.StartedRuns().empty());
  fleet.storage.mode = memory_store::write_mode::normal;
  CHECK(fleet.StartedRuns().size() == 1);
}

// Guards against a deposed coordinator that reserves numbers beside its successor.
TEST_CASE("a coordinator whose reservation is rejected steps down") {
  numbered_fleet fleet;
  fleet.Begin({"a"});
  fleet.storage.Put(std::string(kLeaderKey), "another");
  fleet.Tick();
  CHECK(fleet.authority.deposed);
}

// Guards against numbers that wrap round after a damaged one.
TEST_CASE("no task starts under a number above the highest") {
  numbered_fleet fleet;
  fleet.storage.Put(std::string(kRunBoundKey), wire::EncodeValue(run_bound_record{kMaxRun}));
  fleet.Submit(kJob, {TestStep(1)});
  fleet.storage.Put(std::string(kLeaderKey), "successor");
  fleet.term = fleet.storage.revision;
  fleet.Begin({"a"});
  CHECK(fleet.StartedRuns().empty());
  fleet.Submit(kOtherJob, {TestStep(1)});
  CHECK(fleet.StartedRuns() == std::vector<std::uint32_t>{1});
}

}  // namespace coltsfoot::jobs
