#include <doctest/doctest.h>

#include "incarnation_fixture.h"

// Starts without an answer whose task the agent releases while a call may still be executed by the
// next incarnation of their target.
namespace coltsfoot::runner {

using core::milliseconds;
using testing::incarnation_fixture;
using testing::scripted_target;

// Guards against a run that starts in the next incarnation beside the next run of its task.
TEST_CASE("a start without an answer that is refused later stays in place") {
  incarnation_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{100});
  REQUIRE(fixture.target.start_answers.size() == 1);
  scripted_target::AnswerNext(fixture.target.start_answers,
                              command_reply{.status = command_status::refused,
                                            .refusal = jobs::start_refusal::no_room,
                                            .clock_ms = fixture.TargetClock()});
  fixture.Pass(milliseconds{50});
  REQUIRE_FALSE(fixture.target.stop_answers.empty());
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  for (int step = 0; step < 10; ++step) {
    if (!fixture.target.poll_answers.empty()) fixture.Answer({});
    fixture.Pass(milliseconds{100});
  }
  CHECK_FALSE(fixture.LastListing().starting.empty());
}

// Guards against a run that starts in the next incarnation beside the next run of its task.
TEST_CASE("a start without an answer stays in place while its target is gone") {
  incarnation_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  for (int step = 0; step < 80; ++step) {
    while (!fixture.target.poll_answers.empty()) fixture.FailPoll();
    while (!fixture.target.start_answers.empty()) {
      scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
    }
    fixture.Pass(milliseconds{100});
  }
  CHECK_FALSE(fixture.LastListing().starting.empty());
}

}  // namespace coltsfoot::runner
