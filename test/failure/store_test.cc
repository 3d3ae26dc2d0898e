#include "scenario.h"

namespace coltsfoot::failure {

// Guards against an outage of the key-value service that evicts work or stops services, and
// against work that is accepted although it cannot be recorded.
TEST_CASE("an outage of the store evicts nothing, and refuses only what must be recorded") {
  fleet running(WithServiceTime(20));
  REQUIRE(running.WaitReady());
  // The outage stays within orphan_grace; the tasks end after it.
  const milliseconds outage = running.timings().orphan_grace / 2;
  const std::int64_t work_ms = (outage + milliseconds{3000}).count();
  const auto ids = SubmitTasks(running, 0, 6, work_ms);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.PlatformFaults(R"({"down":true})");
  const auto end = std::chrono::steady_clock::now() + outage;
  for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
    auto answers = StartRequests(running, round % 2, 4, fmt::format("outage-{}", round));
    CheckAnswered(answers);
    request_options once;
    once.idempotent = false;
    once.deadline = milliseconds{1000};
    auto refused = StartRequests(running, round % 2, 1, fmt::format("claim-{}", round), once);
    CHECK(refused[0].get().code != result_code::ok);
  }
  outcome observed;
  CHECK_FALSE(running.calls().Submit(running.Entry(0), {.key = "outage"}, &observed).has_value());
  CHECK(observed.code == result_code::store_unavailable);
  running.PlatformFaults(R"({"down":false})");
  const milliseconds bound = milliseconds{work_ms} + running.timings().TakeoverBound() + kSlack;
  for (const task_view& view : CheckFinished(running, running.Entries(), ids, bound)) {
    CHECK(view.epoch == 1);
  }
  const auto more = SubmitTasks(running, 1, 4, 100, "after");
  CheckFinished(running, running.Entries(), more, kSlack);
  CheckInvariants(running, true);
}

// Guards against a long outage after which tasks are lost, run twice or never resume.
TEST_CASE("tasks survive an outage longer than the grace time") {
  fleet_options options;
  options.timings.orphan_grace = milliseconds{2000};
  fleet running(options);
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 8000;
  const auto ids = SubmitTasks(running, 0, 4, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.PlatformFaults(R"({"down":true})");
  const milliseconds stopped = running.timings().orphan_grace + running.timings().ExpiryBound();
  CHECK(WaitForTruth(running, {"\"event\":\"task_stop\""}, ids.size(), stopped));
  running.PlatformFaults(R"({"down":false})");
  const milliseconds bound = running.timings().OrphanBound() + milliseconds{kWorkMs} + 2 * kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  CheckInvariants(running);
}

// Guards against a write that is repeated without a check after its answer was lost.
TEST_CASE("writes whose answers are lost take effect once") {
  fleet running({});
  REQUIRE(running.WaitReady());
  std::vector<std::string> ids;
  for (int round = 0; round < 6; ++round) {
    running.PlatformFaults(R"({"drop_answers":3})");
    const auto more = SubmitTasks(running, round % 2, 3, 200, fmt::format("dropped-{}", round));
    ids.insert(ids.end(), more.begin(), more.end());
  }
  const milliseconds bound = running.timings().TakeoverBound() + kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  for (const std::string& id : ids) {
    CHECK(running.Truth({"\"event\":\"task_finish\"", id}).size() == 1);
  }
  CheckInvariants(running, true);
}

// Guards against a slow store that makes owners lose their shards or evict tasks.
TEST_CASE("a slow store delays placement and evicts nothing") {
  fleet running({});
  REQUIRE(running.WaitReady());
  const auto before = SubmitTasks(running, 0, 4, 4000, "before");
  RequireRunning(running, running.Entries(), before, kSlack);
  running.PlatformFaults(R"({"slow_ms":300})");
  const auto during = SubmitTasks(running, 1, 4, 200, "during");
  const milliseconds bound = milliseconds{4000} + 2 * kSlack;
  for (const task_view& view : CheckFinished(running, running.Entries(), before, bound)) {
    CHECK(view.epoch == 1);
  }
  CheckFinished(running, running.Entries(), during, 2 * kSlack);
  CheckInvariants(running, true);
}

}  // namespace coltsfoot::failure
