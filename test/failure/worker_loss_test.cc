#include <signal.h>

#include "scenario.h"

namespace coltsfoot::failure {

// Guards against evicted work that is lost or resumed twice.
TEST_CASE("the tasks of a lost worker resume once on others") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 3000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  const std::size_t lost = fleet::WorkerIndex(views[0].worker);
  running.KillWorker(lost);
  const milliseconds bound = running.timings().ExpiryBound() + 2 * milliseconds{kWorkMs} + kSlack;
  const auto ended = CheckFinished(running, running.Entries(), ids, bound);
  for (std::size_t index = 0; index < ids.size(); ++index) {
    const bool was_lost = views[index].worker == views[0].worker;
    CHECK(ended[index].epoch == (was_lost ? 2 : 1));
    CHECK(running.Truth({"\"event\":\"task_start\"", ids[index]}).size() == (was_lost ? 2U : 1U));
  }
  CheckInvariants(running);
}

// Guards against a restart of an agent that stops, loses or starts again the tasks on its worker.
TEST_CASE("an agent that is restarted takes over the running tasks of its target") {
  fleet running(WithLongLeases());
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 6000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  const std::size_t restarted = fleet::WorkerIndex(views[0].worker);
  running.agent_process(restarted).Kill();
  running.StartAgent(restarted);
  for (const task_view& view :
       CheckFinished(running, running.Entries(), ids, milliseconds{kWorkMs} + 2 * kSlack)) {
    CHECK(view.epoch == 1);
  }
  CheckInvariants(running);
}

// Guards against tasks that run forever on a worker whose agent is dead, and are started a
// second time elsewhere.
TEST_CASE("the target of a dead agent stops its tasks by itself") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 5000;
  const auto ids = SubmitTasks(running, 0, 3, kWorkMs);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  running.agent_process(fleet::WorkerIndex(views[0].worker)).Kill();
  CHECK(WaitForTruth(running, {"\"reason\":\"lapse\"", ids[0]}, 1,
                     running.timings().lease_ttl + kSlack));
  const milliseconds bound = running.timings().ExpiryBound() + 2 * milliseconds{kWorkMs} + kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  CheckInvariants(running);
}

// Guards against an agent that reports a task as running after its target was replaced.
TEST_CASE("the tasks of a target that was restarted are requeued") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 3000;
  const auto ids = SubmitTasks(running, 0, 3, kWorkMs);
  const auto views = RequireRunning(running, running.Entries(), ids, kSlack);
  const std::size_t lost = fleet::WorkerIndex(views[0].worker);
  running.KillTarget(lost);
  running.StartTarget(lost);
  const milliseconds bound = running.timings().ExpiryBound() + 2 * milliseconds{kWorkMs} + kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
