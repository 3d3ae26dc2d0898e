#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "incarnation_fixture.h"

// Ends and starts that the agent holds back while a call may still be executed.
namespace coltsfoot::runner {

using core::milliseconds;
using testing::incarnation_fixture;
using testing::runner_fixture;
using testing::scripted_target;

// Guards against a confirmed end whose run starts once more in the next incarnation of its target.
TEST_CASE("an end is confirmed once no call that starts its run can be executed") {
  incarnation_fixture fixture;
  bool held = true;
  bool calm = false;
  jobs::ended_run end = fixture.EndOne(57);
  SUBCASE("all calls were answered") {
    held = false;
    fixture.IssueCommand(1);
    fixture.AnswerStart(fixture.TargetClock());
  }
  SUBCASE("a call got no answer") {
    fixture.IssueCommand(1);
    scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  }
  SUBCASE("an earlier process of the agent may have sent one") {}
  SUBCASE("the run has failed") { end.reason = jobs::end_reason::failed; }
  SUBCASE("the run may start again anyway") {
    held = false;
    end.reason = jobs::end_reason::stopped;
  }
  SUBCASE("all later calls are answered") { calm = true; }
  fixture.Answer({}, {end});
  fixture.agent.OnGrant({.term = 5,
                         .echo_ms = core::ToMs(fixture.time.Now().time_since_epoch()),
                         .incarnation = fixture.announcement.incarnation,
                         .stored_end = 57});
  const std::size_t polls = fixture.target.polls_sent.size();
  fixture.PassWithEnds(milliseconds{2000}, {end});
  CHECK(fixture.HasConfirmed(57) != held);
  for (int second = 2; second < 13; ++second) {
    if (!calm) fixture.FailPoll();
    fixture.PassWithEnds(milliseconds{1000}, {end});
    if (calm && second == 4) CHECK(fixture.HasConfirmed(57));
  }
  CHECK(fixture.target.polls_sent.size() > polls + 100);
  CHECK(fixture.HasConfirmed(57) != (held && !calm));
  fixture.PassWithEnds(milliseconds{4000}, {end});
  CHECK(fixture.HasConfirmed(57));
}

// Guards against ends that are held for longer than the target's users allow although all calls
// are answered: the time until a target announces itself counts as well.
TEST_CASE("an agent that has restarted confirms ends in time") {
  incarnation_fixture fixture;
  fixture.target.poll_answers.clear();
  const core::mono_time began = fixture.time.Now();
  runner next{{.agent = "a", .agent_incarnation = 2, .confirm_within = milliseconds{4000}},
              fixture.time,
              fixture.metrics,
              fixture.target,
              fixture.coordinator};
  next.OnHello(5);
  const auto pass = [&](milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
      fixture.time.Advance(milliseconds{50});
      next.Tick();
    }
  };
  pass(milliseconds{1400});  // less than the interval of announcements
  next.OnAnnouncement(fixture.announcement);
  while (fixture.time.Now() < began + milliseconds{4000}) {
    if (!fixture.target.poll_answers.empty()) fixture.Answer({}, {fixture.EndOne(57)});
    next.OnGrant({.term = 5,
                  .echo_ms = core::ToMs(fixture.time.Now().time_since_epoch()),
                  .incarnation = fixture.announcement.incarnation,
                  .stored_end = 57});
    pass(milliseconds{50});
  }
  CHECK(fixture.HasConfirmed(57));
}

// Guards against ends that are held for longer than allowed while a target that answers all calls
// refuses stops.
TEST_CASE("refused stops do not hold ends back") {
  incarnation_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{100});
  fixture.AnswerStart(fixture.TargetClock());
  fixture.IssueStop(2);
  fixture.Answer({}, {fixture.EndOne(57)});
  for (int step = 0; step < 60; ++step) {
    fixture.agent.OnGrant({.term = 5,
                           .echo_ms = core::ToMs(fixture.time.Now().time_since_epoch()),
                           .incarnation = fixture.announcement.incarnation,
                           .stored_end = 57});
    if (!fixture.target.stop_answers.empty()) {
      scripted_target::AnswerNext(fixture.target.stop_answers,
                                  command_reply{.status = command_status::refused,
                                                .refusal = jobs::start_refusal::unhealthy,
                                                .clock_ms = fixture.TargetClock()});
    }
    fixture.PassWithEnds(milliseconds{100}, {fixture.EndOne(57)});
  }
  CHECK(fixture.HasConfirmed(57));
}

// Guards against a task that waits although its run has ended and its end is stored.
TEST_CASE("a run whose end is stored is not reported as starting") {
  incarnation_fixture fixture;
  fixture.target.poll_answers.clear();
  fixture.AnnounceAs(2);
  fixture.Pass(milliseconds{50});
  fixture.AnswerAs(2);
  fixture.Grant();
  fixture.Pass(milliseconds{50});
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{100});
  REQUIRE(fixture.target.start_answers.size() == 1);  // sent again
  jobs::ended_run end = fixture.EndOne(1);
  SUBCASE("as done") {}
  SUBCASE("as failed") { end.reason = jobs::end_reason::failed; }
  if (fixture.target.poll_answers.empty()) fixture.Pass(milliseconds{100});
  fixture.AnswerAs(2, {end});
  fixture.agent.OnGrant({.term = 5,
                         .echo_ms = core::ToMs(fixture.time.Now().time_since_epoch()),
                         .incarnation = fixture.announcement.incarnation,
                         .stored_end = 1});
  fixture.Pass(milliseconds{100});
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  for (int step = 0; step < 20; ++step) {
    if (!fixture.target.poll_answers.empty()) fixture.AnswerAs(2, {end});
    fixture.Pass(milliseconds{100});
  }
  CHECK(fixture.LastListing().starting.empty());
}

