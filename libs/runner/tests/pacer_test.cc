#include "runner/pacer.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace coltsfoot::runner {
namespace {

using core::milliseconds;

/// A target with one serving task and filling tasks of two images.
struct pacing_fixture {
  pacing_fixture() {
    Add("s", {.lasting = true, .goal_ms = 100, .image = "s"});
    Add("f1", {.fills = true, .image = "harmful"});
    Add("f2", {.fills = true, .image = "harmless"});
  }

  void Add(const std::string& job, jobs::task_facts known) {
    known.run = {{job, 0, 0, 0}, 1};
    facts.emplace(known.run, known);
    listed.push_back({.task = known.run.task, .run = 1, .checkpoint = "", .reading = 1000});
  }

  /// Lets half a second pass with this tail latency and carries the changes out.
  void Read(std::uint32_t tail_ms) {
    time.Advance(milliseconds{500});
    listed[0].reading = tail_ms;
    for (std::size_t index = 1; index < listed.size(); ++index) {
      listed[index].reading = 10 * Pace(index);
    }
    for (const pace_change& change : control.Update(listed, facts, time.Now())) {
      control.Confirm(change);
    }
  }

  std::uint32_t Pace(std::size_t index) const {
    return control.PaceOf({listed[index].task, listed[index].run});
  }

  core::manual_clock time;
  std::map<jobs::run_id, jobs::task_facts> facts;
  std::vector<jobs::running_task> listed;
  pacer control{{}};
};

// The harm that the users' rules allow lasts four seconds.
constexpr int kReadingsOfHarm = 8;

}  // namespace

// Guards against serving tasks that miss their goal for seconds while filling tasks work beside
// them.
TEST_CASE("filling tasks stop before a missed goal becomes harm") {
  pacing_fixture fixture;
  for (int reading = 0; reading < kReadingsOfHarm - 2; ++reading) fixture.Read(150);
  CHECK(fixture.Pace(1) == 0);
  CHECK(fixture.Pace(2) == 0);
}

// Guards against filling tasks that are stopped for each peak of the serving task's own load.
TEST_CASE("one missed reading stops nothing") {
  pacing_fixture fixture;
  fixture.Read(120);
  fixture.Read(60);
  fixture.Read(120);
  fixture.Read(60);
  CHECK(fixture.Pace(1) == 100);
}

// Guards against harmless filling tasks that are stopped with harmful ones.
TEST_CASE("the image that is known to harm is stopped first") {
  pacing_fixture fixture;
  const auto harmful = fixture.listed[1];
  for (int reading = 0; reading < 20; ++reading) {
    fixture.listed.erase(fixture.listed.begin() + 1);
    fixture.Read(40);
    fixture.listed.insert(fixture.listed.begin() + 1, harmful);
  }
  fixture.Read(150);
  fixture.Read(150);
  fixture.Read(150);
  CHECK(fixture.Pace(1) == 0);
  CHECK(fixture.Pace(2) == 100);
}

// Guards against filling tasks that stay stopped when the reason has passed.
TEST_CASE("filling tasks get their processors back in steps") {
  pacing_fixture fixture;
  for (int reading = 0; reading < 6; ++reading) fixture.Read(150);
  REQUIRE(fixture.Pace(1) == 0);
  fixture.Read(40);
  fixture.Read(40);
  CHECK(fixture.Pace(1) > 0);
  CHECK(fixture.Pace(1) < 100);
  for (int reading = 0; reading < 8; ++reading) fixture.Read(40);
  CHECK(fixture.Pace(1) == 100);
}

}  // namespace coltsfoot::runner
