#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "runner_fixture.h"

// A target that restarts under its name executes calls that were meant for its earlier incarnation:
// the header that names the intended target cannot tell them apart, and its clock begins anew.
namespace coltsfoot::runner {
namespace {

using core::milliseconds;
using testing::runner_fixture;
using testing::scripted_target;

struct kept_name_fixture : runner_fixture {
  /// The target restarts and has answered a poll.
  void Restart(const std::string& name, std::vector<jobs::running_task> running = {}) {
    announcement.incarnation = {name, ++started_ms};
    target.poll_answers.clear();
    agent.OnAnnouncement(announcement);
    Pass(milliseconds{50});
    AnswerPoll(std::move(running));
    Grant();
    Pass(milliseconds{50});
  }

  void AnswerPoll(std::vector<jobs::running_task> running = {}) {
    target_lists lists{.clock_ms = 1000, .started_ms = started_ms};
    lists.running = std::move(running);
    scripted_target::AnswerNext(target.poll_answers, std::optional(lists));
  }

  /// Answers polls while time passes.
  void PassWithPolls(milliseconds duration, const std::vector<jobs::running_task>& running) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
      if (!target.poll_answers.empty()) AnswerPoll(running);
      Pass(milliseconds{50});
    }
  }

  bool IsGone() const {
    return std::any_of(coordinator.reports.begin(), coordinator.reports.end(),
                       [](const auto& each) { return each.state == jobs::target_state::gone; });
  }

  std::uint64_t started_ms = 1;
};

std::vector<jobs::running_task> RunningOne() {
  return {{.task = runner_fixture::Run(1).task, .run = 1}};
}

std::vector<jobs::run_id> RunOne() { return {runner_fixture::Run(1)}; }

}  // namespace

// Guards against a task that is started elsewhere while the next incarnation executes its start.
TEST_CASE("a start on its way when its target restarts under its name is stopped there first") {
  kept_name_fixture fixture;
  fixture.IssueCommand(1);
  SUBCASE("its call has no answer yet") {}
  SUBCASE("its call ran into a timeout") {
    scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  }
  SUBCASE("its call ran into a timeout and a further one was answered") {
    scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
    fixture.Pass(milliseconds{150});
    scripted_target::AnswerNext(
        fixture.target.start_answers,
        command_reply{.status = command_status::ok, .clock_ms = fixture.TargetClock()});
    fixture.Answer(RunningOne());
  }
  fixture.Restart("t");
  CHECK(fixture.LastListing().incarnation == fixture.announcement.incarnation);
  CHECK(fixture.LastListing().starting == RunOne());
  REQUIRE(fixture.target.stops == RunOne());
  fixture.PassWithPolls(milliseconds{1100}, {});
  CHECK(fixture.LastListing().starting == RunOne());
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.PassWithPolls(milliseconds{1100}, {});
  CHECK(fixture.LastListing().starting == RunOne());
  fixture.PassWithPolls(milliseconds{15'000}, {});
  CHECK(fixture.LastListing().starting.empty());
  CHECK(fixture.target.starts.size() <= 2);
}

// Guards against a late start that goes on beside another run of its task.
TEST_CASE("a start that a restarted target has executed for its earlier incarnation is stopped") {
  kept_name_fixture fixture;
  fixture.IssueCommand(1);
  fixture.Restart("t", RunningOne());
  CHECK(fixture.LastListing().running.size() == 1);
  CHECK(fixture.target.stops == RunOne());
}

// Guards against a start that a target executes after its agent has counted it as gone.
TEST_CASE("a start without an answer is stopped when its target returns after it was gone") {
  kept_name_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{7000});
  REQUIRE(fixture.IsGone());
  fixture.AnswerPoll();
  fixture.Grant();
  fixture.Pass(milliseconds{50});
  CHECK(fixture.LastListing().state == jobs::target_state::ready);
  CHECK(fixture.LastListing().starting == RunOne());
  CHECK(fixture.target.stops == RunOne());
}

// Guards against a task that starts elsewhere while its target, cut off again after its first
// answer, executes a late start.
TEST_CASE("a late start is reported while the next incarnation has not announced itself") {
  kept_name_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  std::vector<jobs::running_task> running;
  SUBCASE("it has not begun") {}
  SUBCASE("it has begun") { running = RunningOne(); }
  ++fixture.started_ms;
  fixture.AnswerPoll(running);  // by the next incarnation
  if (!fixture.target.poll_answers.empty()) fixture.AnswerPoll(running);
  fixture.Pass(milliseconds{14'000});
  const jobs::worker_report& report = fixture.coordinator.reports.back();
  CHECK_FALSE(report.listed);
  CHECK(report.starting == RunOne());
}

// Guards against stops for calls that a target under another name does not execute.
TEST_CASE("a start on its way to a target that restarts under another name is not stopped") {
  kept_name_fixture fixture;
  fixture.IssueCommand(1);
  fixture.Restart("t-2");
  CHECK(fixture.LastListing().starting.empty());
  CHECK(fixture.target.stops.empty());
}

// Guards against runs that go on after the agent's lease, under a lease that an earlier
// incarnation's clock made longer, while the tasks are started elsewhere.
TEST_CASE("the runs of a target that has restarted under its name are stopped with the lease") {
  kept_name_fixture fixture;
  bool stopped = true;
  SUBCASE("same name") { fixture.Restart("t", RunningOne()); }
  SUBCASE("another name") {
    stopped = false;
    fixture.Restart("t-2", RunningOne());
  }
  CHECK(fixture.target.stops.empty());
  fixture.PassWithPolls(milliseconds{4700}, RunningOne());
  CHECK(fixture.target.stops.empty());
  fixture.PassWithPolls(milliseconds{300}, RunningOne());
  CHECK(fixture.target.stops == (stopped ? RunOne() : std::vector<jobs::run_id>{}));
}

// Guards against a silent target that counts as gone while its runs hold such a lease.
TEST_CASE("a target that has restarted under its name is gone only after its longest lease") {
  kept_name_fixture fixture;
  milliseconds expected{10'400};
  SUBCASE("same name") { fixture.Restart("t", RunningOne()); }
  SUBCASE("another name") {
    expected = milliseconds{5300};
    fixture.Restart("t-2", RunningOne());
  }
  fixture.Pass(expected - milliseconds{200});
  CHECK_FALSE(fixture.IsGone());
  fixture.Pass(milliseconds{500});
  CHECK(fixture.IsGone());
}

}  // namespace coltsfoot::runner
