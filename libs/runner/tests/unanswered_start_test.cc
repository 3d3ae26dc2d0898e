#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runner_fixture.h"

namespace coltsfoot::runner {
namespace {

using core::milliseconds;
using testing::kJob;
using testing::runner_fixture;
using testing::scripted_target;

}  // namespace

// Guards against a refusal that is taken for the outcome of an earlier call without an answer.
TEST_CASE("an unanswered start whose retry is refused is stopped before it counts as refused") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{150});
  scripted_target::AnswerNext(
      fixture.target.start_answers,
      command_reply{.status = command_status::refused, .refusal = jobs::start_refusal::unhealthy});
  fixture.Pass(milliseconds{1100});
  const jobs::worker_report& report = fixture.LastListing();
  CHECK(report.starting == std::vector{runner_fixture::Run(1)});
  CHECK(report.refused.empty());
  CHECK(fixture.target.starts.size() == 2);
  REQUIRE(fixture.target.stops == std::vector{runner_fixture::Run(1)});
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.PassWithEmptyLists(milliseconds{12'500});
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
  CHECK(fixture.Refusals().empty());
  fixture.PassWithEmptyLists(milliseconds{2500});
  CHECK(fixture.LastListing().starting.empty());
  CHECK(fixture.Refusals().size() == 1);
}

// Guards against a stop that a target refused and that counts as executed.
TEST_CASE("a stop that an unhealthy target refuses is repeated") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.IssueStop(1);
  REQUIRE(fixture.target.stops.size() == 1);
  scripted_target::AnswerNext(
      fixture.target.stop_answers,
      command_reply{.status = command_status::refused, .refusal = jobs::start_refusal::unhealthy});
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.target.stops.size() == 2);
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
}

// Guards against a run that a late start began before the stop and that counts as ended although it
// runs.
TEST_CASE("a stopped start leaves the list only with a poll sent after the stop") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.IssueStop(1);
  fixture.Pass(milliseconds{50});
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
  fixture.Answer({});
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
  fixture.Answer({});
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.LastListing().starting.empty());
}

// Guards against a run that counts as refused although an earlier call for it may have begun it.
TEST_CASE("an unanswered start that is commanded again without a lease is stopped") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.time.Advance(milliseconds{5100});
  fixture.IssueCommand(1);
  CHECK(fixture.target.stops == std::vector{runner_fixture::Run(1)});
  fixture.Pass(milliseconds{100});
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
  CHECK(fixture.LastListing().refused.empty());
}

// Guards against a start of an agent's earlier process that counts as never sent.
TEST_CASE("a repeated start is stopped before it counts as refused by a draining target") {
  runner_fixture fixture;
  fixture.announcement.draining = true;
  fixture.announcement.sequence = 2;
  fixture.agent.OnAnnouncement(fixture.announcement);
  fixture.IssueCommand(1, true);
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.target.starts.empty());
  CHECK(fixture.target.stops == std::vector{runner_fixture::Run(1)});
  CHECK(fixture.LastListing().starting == std::vector{runner_fixture::Run(1)});
  CHECK(fixture.LastListing().refused.empty());
}

// Guards against a list of an earlier term that lacks a start which the target still accepts.
TEST_CASE("a restarted agent lists runs to a new coordinator only after a poll in its term") {
  runner_fixture fixture;
  const auto listed = [&] {
    return std::any_of(fixture.coordinator.reports.begin(), fixture.coordinator.reports.end(),
                       [](const auto& report) { return report.term == 6 && report.listed; });
  };
  fixture.agent.OnHello(6);
  fixture.Pass(milliseconds{600});
  CHECK_FALSE(listed());
  fixture.Answer({});
  fixture.Pass(milliseconds{100});
  CHECK_FALSE(listed());
  REQUIRE(fixture.target.polls_sent.back().fence == fixture.FenceOf(6));
  fixture.Answer({});
  fixture.Pass(milliseconds{100});
  CHECK(listed());
}

// Guards against a start with a new fencing token that the new coordinator does not know of.
TEST_CASE("a start is repeated in a new term only after its coordinator has commanded it") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.agent.OnHello(6);
  fixture.Pass(milliseconds{300});
  CHECK(fixture.target.starts.size() == 1);
  jobs::worker_commands commands{
      .term = 6, .sequence = 1, .incarnation = fixture.announcement.incarnation};
  commands.starts.push_back({.facts = {.run = runner_fixture::Run(1)}, .payload = "p"});
  fixture.agent.OnCommands(commands);
  REQUIRE(fixture.target.starts.size() == 2);
  CHECK(fixture.target.starts[1].fence == fixture.FenceOf(6));
}

