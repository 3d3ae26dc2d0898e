#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
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

// Guards against runs of a dead target that never count as expired and so do not restart elsewhere:
// the agent assumed that each unanswered poll had extended the target's lease (scenario
// malolos-straw scale-1).
TEST_CASE("a target that does not answer is gone when its last lease has expired") {
  runner_fixture fixture;
  const std::size_t polls = fixture.target.polls_sent.size();
  milliseconds passed{0};
  const auto gone = [&] {
    return fixture.coordinator.reports.back().state == jobs::target_state::gone;
  };
  while (!gone() && passed < milliseconds{20'000}) {
    while (!fixture.target.poll_answers.empty()) {
      scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>());
    }
    fixture.Grant();
    fixture.Pass(milliseconds{100});
    passed += milliseconds{100};
  }
  CHECK(passed > milliseconds{4900});
  CHECK(passed < milliseconds{6500});
  REQUIRE(fixture.target.polls_sent.size() > polls + 1);
  CHECK_FALSE(fixture.target.polls_sent.back().lease_until_ms);
}

// Guards against a second run when a command without an answer is executed late: the retry uses the
// same run number, after a delay.
TEST_CASE("an unanswered start is retried with the same run number") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  REQUIRE(fixture.target.starts.size() == 1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.agent.Tick();
  CHECK(fixture.target.starts.size() == 1);
  fixture.Pass(milliseconds{150});
  REQUIRE(fixture.target.starts.size() == 2);
  CHECK(fixture.target.starts[1].run == fixture.target.starts[0].run);
}

// Guards against a cancelled task that a delayed command still starts: only the target's answer to
// a stop rules that out.
TEST_CASE("an unanswered start that is cancelled is stopped until the target confirms it") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  jobs::worker_commands commands{
      .term = 5, .sequence = 9, .incarnation = fixture.announcement.incarnation};
  commands.stops.push_back(runner_fixture::Run(1));
  fixture.agent.OnCommands(commands);
  REQUIRE(fixture.target.stops.size() == 1);
  scripted_target::AnswerNext(fixture.target.stop_answers, command_reply{});
  fixture.Pass(milliseconds{150});
  REQUIRE(fixture.target.stops.size() == 2);
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.Pass(milliseconds{600});
  CHECK(fixture.target.starts.size() == 1);
  CHECK(fixture.coordinator.reports.back().starting.empty());
}

// Guards against starts on a target that shuts down, and against starts without a lease.
TEST_CASE("a draining target and a runner without a lease start nothing") {
  runner_fixture fixture;
  fixture.announcement.draining = true;
  fixture.announcement.sequence = 2;
  fixture.agent.OnAnnouncement(fixture.announcement);
  fixture.IssueCommand(1);
  CHECK(fixture.target.starts.empty());
  fixture.agent.Tick();
  REQUIRE_FALSE(fixture.coordinator.reports.empty());
  bool refused = false;
  for (const auto& report : fixture.coordinator.reports) refused |= !report.refused.empty();
  CHECK(refused);

  runner_fixture late;
  late.Pass(milliseconds{5000});
  late.IssueCommand(1);
  late.Pass(milliseconds{100});
  CHECK(late.target.starts.empty());
}

// Guards against commands of a coordinator that has been replaced.
TEST_CASE("commands and hellos of earlier terms are refused") {
  runner_fixture fixture;
  CHECK_FALSE(fixture.agent.OnHello(4));
  jobs::worker_commands old{
      .term = 4, .sequence = 1, .incarnation = fixture.announcement.incarnation};
  old.starts.push_back({.facts = {.run = runner_fixture::Run(1)}, .payload = "p"});
  fixture.agent.OnCommands(old);
  CHECK(fixture.target.starts.empty());
  CHECK(fixture.agent.OnHello(6));
}

// Guards against a delayed announcement of an earlier incarnation that replaces the current one,
// and against executing commands for the earlier one.
TEST_CASE("announcements and commands of earlier incarnations are ignored") {
  runner_fixture fixture;
  target_announcement next = fixture.announcement;
  next.incarnation = {"t", 2};
  fixture.agent.OnAnnouncement(next);
  fixture.agent.OnAnnouncement(fixture.announcement);
  fixture.Pass(milliseconds{600});
  CHECK(fixture.coordinator.reports.back().incarnation != fixture.announcement.incarnation);
  // The answer to the poll of the first incarnation arrives late, before that of the current one.
  while (fixture.target.poll_answers.size() > 1) {
    scripted_target::AnswerNext(fixture.target.poll_answers,
                                std::optional(target_lists{.clock_ms = 5, .started_ms = 1}));
  }
  scripted_target::AnswerNext(fixture.target.poll_answers,
                              std::optional(target_lists{.clock_ms = 5, .started_ms = 2}));
  fixture.Pass(milliseconds{600});
  CHECK(fixture.coordinator.reports.back().incarnation == next.incarnation);
  fixture.IssueCommand(1);
  CHECK(fixture.target.starts.empty());
}

