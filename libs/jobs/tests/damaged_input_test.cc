#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

#include "fixture.h"
#include "jobs/report_stream.h"

namespace coltsfoot::jobs {
namespace {

using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";

std::string Damage(std::string bytes) {
  const int changes = *rc::gen::inRange(1, 3);
  for (int change = 0; change < changes && !bytes.empty(); ++change) {
    bytes[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())))] =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  return bytes;
}

template <class Message>
std::optional<Message> Damaged(const Message& message) {
  core::last_error error;
  return wire::DecodeValue<Message>(Damage(wire::EncodeValue(message)), error);
}

/// A coordinator with two workers, one of which runs a job of two steps.
struct running_fleet : coordinator_fixture {
  running_fleet() {
    Begin({"a", "b"});
    step_spec second = TestStep(2);
    second.after = {0};
    Submit(kJob, {TestStep(3), second});
    Tick();
    RunCommands();
  }

  /// Begins a further term with the contents of the store.
  void BeginNextTerm() {
    storage.Put(std::string(kLeaderKey), "successor");
    term = storage.revision;
    for (auto& [agent, report] : reports) report.term = term;
    BeginFromStore();
    for (const auto& [agent, report] : reports) control.OnAgentConnected(agent);
  }

  /// Checks that the coordinator still accepts another job.
  void CheckServes() {
    const std::string later = "00000000000000bb";
    Submit(later, {TestStep(1)});
    for (int step = 0; step < 3; ++step) {
      for (const auto& [agent, report] : reports) Report(agent);
      Tick();
    }
    RC_ASSERT(control.FindJob(later) != nullptr);
  }
};

}  // namespace

// Guards against a coordinator that crashes or stops working on a damaged message of an agent.
TEST_CASE("a coordinator keeps working after damaged reports") {
  CHECK(rc::check([] {
    running_fleet fleet;
    worker_report report = fleet.Worker("a");
    report.running.push_back({.task = {kJob, 0, 1, 1}, .run = 3, .checkpoint = "c"});
    report.ended.push_back({.number = 9, .task = {kJob, 0, 0, 1}, .run = 1});
    report.refused.push_back({{{kJob, 0, 0, 2}, 1}, start_refusal::late});
    report.starting.push_back({{kJob, 0, 0, 0}, 2});
    if (const auto damaged = Damaged(report)) fleet.control.OnReport(*damaged);
    if (fleet.authority.deposed) return;  // the damaged report has a newer term
    fleet.CheckServes();
  }));
}

// Guards against a damaged record in the store that crashes every coordinator that reads it.
TEST_CASE("a coordinator keeps working with damaged records in the store") {
  CHECK(rc::check([] {
    running_fleet fleet;
    const std::vector<std::string> keys{JobKey(kJob),    ProgressKey(kJob),
                                        AgentKey("a"),   std::string(kAbsentKey),
                                        CancelKey(kJob), std::string(kRunBoundKey)};
    fleet.storage.Put(ProgressKey(kJob),
                      wire::EncodeValue(progress_record{
                          .state = job_state::active,
                          .tasks = {{.done = true}, {.failed_runs = {1}}, {.checkpoint = "c"}}}));
    fleet.storage.Put(std::string(kAbsentKey), wire::EncodeValue(absent_record{{"b"}}));
    const std::string key =
        keys[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(keys.size())))];
    const auto place = fleet.storage.entries.find(key);
    fleet.storage.Put(key,
                      Damage(place == fleet.storage.entries.end() ? "1" : place->second.value));
    fleet.BeginNextTerm();
    fleet.CheckServes();
  }));
}

// Guards against a record of another writer whose numbers overflow in the coordinator.
TEST_CASE("a coordinator keeps working with records whose numbers are too large") {
  constexpr auto kMin64 = std::numeric_limits<std::int64_t>::min();
  constexpr auto kMax64 = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMax32 = std::numeric_limits<std::uint32_t>::max();
  running_fleet fleet;
  const job_record usual{.queue = "q", .service = "svc", .spec = {"payload", {TestStep(1)}}};
  int count = 0;
  const auto put_job = [&](const job_record& record, const progress_record& progress) {
    const std::string id = "00000000000000d" + std::to_string(count++);
    fleet.storage.Put(JobKey(id), wire::EncodeValue(record));
    fleet.storage.Put(ProgressKey(id), wire::EncodeValue(progress));
    fleet.control.OnInboxChange({JobKey(id), fleet.storage.entries.at(JobKey(id))});
  };
  for (const std::int64_t wall_ms : {kMin64, kMax64}) {
    job_record record = usual;
    record.accepted_wall_ms = wall_ms;
    put_job(record, {.state = job_state::failed, .ended_wall_ms = wall_ms, .tasks = {}});
  }
  for (const double stretch : {std::numeric_limits<double>::infinity(),
                               std::numeric_limits<double>::quiet_NaN(), -1e300, 1e300}) {
    job_record record = usual;
    record.queue = "removed";
    record.stretch = stretch;
    record.objective_ms = kMax32;
    put_job(record, {.state = job_state::active, .ended_wall_ms = 0, .tasks = {{}}});
  }
  put_job(usual, {.state = job_state::active, .tasks = {{.last_run = kMax32}}});
  fleet.BeginNextTerm();
  fleet.CheckServes();
  for (const auto& [agent, start] : fleet.agents.TakeStarts()) CHECK(start.facts.run.run > 0);
}

}  // namespace coltsfoot::jobs