// Guards against a silent target that counts as gone under the lease of an agent's earlier process.
TEST_CASE("a restarted agent waits for its earlier process's lease before its target is gone") {
  runner_fixture fixture;
  runner agent({.agent = "a", .agent_incarnation = 2}, fixture.time, fixture.metrics,
               fixture.target, fixture.coordinator);
  fixture.coordinator.reports.clear();
  fixture.target.poll_answers.clear();
  agent.OnAnnouncement(fixture.announcement);
  agent.OnHello(5);
  agent.Tick();
  fixture.Answer({{.task = runner_fixture::Run(1).task, .run = 1}});
  agent.Tick();
  const auto gone = [&] {
    return std::any_of(fixture.coordinator.reports.begin(), fixture.coordinator.reports.end(),
                       [](const auto& each) { return each.state == jobs::target_state::gone; });
  };
  milliseconds passed{0};
  for (; !gone() && passed < milliseconds{20'000}; passed += milliseconds{50}) {
    fixture.time.Advance(milliseconds{50});
    if (passed % milliseconds{1500} == milliseconds{0}) {
      while (!fixture.target.poll_answers.empty()) {
        scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>{});
      }
    }
    agent.Tick();
  }
  CHECK(passed > milliseconds{5000});
  CHECK(passed < milliseconds{7000});
}

// Guards against a start that stays in the list for ever because its stop is done.
TEST_CASE("a start that is commanded again after its stop leaves the list") {
  runner_fixture fixture;
  fixture.IssueStop(1);
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.IssueCommand(1, true);
  for (int poll = 0; poll < 4; ++poll) {
    fixture.Grant();
    if (!fixture.target.poll_answers.empty()) fixture.Answer({});
    fixture.Pass(milliseconds{1000});
  }
  CHECK(fixture.LastListing().starting.empty());
}

// Guards against an abandoned start that disappears without a reason.
TEST_CASE("an unanswered start that was abandoned is reported as refused in the end") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{150});
  scripted_target::AnswerNext(
      fixture.target.start_answers,
      command_reply{.status = command_status::refused, .refusal = jobs::start_refusal::unhealthy});
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.PassWithEmptyLists(milliseconds{15'500});
  const std::vector<jobs::refused_run> expected{
      {runner_fixture::Run(1), jobs::start_refusal::unhealthy}};
  CHECK(fixture.Refusals() == expected);
  CHECK(fixture.LastListing().starting.empty());
}

// Guards against a run of an earlier process that is forgotten because a full list of ends leaves
// its end out.
TEST_CASE("a restarted agent lists runs that it is told of while its list of ends is full") {
  runner_fixture fixture;
  std::vector<jobs::ended_run> ends;
  for (std::uint32_t number = 1; number <= jobs::kMaxListedEnds; ++number) {
    ends.push_back({.number = number, .task = {kJob, 0, 1, number}, .run = 1});
  }
  fixture.Answer({}, ends);
  jobs::worker_commands commands{
      .term = 5, .sequence = 1, .incarnation = fixture.announcement.incarnation};
  commands.facts.push_back({.run = runner_fixture::Run(1)});
  fixture.agent.OnCommands(commands);
  fixture.Pass(milliseconds{100});
  REQUIRE(fixture.LastListing().running.size() == 1);
  CHECK(fixture.LastListing().running[0].run == 1);
  ends.erase(ends.begin(), ends.begin() + 100);
  ends.push_back({.number = jobs::kMaxListedEnds + 1, .task = {kJob, 0, 0, 0}, .run = 1});
  fixture.Answer({}, ends);
  fixture.Pass(milliseconds{100});
  CHECK(fixture.LastListing().running.empty());
  CHECK(fixture.LastListing().ended.back().number == jobs::kMaxListedEnds + 1);
}

// Guards against a list of ends that seems complete because some of its ends were confirmed.
TEST_CASE("a full list of ends counts as incomplete until the target has listed the next ones") {
  runner_fixture fixture;
  std::vector<jobs::ended_run> ends;
  for (std::uint32_t number = 1; number <= jobs::kMaxListedEnds; ++number) {
    ends.push_back({.number = number, .task = {kJob, 0, 1, number}, .run = 1});
  }
  fixture.Answer({}, ends);
  CHECK(fixture.LastListing().ends_omitted);
  fixture.agent.OnGrant({.term = 5,
                         .echo_ms = core::ToMs(fixture.time.Now().time_since_epoch()),
                         .incarnation = fixture.announcement.incarnation,
                         .stored_end = 300});
  jobs::worker_commands commands{
      .term = 5, .sequence = 1, .incarnation = fixture.announcement.incarnation};
  commands.facts.push_back({.run = runner_fixture::Run(1)});
  fixture.agent.OnCommands(commands);
  fixture.Pass(milliseconds{100});
  CHECK(fixture.LastListing().ended.size() == jobs::kMaxListedEnds - 300);
  CHECK(fixture.LastListing().ends_omitted);
  CHECK(fixture.LastListing().running.size() == 1);
  fixture.Answer({}, {{.number = jobs::kMaxListedEnds + 1, .task = {kJob, 0, 0, 0}, .run = 1}});
  CHECK_FALSE(fixture.LastListing().ends_omitted);
  CHECK(fixture.LastListing().running.empty());
}

// Guards against a repeated start that counts as refused by a target that has not seen it.
TEST_CASE("a repeated start for another incarnation is not refused") {
  runner_fixture fixture;
  jobs::worker_commands commands{.term = 5, .sequence = 1, .incarnation = {"other", 7}};
  commands.starts.push_back(
      {.facts = {.run = runner_fixture::Run(1)}, .payload = "p", .repeated = true});
  commands.starts.push_back({.facts = {.run = runner_fixture::Run(2)}, .payload = "p"});
  fixture.agent.OnCommands(commands);
  fixture.Pass(milliseconds{100});
  const std::vector<jobs::refused_run> expected{
      {runner_fixture::Run(2), jobs::start_refusal::not_sent}};
  CHECK(fixture.LastListing().refused == expected);
}

// Guards against suspects that are forgotten when a target crashes again before a report.
TEST_CASE("suspects are reported although the next incarnation ends before it is listed") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  fixture.Pass(milliseconds{150});
  scripted_target::AnswerNext(
      fixture.target.start_answers,
      command_reply{.status = command_status::ok, .clock_ms = fixture.TargetClock()});
  scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>{});
  for (const std::uint64_t started : {2, 3}) {
    fixture.announcement.incarnation = {"t-" + std::to_string(started), started};
    fixture.agent.OnAnnouncement(fixture.announcement);
    fixture.Pass(milliseconds{50});
  }
  fixture.target.poll_answers.pop_front();
  scripted_target::AnswerNext(
      fixture.target.poll_answers,
      std::optional(target_lists{.clock_ms = 5, .started_ms = 3, .running = {}, .ended = {}}));
  fixture.Pass(milliseconds{50});
  const std::vector<jobs::crashed_run> expected{{runner_fixture::Run(1), 0}};
  CHECK(fixture.LastListing().crashed == expected);
  CHECK(fixture.LastListing().refused.empty());
}

