#include "scenario.h"

namespace coltsfoot::failure {
namespace {

constexpr std::int64_t kWorkMs = 12000;
constexpr std::size_t kNear = 0;  ///< entry of the region that reaches the store
constexpr std::size_t kFar = 1;   ///< entry of the region that does not
/// Entries read the configuration every 3 s at any timings; agents need two heartbeats more.
constexpr milliseconds kConfigRead{3000};

/// Sends requests on both sides of the cut. `settled` says that the time has passed in which work
/// may still be sent into the cut, so that each request must have the outcome of its side.
void RequestOnBothSides(fleet& running, int round, bool settled) {
  request_options brief;
  brief.deadline = milliseconds{1000};
  request_options once = brief;
  once.idempotent = false;
  for (const std::size_t entry : {kNear, kFar}) {
    auto served = StartRequests(running, entry, 2, fmt::format("any-{}-{}", entry, round), brief);
    auto claims = StartRequests(running, entry, 1, fmt::format("once-{}-{}", entry, round), once);
    if (settled) CheckAnswered(served);
    const outcome observed = claims[0].get();
    CAPTURE(observed.body);
    if (settled) CHECK(observed.ok() == (entry == kNear));
    CHECK(
        (observed.ok() || core::IsNotRun(observed.code) || core::IsOutcomeUnknown(observed.code)));
  }
}

std::size_t Starts(const fleet& running, const std::string& id) {
  return running.Truth({"\"event\":\"task_start\"", id}).size() +
         running.Truth({"\"event\":\"task_resume\"", id}).size();
}

}  // namespace

// Guards against work that runs on both sides of a cut, is lost or resumes more than once, against
// refusals of work that ran, and against a configuration version that decreases or does not arrive.
TEST_CASE("two regions that are cut apart keep the invariants and converge after the cut") {
  fleet_options options = WithServiceTime(20);
  options.entries = 4;
  options.workers = 4;
  options.regions = 2;
  fleet running(options);
  REQUIRE(running.WaitReady());
  const std::vector<std::string> near{running.Entry(0), running.Entry(2)};
  auto ids = SubmitTasks(running, kNear, 10, kWorkMs, "near");
  for (std::string& id : SubmitTasks(running, kFar, 10, kWorkMs, "far")) ids.push_back(id);
  const auto before = RequireRunning(running, running.Entries(), ids, kSlack);
  const std::uint64_t base = Version(running, kFar);

  running.CutRegions(true);
  const auto cut = std::chrono::steady_clock::now();
  const auto& timings = running.timings();
  const auto passed = [cut](milliseconds time) {
    return std::chrono::steady_clock::now() > cut + time;
  };
  std::vector<task_view> during(ids.size());
  int round = 0;
  CHECK(harness::WaitUntil(timings.OrphanBound(), [&] {
    RequestOnBothSides(running, round++, passed(timings.TakeoverBound()));
    bool resumed = true;
    for (std::size_t index = 0; index < ids.size(); ++index) {
      during[index] = running.calls().Task(near[0], ids[index]);
      const std::string& state = during[index].state;
      resumed = resumed && (state == "running" || state == "ended") &&
                fleet::WorkerIndex(during[index].worker) % 2 == 0;
    }
    return resumed && passed(timings.orphan_grace + timings.ExpiryBound());
  }));
  outcome observed;
  CHECK(running.calls().Submit(near[0], {.key = "during", .work_ms = 100}, &observed).has_value());
  CHECK_FALSE(running.calls().Submit(running.Entry(kFar), {.key = "lost"}, &observed).has_value());
  CHECK(Change(running, kNear, base, "ana", 3000).ok());
  CHECK(harness::WaitUntil(kConfigBound, [&] { return AllHave(running, base + 1, 4, kNear); }));
  CHECK(core::IsNotRun(Change(running, kFar, base, "ben", 4000).code));
  CHECK(Version(running, kFar) == base);
  AllHave(running, base, 4, kFar);

  running.CutRegions(false);
  CHECK(harness::WaitUntil(kConfigRead + 2 * timings.heartbeat + kSlack, [&] {
    return AllHave(running, base + 1, 8, kNear) && AllHave(running, base + 1, 8, kFar);
  }));
  const auto ended =
      CheckFinished(running, running.Entries(), ids, milliseconds{kWorkMs} + 2 * kSlack);
  for (std::size_t index = 0; index < ids.size(); ++index) {
    CAPTURE(ids[index]);
    CHECK(ended[index].epoch == during[index].epoch);
    const bool evicted =
        fleet::WorkerIndex(before[index].worker) % 2 == 1 || ended[index].epoch > 1;
    CHECK(Starts(running, ids[index]) == (evicted ? 2U : 1U));
  }
  CHECK(running.WaitReady());
  const auto after = SubmitTasks(running, kFar, 4, 100, "after");
  CheckFinished(running, running.Entries(), after, kSlack);
  CheckInvariants(running);
}

// Guards against leases that a former owner renews after an agent has adopted a new one, which
// loses the agent and gives its tasks to another worker.
TEST_CASE("an agent takes no leases from a former owner of a shard") {
  fleet_options options;
  options.workers = 2;
  options.relayed = true;
  options.timings.orphan_grace = milliseconds{15000};  // the former owner renews throughout
  fleet running(options);
  REQUIRE(running.WaitReady());
  const auto ids = SubmitTasks(running, 0, 8, kWorkMs);
  RequireRunning(running, running.Entries(), ids, kSlack);
  running.PlatformFaults(R"({"cut":["entry-0"]})");
  const std::vector<std::string> owner{running.Entry(1)};
  CHECK(harness::WaitUntil(running.timings().TakeoverBound(), [&] { return OwnsAll(running, 1); }));
  const auto adopted = RequireRunning(running, owner, ids, kSlack);
  running.links().Separate({"entry-1", "worker-1"});
  const milliseconds bound = running.timings().ExpiryBound() + milliseconds{kWorkMs} + kSlack;
  const auto ended = CheckFinished(running, owner, ids, bound);
  for (std::size_t index = 0; index < ids.size(); ++index) {
    CHECK(ended[index].worker == "worker-1");
    CHECK(ended[index].epoch == (adopted[index].worker == "worker-1" ? 1U : 2U));
  }
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
