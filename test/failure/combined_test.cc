#include <signal.h>

#include "scenario.h"

namespace coltsfoot::failure {

// Guards against a takeover that relies on all workers being alive.
TEST_CASE("an entry and a worker are lost together") {
  fleet running({.entries = 3, .workers = 4});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 3000;
  const auto ids = SubmitTasks(running, 0, 8, kWorkMs);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  running.entry_process(0).Kill();
  running.KillWorker(fleet::WorkerIndex(views[0].worker));
  const std::vector<std::string> rest{running.Entry(1), running.Entry(2)};
  const milliseconds bound = running.timings().OrphanBound() + 2 * milliseconds{kWorkMs} + kSlack;
  CheckFinished(running, rest, ids, bound);
  CheckInvariants(running);
}

// Guards against a restarted agent that starts or keeps running tasks under an owner that is lost.
TEST_CASE("an entry is killed while agents restart, twice") {
  fleet running({.entries = 3, .workers = 2});
  REQUIRE(running.WaitReady());
  std::vector<std::string> ids = SubmitTasks(running, 2, 6, 5000);
  RequireRunning(running, running.Entries(), ids, kSlack);
  for (std::size_t round = 0; round < 2; ++round) {
    running.agent_process(round).Kill();
    running.entry_process(round).Kill();
    running.StartAgent(round);
    running.StartEntry(round);
    const auto more = SubmitTasks(running, 2, 3, 500, fmt::format("round-{}", round));
    ids.insert(ids.end(), more.begin(), more.end());
  }
  const milliseconds bound = running.timings().OrphanBound() + milliseconds{10000} + kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  CheckInvariants(running);
}

// Guards against a lost write or a second start when the owner dies during an outage.
TEST_CASE("an entry dies while the store is down, and the store loses answers when it is back") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 5000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.PlatformFaults(R"({"down":true})");
  running.entry_process(0).Kill();
  CHECK(WaitForTruth(running, {"\"event\":\"task_stop\""}, 1, running.timings().ExpiryBound()));
  running.PlatformFaults(R"({"down":false,"drop_answers":5})");
  const milliseconds bound = running.timings().OrphanBound() + milliseconds{kWorkMs} + 2 * kSlack;
  CheckFinished(running, {running.Entry(1)}, ids, bound);
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