// Guards against starts that wait long after a restart of their target.
TEST_CASE("a stopped start is kept only after a restart that may have let its call through") {
  incarnation_fixture fixture;
  fixture.target.poll_answers.clear();
  fixture.AnnounceAs(2);
  fixture.Pass(milliseconds{50});
  fixture.AnswerAs(2);
  for (int step = 0; step < 600; ++step) {
    if (!fixture.target.poll_answers.empty()) {
      target_lists lists{.clock_ms = fixture.TargetClock(), .started_ms = 2};
      scripted_target::AnswerNext(fixture.target.poll_answers, std::optional(lists));
    }
    fixture.Grant();
    fixture.Pass(milliseconds{100});
  }
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{100});
  fixture.IssueStop(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{50});
  REQUIRE_FALSE(fixture.target.stop_answers.empty());
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  for (int step = 0; step < 20; ++step) {
    if (!fixture.target.poll_answers.empty()) {
      target_lists lists{.clock_ms = fixture.TargetClock(), .started_ms = 2};
      scripted_target::AnswerNext(fixture.target.poll_answers, std::optional(lists));
    }
    fixture.Grant();
    fixture.Pass(milliseconds{100});
  }
  CHECK(fixture.LastListing().starting.empty());
}

// Guards against a run that starts in the next incarnation beside the next run of its task, and
// against starts that wait although no call for them can be executed any more.
TEST_CASE("a refused start stays in place only while an earlier call may be executed") {
  incarnation_fixture fixture;
  bool answered = false;
  bool long_running = false;
  SUBCASE("all its calls were answered") { answered = true; }
  SUBCASE("an earlier call got no answer") {}
  SUBCASE("its task lasts") { long_running = true; }
  fixture.PassWithEmptyLists(milliseconds{1000});
  fixture.IssueCommand(1, false, long_running);
  if (!answered) {
    scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
    fixture.Pass(milliseconds{100});
  }
  scripted_target::AnswerNext(fixture.target.start_answers,
                              command_reply{.status = command_status::refused,
                                            .refusal = jobs::start_refusal::no_room,
                                            .clock_ms = fixture.TargetClock()});
  fixture.Pass(milliseconds{50});
  REQUIRE(fixture.target.stop_answers.empty() == answered);
  if (!answered) {
    scripted_target::AnswerNext(fixture.target.stop_answers,
                                command_reply{.status = command_status::ok});
  }
  const bool kept = !answered && !long_running;
  fixture.PassWithEmptyLists(milliseconds{2000});
  CHECK(fixture.LastListing().starting.empty() != kept);
  fixture.PassWithEmptyLists(milliseconds{12'000});
  CHECK(fixture.LastListing().starting.empty() != kept);
  fixture.PassWithEmptyLists(milliseconds{1500});
  CHECK(fixture.LastListing().starting.empty());
  const std::vector<jobs::refused_run> expected{
      {runner_fixture::Run(1), jobs::start_refusal::no_room}};
  CHECK(fixture.Refusals() == expected);
}

// Guards against a task that starts elsewhere while the next incarnation of its target, or the one
// after that, may start it as well, and against tasks that must not be away for so long.
TEST_CASE(
    "a start on its way to a target that has restarted is kept until it cannot run any more") {
  incarnation_fixture fixture;
  bool restarts_again = false;
  bool long_running = false;
  std::vector<jobs::ended_run> ended;
  SUBCASE("the list is empty") {}
  SUBCASE("the list begins after the first end") { ended = {fixture.EndOne(5)}; }
  SUBCASE("the list begins with the first end") { ended = {fixture.EndOne(1)}; }
  SUBCASE("the target restarts again") { restarts_again = true; }
  SUBCASE("the task lasts") { long_running = true; }
  fixture.ListStoredEnd();
  fixture.IssueCommand(2, false, long_running);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.FailPoll();
  std::uint64_t incarnation = 1;
  const auto restart = [&] {
    fixture.target.poll_answers.clear();
    fixture.AnnounceAs(++incarnation);
    fixture.Pass(milliseconds{50});
    fixture.AnswerAs(incarnation, ended);
    fixture.Pass(milliseconds{50});
    scripted_target::AnswerNext(fixture.target.stop_answers,
                                command_reply{.status = command_status::ok});
  };
  const auto is_starting = [&] {
    return fixture.LastListing().starting == std::vector{runner_fixture::Run(2)};
  };
  const auto pass = [&](milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
      if (!fixture.target.poll_answers.empty()) fixture.AnswerAs(incarnation, ended);
      fixture.Pass(milliseconds{100});
    }
  };
  restart();
  pass(milliseconds{5000});
  CHECK(is_starting() != long_running);
  if (restarts_again) restart();
  pass(milliseconds{8000});
  CHECK(is_starting() != long_running);
  pass(milliseconds{3000});
  CHECK_FALSE(is_starting());
}

}  // namespace coltsfoot::runner