// Guards against a lease at the target that outlasts its grant: it is counted from the report that
// the grant answers, on the target's clock.
TEST_CASE("the lease at the target ends with the grant") {
  runner_fixture fixture;
  const std::int64_t granted_ms = fixture.TargetClock();
  fixture.IssueCommand(1);
  REQUIRE(fixture.target.starts.size() == 1);
  CHECK(fixture.target.starts[0].lease_until_ms <= granted_ms + 5000);
  CHECK(fixture.target.starts[0].lease_until_ms > granted_ms + 4000);
}

// Guards against a busy loop: a target that lists ends which are not stored yet answers polls
// immediately.
TEST_CASE("polls are delayed while ends are not stored") {
  runner_fixture fixture;
  const jobs::ended_run end{
      .number = 1, .task = {kJob, 0, 0, 0}, .run = 1, .reason = jobs::end_reason::done};
  fixture.Answer({}, {end});
  const std::size_t polls = fixture.target.polls_sent.size();
  fixture.agent.Tick();
  CHECK(fixture.target.polls_sent.size() == polls);
  fixture.Pass(milliseconds{100});
  REQUIRE(fixture.target.polls_sent.size() == polls + 1);
  CHECK(fixture.target.polls_sent.back().wait == milliseconds{0});
  CHECK(fixture.target.polls_sent.back().stored_end == 0);
}

// Guards against restarting all runs of the current incarnation. A restarted agent knows no
// incarnation, and an announcement delayed by a network partition may name one that ended long ago;
// if the agent reported it, the coordinator would count the current runs as lost.
TEST_CASE("a restarted agent reports a target only after the target has answered") {
  runner_fixture fixture;
  runner restarted({.agent = "a", .agent_incarnation = 2}, fixture.time, fixture.metrics,
                   fixture.target, fixture.coordinator);
  restarted.OnHello(1);
  restarted.OnAnnouncement({.incarnation = {"t", 1}, .service = "svc", .sequence = 9});
  fixture.time.Advance(milliseconds{600});
  restarted.Tick();
  CHECK(fixture.coordinator.reports.back().incarnation == jobs::target_incarnation{});
  CHECK(fixture.coordinator.reports.back().state == jobs::target_state::unknown);
  // The lists come from a later incarnation, whose announcement arrives afterwards.
  while (fixture.target.poll_answers.size() > 1) fixture.target.poll_answers.pop_front();
  scripted_target::AnswerNext(fixture.target.poll_answers,
                              std::optional(target_lists{.clock_ms = 5, .started_ms = 2}));
  fixture.time.Advance(milliseconds{600});
  restarted.Tick();
  CHECK(fixture.coordinator.reports.back().incarnation == jobs::target_incarnation{});
  restarted.OnAnnouncement({.incarnation = {"t", 2}, .service = "svc", .sequence = 1});
  restarted.Tick();
  while (fixture.target.poll_answers.size() > 1) fixture.target.poll_answers.pop_front();
  scripted_target::AnswerNext(fixture.target.poll_answers,
                              std::optional(target_lists{.clock_ms = 5, .started_ms = 2}));
  fixture.time.Advance(milliseconds{600});
  restarted.Tick();
  CHECK(fixture.coordinator.reports.back().incarnation == jobs::target_incarnation{"t", 2});
}

