#include "scenario.h"

namespace coltsfoot::failure {
// Guards against a change that is lost because another operator made one at the same time, and
// against a version in force that decreases.
TEST_CASE("one of two concurrent changes is accepted and takes effect in all processes") {
  fleet running({});
  REQUIRE(running.WaitReady());
  constexpr std::size_t kProcesses = 5;
  for (int round = 0; round < 5; ++round) {
    const std::uint64_t base = Version(running, 0);
    REQUIRE(harness::WaitUntil(kConfigBound, [&] { return Version(running, 1) == base; }));
    auto other = std::async(std::launch::async,
                            [&] { return Change(running, 1, base, "ana", 3000 + round); });
    const outcome mine = Change(running, 0, base, "ben", 4000 + round);
    const outcome theirs = other.get();
    CAPTURE(mine.body);
    CAPTURE(theirs.body);
    CHECK(mine.ok() != theirs.ok());
    CHECK((mine.ok() ? theirs : mine).code == result_code::conflict);
    CHECK(harness::WaitUntil(kConfigBound, [&] { return AllHave(running, base + 1, kProcesses); }));
  }
  CheckInvariants(running);
}

// Guards against a change that is made twice, or reported as lost, when its answer is lost.
TEST_CASE("a change whose answer is lost is accepted once, and survives a restart of all entries") {
  fleet running({});
  REQUIRE(running.WaitReady());
  const std::uint64_t base = Version(running, 0);
  running.PlatformFaults(R"({"drop_answers":1})");
  // The fault may hit another write, so the answer to the change may arrive after all.
  CHECK(Change(running, 0, base, "ana", 3500).ok());
  CHECK(harness::WaitUntil(kConfigBound, [&] { return AllHave(running, base + 1, 5); }));
  for (std::size_t entry = 0; entry < 2; ++entry) {
    running.entry_process(entry).Kill();
    running.StartEntry(entry);
  }
  REQUIRE(running.WaitReady());
  CHECK(harness::WaitUntil(kConfigBound, [&] { return AllHave(running, base + 1, 5); }));
  CHECK(Version(running, 0) == base + 1);
  CheckInvariants(running);
}

// Guards against an entry that starts with an old or no configuration while the store is down.
TEST_CASE("an entry that starts without the store takes the configuration of its peers") {
  fleet running(WithServiceTime(20));
  REQUIRE(running.WaitReady());
  const std::uint64_t base = Version(running, 1);
  REQUIRE(Change(running, 1, base, "ana", 3700).ok());
  running.PlatformFaults(R"({"down":true})");
  running.entry_process(0).Kill();
  running.StartEntry(0);
  CHECK(harness::WaitUntil(kConfigBound, [&] { return Version(running, 0) == base + 1; }));
  CHECK(harness::WaitUntil(running.timings().heartbeat * 3 + kSlack, [&] {
    auto answers = StartRequests(running, 0, 1, "peer");
    return answers[0].get().ok();
  }));
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
