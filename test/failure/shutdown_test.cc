#include <signal.h>

#include "scenario.h"

namespace coltsfoot::failure {
namespace {

constexpr int kServiceMs = 1500;

void RecordDeparture(fleet& running, std::size_t worker) {
  running.history().Add("departed", fmt::format(R"("worker":"{}")", fleet::WorkerId(worker)));
}

/// Sends requests until the bound for departures has passed, and for `kSlack` after it. Until the
/// bound a request may be refused as not run; after it each is answered.
void KeepRequesting(fleet& running, const std::vector<std::size_t>& entries) {
  const auto start = std::chrono::steady_clock::now();
  const milliseconds bound = running.timings().DepartureBound();
  for (int round = 0; std::chrono::steady_clock::now() < start + bound + kSlack; ++round) {
    const bool must_answer = std::chrono::steady_clock::now() > start + bound;
    auto answers = StartRequests(running, entries[static_cast<std::size_t>(round) % entries.size()],
                                 4, fmt::format("later-{}", round));
    for (auto& answer : answers) {
      const outcome observed = answer.get();
      CAPTURE(observed.body);
      CHECK((observed.ok() || (!must_answer && core::IsNotRun(observed.code))));
    }
  }
}

}  // namespace

// Guards against a planned stop of a target that breaks requests, and against a departed target
// that still gets work.
TEST_CASE("a target that is stopped finishes its requests and gets no new work") {
  fleet running(WithServiceTime(kServiceMs));
  REQUIRE(running.WaitReady());
  const auto ids = SubmitTasks(running, 0, 3, 4000);
  RequireRunning(running, running.Entries(), ids, kSlack);
  auto answers = StartRequests(running, 0, 12, "during");
  REQUIRE(WaitForTruth(running, {"request_start"}, 12, kSlack));
  running.target_process(0).Signal(SIGTERM);
  RecordDeparture(running, 0);
  CheckAnswered(answers);
  CHECK(running.target_process(0).WaitForExit(2 * milliseconds{kServiceMs} + kSlack) == 0);
  KeepRequesting(running, {0, 1});
  CheckFinished(running, running.Entries(), ids, milliseconds{8000} + kSlack);
  CheckInvariants(running);
}

// Guards against requests that are still sent after the bound to a target that died without a
// goodbye.
TEST_CASE("a target that was killed and replaced serves again as a new instance") {
  fleet running(WithServiceTime(20));
  REQUIRE(running.WaitReady());
  running.KillTarget(1);
  RecordDeparture(running, 1);
  KeepRequesting(running, {0, 1});
  running.StartTarget(1);
  REQUIRE(running.WaitReady());
  CheckInvariants(running);
}

// Guards against a planned stop of an agent that breaks requests or loses the progress of tasks.
TEST_CASE("an agent that is stopped finishes its requests and hands its tasks over") {
  fleet running(WithServiceTime(kServiceMs));
  REQUIRE(running.WaitReady());
  const auto ids = SubmitTasks(running, 0, 6, 5000);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  auto answers = StartRequests(running, 1, 12, "during");
  REQUIRE(WaitForTruth(running, {"request_start"}, 12, kSlack));
  const std::size_t stopped = fleet::WorkerIndex(views[0].worker);
  running.agent_process(stopped).Signal(SIGTERM);
  CheckAnswered(answers);
  CHECK(running.agent_process(stopped).WaitForExit(milliseconds{kServiceMs} + 2 * kSlack) == 0);
  const auto ended = CheckFinished(running, running.Entries(), ids, milliseconds{10000} + kSlack);
  CHECK(ended[0].evictions == 1);
  CHECK(running.Truth({"\"event\":\"task_resume\"", ids[0]}).size() == 1);
  CheckInvariants(running, true);
}

// Guards against a planned stop of an entry that breaks requests or evicts tasks.
TEST_CASE("an entry that is stopped answers its requests and releases its shards") {
  fleet running(WithServiceTime(kServiceMs));
  REQUIRE(running.WaitReady());
  const auto ids = SubmitTasks(running, 0, 6, 5000);
  RequireRunning(running, running.Entries(), ids, kSlack);
  request_options once;
  once.idempotent = false;
  auto answers = StartRequests(running, 0, 6, "during");
  auto claims = StartRequests(running, 0, 6, "claim", once);
  REQUIRE(WaitForTruth(running, {"request_start"}, 12, kSlack));
  running.entry_process(0).Signal(SIGTERM);
  CheckAnswered(answers);
  CheckAnswered(claims);
  CHECK(running.entry_process(0).WaitForExit(milliseconds{kServiceMs} + 2 * kSlack) == 0);
  const std::vector<std::string> rest{running.Entry(1)};
  const auto more = SubmitTasks(running, 1, 3, 100, "after");
  for (const task_view& view : CheckFinished(running, rest, ids, milliseconds{5000} + 2 * kSlack)) {
    CHECK(view.epoch == 1);
  }
  CheckFinished(running, rest, more, kSlack);
  CheckInvariants(running, true);
}

}  // namespace coltsfoot::failure