// Guards against an odd announcement that hides all later incarnations of the target.
TEST_CASE("an announcement of a target that starts in the far future is ignored") {
  runner_fixture fixture;
  target_announcement odd = fixture.announcement;
  odd.incarnation = {"odd", 9'007'199'254'740'991};
  odd.address = "10.0.0.9:1";
  fixture.agent.OnAnnouncement(odd);
  CHECK(fixture.target.address == fixture.announcement.address);
  target_announcement next = fixture.announcement;
  next.incarnation = {"t-2", 2};
  next.address = "10.0.0.2:80";
  fixture.agent.OnAnnouncement(next);
  CHECK(fixture.target.address == next.address);
}

// Guards against a lease that expires while polls wait for news from a target that answers again.
TEST_CASE("after a failed poll the next one asks for an immediate answer and extends no lease") {
  runner_fixture fixture;
  CHECK(fixture.target.polls_sent.back().wait > milliseconds{0});
  scripted_target::AnswerNext(fixture.target.poll_answers, std::optional<target_lists>());
  fixture.Pass(milliseconds{200});
  CHECK(fixture.target.polls_sent.back().wait == milliseconds{0});
  CHECK_FALSE(fixture.target.polls_sent.back().lease_until_ms);
  fixture.Answer({});
  fixture.Pass(milliseconds{50});
  CHECK(fixture.target.polls_sent.back().wait > milliseconds{0});
  CHECK(fixture.target.polls_sent.back().lease_until_ms);
}

// Guards against running a task again whose end is not listed: a target lists only its 500 oldest
// ends, and a run that is in neither list counted as lost (scenario malolos-straw-large trouble-2).
TEST_CASE("a run whose end is omitted from a full list of ends still counts as running") {
  runner_fixture fixture;
  const jobs::running_task task{.task = {kJob, 0, 0, 0}, .run = 1};
  std::vector<jobs::ended_run> ends;
  for (std::uint32_t number = 1; number <= jobs::kMaxListedEnds; ++number) {
    ends.push_back({.number = number,
                    .task = {kJob, 0, 1, number},
                    .run = 1,
                    .reason = jobs::end_reason::done});
  }
  ends.pop_back();
  fixture.Answer({task}, ends);
  fixture.Pass(milliseconds{200});
  ends.push_back({.number = jobs::kMaxListedEnds,
                  .task = {kJob, 0, 1, 1000},
                  .run = 1,
                  .reason = jobs::end_reason::done});
  fixture.Answer({}, ends);
  REQUIRE(fixture.coordinator.reports.back().listed);
  CHECK(fixture.coordinator.reports.back().running.size() == 1);
  // The oldest end has been confirmed, so the list has room for the run's end.
  fixture.Pass(milliseconds{200});
  ends.erase(ends.begin());
  ends.back() = {.number = jobs::kMaxListedEnds + 1,
                 .task = task.task,
                 .run = 1,
                 .reason = jobs::end_reason::done};
  fixture.Answer({}, ends);
  CHECK(fixture.coordinator.reports.back().running.empty());
}

// Guards against running a task twice: commands delayed by a network partition arrived after their
// lease had expired and their tasks ran elsewhere; the grant of the next coordinator connection
// then let them start (soak test, seed 3).
TEST_CASE("commands that arrive without a lease are refused and never start") {
  runner_fixture fixture;
  fixture.Pass(milliseconds{5100});
  fixture.IssueCommand(1);
  fixture.Pass(milliseconds{100});
  REQUIRE_FALSE(fixture.coordinator.reports.empty());
  const auto& refused = fixture.coordinator.reports.back().refused;
  const bool refusal_reported =
      std::any_of(fixture.coordinator.reports.begin(), fixture.coordinator.reports.end(),
                  [](const jobs::worker_report& report) { return !report.refused.empty(); });
  CHECK((refusal_reported || !refused.empty()));
  fixture.Grant();
  fixture.Pass(milliseconds{200});
  CHECK(fixture.target.starts.empty());
}

// Guards against running a task twice when its command still waits at the agent as the lease
// expires.
TEST_CASE("commands that wait for the target are dropped when the lease expires") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  for (int step = 0; step < 60; ++step) {
    // Polls are answered; starts fail for lack of a connection.
    if (!fixture.target.poll_answers.empty()) fixture.Answer({});
    while (!fixture.target.start_answers.empty()) {
      scripted_target::AnswerNext(fixture.target.start_answers,
                                  command_reply{.status = command_status::not_sent});
    }
    fixture.Pass(milliseconds{100});
  }
  const std::size_t attempts = fixture.target.starts.size();
  REQUIRE(attempts > 1);
  fixture.Grant();
  fixture.Pass(milliseconds{300});
  CHECK(fixture.target.starts.size() == attempts);
}

// Guards against retrying a start under a later lease because its answer arrived after the first
// lease expired, and against a pause of this process that hides the expiry.
TEST_CASE("an unanswered command is not retried under a later lease") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  REQUIRE(fixture.target.starts.size() == 1);
  SUBCASE("the agent keeps running") { fixture.Pass(milliseconds{5100}); }
  SUBCASE("the agent is paused") { fixture.time.Advance(milliseconds{5100}); }
  fixture.Grant();
  scripted_target::AnswerNext(fixture.target.start_answers,
                              command_reply{.status = command_status::unknown});
  fixture.Pass(milliseconds{300});
  CHECK(fixture.target.starts.size() == 1);
  // Reporting the run as refused would release its resources while it may still run (soak test,
  // seed 130).
  REQUIRE(fixture.target.stops.size() == 1);
  CHECK(fixture.target.stops[0] == fixture.Run(1));
  REQUIRE_FALSE(fixture.coordinator.reports.empty());
  for (const jobs::worker_report& report : fixture.coordinator.reports) {
    CHECK(report.refused.empty());
  }
}

}  // namespace coltsfoot::runner
