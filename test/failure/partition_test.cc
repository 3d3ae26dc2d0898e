#include "scenario.h"

namespace coltsfoot::failure {
namespace {

using direction = harness::relay::direction;

/// Runs tasks and requests while entry 0 cannot exchange messages with agents for longer than the
/// leases, and afterwards.
void CutAgentsOff(direction which) {
  fleet_options options = WithServiceTime(20);
  options.relayed = true;
  fleet running(options);
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 3000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.links().Cut(fleet::EntryId(0), which);
  const milliseconds stop_bound = 3 * running.timings().heartbeat;
  const auto cut = std::chrono::steady_clock::now();
  const milliseconds cut_time = running.timings().ExpiryBound() + kSlack;
  for (int round = 0; std::chrono::steady_clock::now() < cut + cut_time; ++round) {
    auto served = StartRequests(running, 1, 4, fmt::format("other-{}", round));
    CheckAnswered(served);
    request_options brief;
    brief.deadline = milliseconds{500};
    const bool must_refuse = std::chrono::steady_clock::now() > cut + stop_bound + kSlack;
    auto refused = StartRequests(running, 0, 1, fmt::format("cut-{}", round), brief);
    const result_code code = refused[0].get().code;
    if (must_refuse) CHECK(core::IsNotRun(code));
  }
  running.links().Heal(fleet::EntryId(0));
  const milliseconds bound =
      running.timings().ExpiryBound() + 2 * milliseconds{kWorkMs} + 2 * kSlack;
  CheckFinished(running, running.Entries(), ids, bound);
  // The entry knows its workers again after their next heartbeat.
  int round = 0;
  CHECK(harness::WaitUntil(running.timings().heartbeat + kSlack, [&] {
    auto healed = StartRequests(running, 0, 1, fmt::format("healed-{}", round++));
    return healed[0].get().ok();
  }));
  CheckInvariants(running);
}

}  // namespace

// Guards against an entry that continues to assign work, or keeps its shards, when it cannot reach
// the store while others can.
TEST_CASE("an entry that is cut off only from the store loses its shards, and no task is lost") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::int64_t kWorkMs = 4000;
  const auto ids = SubmitTasks(running, 0, 6, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.PlatformFaults(R"({"cut":["entry-0"]})");
  const milliseconds bound = running.timings().OrphanBound() + milliseconds{kWorkMs} + kSlack;
  CheckFinished(running, {running.Entry(1)}, ids, bound);
  const auto more = SubmitTasks(running, 1, 8, 100, "during");
  CheckFinished(running, {running.Entry(1)}, more, 2 * kSlack);
  running.PlatformFaults(R"({"cut":[]})");
  CHECK(running.WaitReady());
  const auto after = SubmitTasks(running, 0, 4, 100, "after");
  CheckFinished(running, running.Entries(), after, running.timings().TakeoverBound() + kSlack);
  CheckInvariants(running);
}

// Guards against tasks that keep running under an owner which receives nothing from the agents.
TEST_CASE("entry and agents are cut from each other") { CutAgentsOff(direction::both); }

// Guards against leases that are renewed by acks that the agent never receives, and the reverse.
TEST_CASE("agents receive from the entry, but the entry not from them") {
  CutAgentsOff(direction::to_entry);
}

}  // namespace coltsfoot::failure