// Guards against runs that are lost in a crash without evidence, and evidence against runs that had
// not begun.
TEST_CASE("after a crash the runs that the target had begun are reported with their age") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers,
                              command_reply{.status = command_status::ok, .clock_ms = 1});
  fixture.Answer({{.task = runner_fixture::Run(1).task, .run = 1}});
  fixture.Pass(milliseconds{500});
  for (const std::uint32_t run : {2, 3, 4}) fixture.IssueCommand(run);
  REQUIRE(fixture.target.starts.size() == 3);
  scripted_target::AnswerNext(
      fixture.target.start_answers,
      command_reply{.status = command_status::ok, .clock_ms = fixture.TargetClock()});
  REQUIRE(fixture.target.starts.size() == 4);
  for (int call = 0; call < 2; ++call) {
    scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  }
  scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>{});
  fixture.IssueCommand(5);
  bool drains = false;
  SUBCASE("the target crashes") {}
  SUBCASE("the target drains before it ends") {
    drains = true;
    fixture.announcement.draining = true;
    ++fixture.announcement.sequence;
    fixture.agent.OnAnnouncement(fixture.announcement);
  }
  fixture.announcement.draining = false;
  fixture.ReplaceTarget("t-2", 2);
  std::vector<jobs::refused_run> refused;
  std::vector<jobs::crashed_run> crashed;
  if (!drains) {
    refused.push_back({runner_fixture::Run(5), jobs::start_refusal::not_sent});
    crashed = {{runner_fixture::Run(1), 500},
               {runner_fixture::Run(2), 0},
               {runner_fixture::Run(3), 0, false},
               {runner_fixture::Run(4), 0, false}};
  }
  CHECK(fixture.LastListing().refused == refused);
  CHECK(fixture.LastListing().crashed == crashed);
}

// Guards against a task that is given up for crashes before which its start had reached no one
// (review/10).
TEST_CASE("a start sent to a target that has gone silent is no evidence after its crash") {
  runner_fixture fixture;
  fixture.Pass(milliseconds{50});
  bool begun = true;
  SUBCASE("sent just after an answer") {}
  SUBCASE("sent later") {
    begun = false;
    fixture.Pass(milliseconds{150});
  }
  fixture.IssueCommand(1);
  REQUIRE(fixture.target.starts.size() == 1);
  fixture.Pass(milliseconds{400});
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{1500});
  scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>{});
  fixture.ReplaceTarget("t-2", 2);
  std::vector<jobs::crashed_run> expected;
  if (begun) expected.push_back({runner_fixture::Run(1), 0, false});
  CHECK(fixture.LastListing().crashed == expected);
}

// Guards against a delayed start that counts as begun because its call ran into its timeout about
// when the target crashed.
TEST_CASE("a start without an answer for long before a crash is no evidence") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  fixture.Pass(milliseconds{400});
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{50});
  scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>{});
  fixture.ReplaceTarget("t-2", 2);
  CHECK(fixture.LastListing().crashed.empty());
}

}  // namespace coltsfoot::runner
