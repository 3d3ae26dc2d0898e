#include "runner_fixture.h"

// Starts that the coordinator allows only up to a time on the agent's clock.
namespace coltsfoot::runner {
namespace {

using testing::milliseconds;
using testing::runner_fixture;
using testing::scripted_target;

struct expiry_fixture : runner_fixture {
  /// Commands a start that expires after `left`; negative: it has expired.
  void IssueStart(std::uint32_t run, milliseconds left, bool repeated = false) {
    jobs::worker_commands commands{
        .term = 5, .sequence = ++sequence, .incarnation = announcement.incarnation};
    commands.starts.push_back(
        {.facts = {.run = Run(run)},
         .payload = "p",
         .repeated = repeated,
         .expires_ms = core::ToMs(time.Now().time_since_epoch()) + left.count()});
    agent.OnCommands(commands);
  }

  const std::vector<jobs::refused_run> one_expired{{Run(1), jobs::start_refusal::expired}};
};

}  // namespace

// Guards against a start that was on its way for too long.
TEST_CASE("a start that arrives after its expiry is refused") {
  expiry_fixture test;
  test.Grant();
  test.IssueStart(1, milliseconds{-1});
  test.Pass(milliseconds{50});
  CHECK(test.target.starts.empty());
  CHECK(test.Refusals() == test.one_expired);
  test.IssueStart(2, milliseconds{100});
  CHECK(test.target.starts.size() == 1);
}

// Guards against a start that waits for another call and is sent after its expiry.
TEST_CASE("a start that the target does not take in time is refused") {
  expiry_fixture test;
  test.IssueStart(1, milliseconds{200});
  REQUIRE(test.target.starts.size() == 1);
  scripted_target::AnswerNext(test.target.start_answers,
                              command_reply{.status = command_status::not_sent});
  test.time.Advance(milliseconds{250});
  test.agent.Tick();
  CHECK(test.target.starts.size() == 1);
  CHECK(test.Refusals() == test.one_expired);
}

// Guards against two runs of a task: the coordinator has placed it again when it learns of the
// refusal, while a repetition that it sent before is on its way.
TEST_CASE("a start that was refused as expired is refused again if it is repeated") {
  expiry_fixture test;
  test.Grant();
  test.IssueStart(1, milliseconds{-1});
  test.Pass(milliseconds{50});
  REQUIRE(test.Refusals() == test.one_expired);
  test.IssueStart(1, milliseconds{1000}, true);
  test.Pass(milliseconds{50});
  CHECK(test.target.starts.empty());
  CHECK(test.Refusals().size() == 2);
  CHECK(test.LastListing().starting.empty());
}

// Guards against an unanswered start that is repeated after its expiry, against stopping a run that
// it began, and against a second run elsewhere while the target may still execute it.
TEST_CASE("an unanswered start is not repeated after its expiry") {
  expiry_fixture test;
  test.IssueStart(1, milliseconds{200});
  test.time.Advance(milliseconds{250});
  scripted_target::AnswerNext(test.target.start_answers,
                              command_reply{.status = command_status::unknown});
  test.Pass(milliseconds{200});
  REQUIRE(test.target.starts.size() == 1);
  // The poll in progress was sent before the answer was missed.
  test.Answer({});
  test.Pass(milliseconds{50});
  CHECK(test.target.stops.empty());
  CHECK(test.Refusals().empty());
  CHECK(test.LastListing().starting == std::vector{runner_fixture::Run(1)});
  SUBCASE("a run that has begun works on") {
    test.Answer({{.task = runner_fixture::Run(1).task, .run = 1}});
    test.Pass(milliseconds{100});
    CHECK(test.target.stops.empty());
    CHECK(test.LastListing().running.size() == 1);
    CHECK(test.Refusals().empty());
  }
  SUBCASE("a run that has not begun is refused once its call cannot be executed any more") {
    test.Answer({});
    test.Pass(milliseconds{50});
    REQUIRE(test.target.stops == std::vector{runner_fixture::Run(1)});
    CHECK(test.Refusals().empty());
    scripted_target::AnswerNext(test.target.stop_answers,
                                command_reply{.status = command_status::ok});
    test.Pass(milliseconds{50});
    test.PassWithEmptyLists(milliseconds{14'000});
    CHECK(test.Refusals().empty());
    test.PassWithEmptyLists(milliseconds{1500});
    CHECK(test.Refusals() == test.one_expired);
  }
  CHECK(test.target.starts.size() == 1);
}

// Guards against a start that an earlier process of the agent sent and that is repeated into a zone
// evacuated meanwhile.
TEST_CASE("an expired repetition stops the run that an earlier process may have started") {
  expiry_fixture test;
  test.IssueStart(1, milliseconds{-1}, true);
  test.Pass(milliseconds{50});
  CHECK(test.target.starts.empty());
  CHECK(test.target.stops == std::vector{runner_fixture::Run(1)});
  CHECK(test.Refusals().empty());
}

}  // namespace coltsfoot::runner
