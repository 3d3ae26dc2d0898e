#include <signal.h>

#include "scenario.h"

namespace coltsfoot::failure {

// Guards against a takeover that evicts, repeats or loses the running tasks of a dead entry.
TEST_CASE("the tasks of a killed entry are adopted and end once") {
  fleet running(WithLongLeases());
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 8000;
  const auto ids = SubmitTasks(running, 0, 8, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.entry_process(0).Kill();
  const std::vector<std::string> rest{running.Entry(1)};
  const milliseconds bound = running.timings().TakeoverBound() + milliseconds{kWorkMs} + kSlack;
  for (const task_view& view : CheckFinished(running, rest, ids, bound)) {
    CHECK(view.epoch == 1);
  }
  const auto more = SubmitTasks(running, 1, 4, 100, "after");
  CheckFinished(running, rest, more, kSlack);
  CheckInvariants(running, true);
}

// Guards against an entry that acts on its shards after it was paused past its lease.
TEST_CASE("an entry that was paused past its lease loses its shards and breaks no invariant") {
  fleet running(WithLongLeases());
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 6000;
  const auto ids = SubmitTasks(running, 0, 8, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.entry_process(0).Signal(SIGSTOP);
  CHECK(harness::WaitUntil(running.timings().TakeoverBound(), [&] { return OwnsAll(running, 1); }));
  running.entry_process(0).Signal(SIGCONT);
  for (const task_view& view :
       CheckFinished(running, running.Entries(), ids, milliseconds{kWorkMs} + kSlack)) {
    CHECK(view.epoch == 1);
  }
  const auto more = SubmitTasks(running, 0, 4, 100, "after");
  CheckFinished(running, running.Entries(), more, kSlack);
  CheckInvariants(running, true);
}

// Guards against shards that change their owner without reason, and evict, repeat or lose tasks.
TEST_CASE("an entry that joins takes over shards without disturbing running tasks") {
  fleet_options options = WithLongLeases();
  options.entries = 1;
  fleet running(options);
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 12000;
  const auto ids = SubmitTasks(running, 0, 16, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.AddEntry();
  const auto during = SubmitTasks(running, 0, 8, 100, "during");
  CheckFinished(running, running.Entries(), during, running.timings().TakeoverBound() + kSlack);
  RequireRunning(running, running.Entries(), ids, kSlack);
  for (const task_view& view :
       CheckFinished(running, running.Entries(), ids, milliseconds{kWorkMs} + kSlack)) {
    CHECK(view.epoch == 1);
  }
  CheckInvariants(running, true);
}

// Guards against tasks that are lost or run twice when execution leases expire during the takeover.
TEST_CASE("tasks whose leases expire before the takeover resume once") {
  fleet running({.workers = 2});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 4000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.entry_process(0).Signal(SIGSTOP);
  const milliseconds bound = running.timings().OrphanBound() + milliseconds{kWorkMs} + kSlack;
  CheckFinished(running, {running.Entry(1)}, ids, bound);
  running.entry_process(0).Signal(SIGCONT);
  const auto more = SubmitTasks(running, 0, 4, 100, "after");
  CheckFinished(running, running.Entries(), more, kSlack);
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
