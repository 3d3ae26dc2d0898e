#include "runner/runner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "metrics/registry.h"

namespace coltsfoot::runner {
namespace {

using core::milliseconds;

constexpr auto kJob = "00000000000000aa";

/// Target client that records calls; the test supplies the answers.
class scripted_target final : public target_client {
 public:
  void SetAddress(const std::string& text) override { address = text; }
  void Start(const start_call& call, std::function<void(command_reply)> done) override {
    starts.push_back(call);
    start_answers.push_back(std::move(done));
  }
  void Stop(const jobs::run_id& run, std::uint64_t, const std::string&,
            std::function<void(command_reply)> done) override {
    stops.push_back(run);
    stop_answers.push_back(std::move(done));
  }
  void Pace(const jobs::run_id&, std::uint32_t, std::uint64_t, const std::string&,
            std::function<void(command_reply)>) override {}
  void Poll(const poll_call& call, const std::string&,
            std::function<void(std::optional<target_lists>)> done) override {
    polls_sent.push_back(call);
    poll_answers.push_back(std::move(done));
  }

  template <class Queue, class Answer>
  static void AnswerNext(Queue& answers, Answer answer) {
    REQUIRE_FALSE(answers.empty());
    auto done = std::move(answers.front());
    answers.pop_front();
    done(std::move(answer));
  }

  std::string address;
  std::vector<start_call> starts;
  std::vector<jobs::run_id> stops;
  std::vector<poll_call> polls_sent;
  std::deque<std::function<void(command_reply)>> start_answers;
  std::deque<std::function<void(command_reply)>> stop_answers;
  std::deque<std::function<void(std::optional<target_lists>)>> poll_answers;
};

class recording_coordinator final : public coordinator_link {
 public:
  bool Send(const jobs::worker_report& report) override {
    reports.push_back(report);
    return true;
  }
  std::vector<jobs::worker_report> reports;
};

/// A runner that is connected to a coordinator of term 5 and has read its target's lists once.
struct runner_fixture {
  runner_fixture() {
    agent.OnAnnouncement(announcement);
    agent.OnHello(5);
    agent.Tick();
    Answer({});
    Grant();
    agent.Tick();
  }

  /// Answers a poll of the target.
  void Answer(std::vector<jobs::running_task> running, std::vector<jobs::ended_run> ended = {}) {
    target_lists lists{.clock_ms = TargetClock(), .started_ms = 1};
    lists.running = std::move(running);
    lists.ended = std::move(ended);
    scripted_target::AnswerNext(target.poll_answers, std::optional(lists));
  }

  /// The target's clock runs one second behind the agent's.
  std::int64_t TargetClock() const { return core::ToMs(time.Now().time_since_epoch()) - 1000; }

  void Grant() {
    agent.OnGrant({.term = 5,
                   .echo_ms = core::ToMs(time.Now().time_since_epoch()),
                   .incarnation = announcement.incarnation,
                   .stored_end = 0});
  }

  void IssueCommand(std::uint32_t run, bool repeated = false) {
    jobs::worker_commands commands{
        .term = 5, .sequence = ++sequence, .incarnation = announcement.incarnation};
    commands.starts.push_back({.facts = {.run = Run(run)}, .payload = "p", .repeated = repeated});
    agent.OnCommands(commands);
  }

  void IssueStop(std::uint32_t run) {
    jobs::worker_commands commands{
        .term = 5, .sequence = ++sequence, .incarnation = announcement.incarnation};
    commands.stops.push_back(Run(run));
    agent.OnCommands(commands);
  }

  static jobs::run_id Run(std::uint32_t run) { return {{kJob, 0, 0, 0}, run}; }

  /// @return the last report with lists.
  const jobs::worker_report& LastListing() const {
    const auto& reports = coordinator.reports;
    const auto last = std::find_if(reports.rbegin(), reports.rend(),
                                   [](const auto& each) { return each.listed; });
    REQUIRE(last != reports.rend());
    return *last;
  }

  void Pass(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
      time.Advance(milliseconds{50});
      agent.Tick();
    }
  }

  core::manual_clock time;
  metrics::registry metrics;
  scripted_target target;
  recording_coordinator coordinator;
  target_announcement announcement{.incarnation = {"t", 1},
                                   .service = "svc",
                                   .zone = "z",
                                   .labels = {},
                                   .capacity = {16'000, 64'000, 0},
                                   .draining = false,
                                   .sequence = 1,
                                   .address = "10.0.0.1:80"};
  std::uint64_t sequence = 0;
  runner agent{{.agent = "a", .agent_incarnation = 1}, time, metrics, target, coordinator};
};

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
  fixture.Answer({});
  fixture.Pass(milliseconds{100});
  fixture.Answer({});
  fixture.Pass(milliseconds{1100});
  CHECK(fixture.LastListing().starting.empty());
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
  REQUIRE(fixture.target.polls_sent.back().fence == 6);
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
  CHECK(fixture.target.starts[1].fence == 6);
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
TEST_CASE("an unanswered start that was abandoned is reported as refused when it has settled") {
  runner_fixture fixture;
  fixture.IssueCommand(1);
  scripted_target::AnswerNext(fixture.target.start_answers, command_reply{});
  fixture.Pass(milliseconds{150});
  scripted_target::AnswerNext(
      fixture.target.start_answers,
      command_reply{.status = command_status::refused, .refusal = jobs::start_refusal::unhealthy});
  scripted_target::AnswerNext(fixture.target.stop_answers,
                              command_reply{.status = command_status::ok});
  fixture.Answer({});
  fixture.Pass(milliseconds{100});
  fixture.coordinator.reports.clear();
  fixture.Answer({});
  fixture.Pass(milliseconds{100});
  const std::vector<jobs::refused_run> expected{
      {runner_fixture::Run(1), jobs::start_refusal::unhealthy}};
  CHECK(fixture.LastListing().refused == expected);
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

// Guards against suspects that did not begin shortly before the crash, or were never sent.
TEST_CASE("after a crash the tasks that began last are reported as suspects") {
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
  fixture.announcement.incarnation = {"t-2", 2};
  fixture.announcement.draining = false;
  fixture.agent.OnAnnouncement(fixture.announcement);
  fixture.Pass(milliseconds{50});
  scripted_target::AnswerNext(
      fixture.target.poll_answers,
      std::optional(target_lists{.clock_ms = 5, .started_ms = 2, .running = {}, .ended = {}}));
  fixture.Pass(milliseconds{50});
  std::vector<jobs::refused_run> expected;
  if (!drains) {
    expected.push_back({runner_fixture::Run(5), jobs::start_refusal::not_sent});
    for (const std::uint32_t run : {2, 3, 4}) {
      expected.push_back({runner_fixture::Run(run), jobs::start_refusal::target_crashed});
    }
  }
  CHECK(fixture.LastListing().refused == expected);
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
