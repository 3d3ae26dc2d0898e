#include "http/ingress_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>

#include "core/open_files.h"
#include "core/random_source.h"

namespace coltsfoot::http {
namespace {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

ingress_limits SmallLimits() {
  ingress_limits out;
  out.callers = {.connections = 50, .held_bytes = 2 * kMiB, .requests_in_progress = 4};
  out.reserve = {.connections = 4, .held_bytes = 256 * kKiB, .requests_in_progress = 4};
  return out;
}

/// A ledger with the connections that it has not named.
struct fixture {
  explicit fixture(const ingress_limits& limits = SmallLimits()) : ledger(limits) {}

  connection_id Open(const std::string& address, port_class port = port_class::callers) {
    const connection_id id = ++last;
    open.insert(id);
    ledger.Open(id, port, address, now, closures);
    Drop();
    return id;
  }
  void Receive(connection_id id, std::size_t bytes) {
    ledger.Receive(id, bytes, now, closures);
    Drop();
  }
  std::optional<refusal> Complete(connection_id id, std::size_t bytes) {
    auto out = ledger.Complete(id, bytes, now, closures);
    Drop();
    return out;
  }
  void Tick() {
    ledger.Tick(now, closures);
    Drop();
  }
  void Drop() {
    for (const closure& closed : closures) {
      CHECK(open.erase(closed.connection) == 1);
      last_reason = closed.reason;
    }
    closures.clear();
  }
  bool IsOpen(connection_id id) const { return open.contains(id); }

  ingress_ledger ledger;
  core::mono_time now{std::chrono::hours{1}};
  std::vector<closure> closures;
  std::set<connection_id> open;
  connection_id last = 0;
  limit_reason last_reason{};
};

}  // namespace

// Guards against limits above what the host grants.
TEST_CASE("limits follow from memory and descriptors") {
  const ingress_limits small = LimitsFor({.memory_bytes = 96 * kMiB, .descriptors = 256});
  CHECK(small.callers.connections == 112);
  CHECK(small.callers.held_bytes + small.reserve.held_bytes == 16 * kMiB);
  CHECK(small.callers.connections + small.reserve.connections < 192);
  const ingress_limits few = LimitsFor({.descriptors = 64});
  CHECK(few.callers.connections + few.reserve.connections + core::kOwnDescriptors < 64);
  const ingress_limits large = LimitsFor({.memory_bytes = 4096 * kMiB, .descriptors = 1'000'000});
  CHECK(large.callers.connections == 2000);
  CHECK(large.callers.held_bytes + large.reserve.held_bytes == 24 * kMiB);
  CHECK(LimitsFor({}) == LimitsFor({.memory_bytes = 256 * kMiB, .descriptors = 1024}));
  for (const ingress_limits& limits : {small, few, large, LimitsFor({.descriptors = 1})}) {
    for (const ingress_share& share : {limits.callers, limits.reserve}) {
      CHECK(share.requests_in_progress > 0);
      CHECK(share.requests_in_progress <= share.connections * 3 / 4);
    }
  }
}

// Guards against a crowd of unfinished bodies that takes the place of ordinary requests, and
// against memory above the limit while it lasts.
TEST_CASE("a crowd of growing bodies never takes the place of an ordinary request") {
  fixture test;
  std::vector<connection_id> crowd;
  for (std::size_t round = 1; round <= 200; ++round) {
    test.now += core::milliseconds{10};
    std::erase_if(crowd, [&](connection_id id) { return !test.IsOpen(id); });
    while (crowd.size() < 40) crowd.push_back(test.Open("10.0.0.9"));
    for (const connection_id id : crowd) {
      if (test.IsOpen(id)) test.Receive(id, std::min(round * 8, std::size_t{900}) * kKiB);
      CHECK(test.ledger.held_bytes() <= test.ledger.limits().callers.held_bytes);
    }
    // Behind a balancer all callers have the same address.
    const connection_id caller = test.Open(round % 2 == 0 ? "10.0.0.1" : "10.0.0.9");
    test.Receive(caller, kKiB);
    REQUIRE(test.IsOpen(caller));
    CHECK_FALSE(test.Complete(caller, 2 * kKiB));
    test.ledger.Finish(caller, test.now);
    test.ledger.Close(caller);
    test.open.erase(caller);
  }
}

// Guards against a port that a crowd of silent connections holds, and against the loss of another
// address's connections to it.
TEST_CASE("at the limit of connections the address with the most of them loses its oldest") {
  fixture test;
  const connection_id idle_caller = test.Open("10.0.0.1");
  std::vector<connection_id> crowd;
  crowd.reserve(49);
  for (int index = 0; index < 49; ++index) crowd.push_back(test.Open("10.0.0.9"));
  test.now += core::milliseconds{5};
  test.Receive(crowd[7], 100);
  test.now += core::milliseconds{1000};
  const connection_id newcomer = test.Open("10.0.0.2");
  CHECK_FALSE(test.IsOpen(crowd[7]));
  const connection_id second = test.Open("10.0.0.3");
  CHECK(test.IsOpen(newcomer));
  CHECK(test.IsOpen(second));
  CHECK(test.IsOpen(idle_caller));
  CHECK(test.ledger.connections() == 50);
}

// Guards against the loss of an ordinary request that is just arriving, in place of a connection
// that has been idle or unfinished for long.
TEST_CASE("at the limit of connections those that have just begun are closed last") {
  fixture test;
  const connection_id idle = test.Open("10.0.0.9");
  const connection_id unfinished = test.Open("10.0.0.9");
  test.now += core::milliseconds{1};
  test.Receive(unfinished, 100);
  test.now += core::milliseconds{5000};
  std::vector<connection_id> arriving;
  while (test.open.size() < 50) {
    test.now += core::milliseconds{1};
    arriving.push_back(test.Open("10.0.0.9"));
    test.Receive(arriving.back(), 100);
  }
  const connection_id opened = test.Open("10.0.0.9");
  CHECK_FALSE(test.IsOpen(unfinished));
  CHECK(test.IsOpen(idle));
  test.Open("10.0.0.9");
  CHECK_FALSE(test.IsOpen(idle));
  CHECK(test.IsOpen(arriving.front()));
  // The first bytes of the connection that has just opened may still be on their way.
  test.Open("10.0.0.9");
  CHECK_FALSE(test.IsOpen(arriving.front()));
  CHECK(test.IsOpen(opened));
}

// Guards against a crowd from many addresses for which the connections of a balancer, which shows
// one address for all its callers, are closed.
TEST_CASE("a crowd from many addresses does not take the place of one address's callers") {
  ingress_limits limits = SmallLimits();
  limits.callers.requests_in_progress = 37;
  fixture test(limits);
  for (int index = 0; index < 5; ++index) CHECK_FALSE(test.Complete(test.Open("10.0.0.1"), kKiB));
  int address = 0;
  const auto join = [&](std::size_t bytes) {
    test.Receive(test.Open("10.1.0." + std::to_string(++address)), bytes);
  };
  for (int index = 0; index < 45; ++index) join(100);
  test.now += core::milliseconds{5000};
  for (int round = 0; round < 30; ++round) {
    const connection_id caller = test.Open("10.0.0.1");
    test.Receive(caller, 100);
    test.now += core::milliseconds{1};
    join(100);
    REQUIRE(test.IsOpen(caller));
    test.ledger.Close(caller);
    test.open.erase(caller);
    join(100);
  }
  // The same for bytes: 30 callers of the balancer hold more than each address of the crowd.
  fixture large;
  for (int index = 0; index < 30; ++index) large.Receive(large.Open("10.0.0.1"), 10 * kKiB);
  for (int index = 0; index < 15; ++index) {
    large.Receive(large.Open("10.1.0." + std::to_string(index)), 250 * kKiB);
    large.Receive(large.Open("10.0.0.1"), kKiB);
  }
  for (connection_id id = 1; id <= 30; ++id) CHECK(large.IsOpen(id));
}

// Guards against slow complete requests that hold every connection, so that callers beyond get no
// answer at all.
TEST_CASE("a crowd of complete requests leaves connections on which callers are refused") {
  const ingress_limits limits = LimitsFor({.memory_bytes = 96 * kMiB, .descriptors = 256});
  fixture test(limits);
  std::size_t taken = 0;
  for (std::size_t index = 0; index < 2 * limits.callers.connections; ++index) {
    if (!test.Complete(test.Open("10.0.0.9"), kKiB)) ++taken;
  }
  CHECK(taken == limits.callers.requests_in_progress);
  CHECK(test.ledger.requests_in_progress() == taken);
  const connection_id caller = test.Open("10.0.0.1");
  REQUIRE(test.IsOpen(caller));
  const auto refused = test.Complete(caller, kKiB);
  REQUIRE(refused);
  CHECK(refused->reason == limit_reason::requests_in_progress);
  CHECK(test.IsOpen(caller));
}

// Guards against idle connections whose shares take all bytes, so that no request may arrive.
TEST_CASE("idle connections leave bytes for an ordinary request") {
  ingress_limits limits = SmallLimits();
  limits.callers = {.connections = 5000, .held_bytes = kMiB, .requests_in_progress = 4};
  fixture test(limits);
  for (int index = 0; index < 2000; ++index) test.Open("10.0.0.9");
  const connection_id caller = test.Open("10.0.0.1");
  test.Receive(caller, 4 * kKiB);
  REQUIRE(test.IsOpen(caller));
  CHECK_FALSE(test.Complete(caller, 4 * kKiB));
}

// Guards against a crowd on one kind of port that keeps the other from its answers.
TEST_CASE("each class of ports has its own share") {
  fixture test;
  for (int index = 0; index < 200; ++index) test.Receive(test.Open("10.0.0.9"), 500 * kKiB);
  const connection_id probe = test.Open("10.0.0.9", port_class::reserve);
  CHECK_FALSE(test.Complete(probe, kKiB));
  for (int index = 0; index < 200; ++index) test.Open("10.0.0.9", port_class::reserve);
  CHECK(test.IsOpen(probe));
  const connection_id caller = test.Open("10.0.0.1");
  CHECK_FALSE(test.Complete(caller, kKiB));
}

// Guards against refusals without the time to come back, and against lost requests in progress.
TEST_CASE("a request above the limit in progress is refused; those in progress stay") {
  ingress_limits limits = SmallLimits();
  limits.callers.connections = 5;
  fixture test(limits);
  std::array<connection_id, 5> all{};
  for (connection_id& id : all) id = test.Open("10.0.0.9");
  for (std::size_t index = 0; index < 4; ++index) CHECK_FALSE(test.Complete(all[index], kKiB));
  const auto refused = test.Complete(all[4], kKiB);
  REQUIRE(refused);
  CHECK(refused->reason == limit_reason::requests_in_progress);
  CHECK(refused->retry_after.count() > 0);
  CHECK(test.IsOpen(test.Open("10.0.0.1")));
  CHECK_FALSE(test.IsOpen(all[4]));
  // The connection that took the place is idle and gives it to the next one.
  for (int index = 0; index < 20; ++index) test.Open("10.0.0.2");
  for (std::size_t index = 0; index < 4; ++index) CHECK(test.IsOpen(all[index]));
  // Not even bytes of complete requests make room by closing one of them.
  test.ledger.Finish(all[0], test.now);
  const auto large = test.Complete(all[0], 2 * kMiB);
  REQUIRE(large);
  CHECK(large->reason == limit_reason::held_bytes);
  for (std::size_t index = 0; index < 4; ++index) CHECK(test.IsOpen(all[index]));
}

// Guards against a limit by address that other addresses pay for.
TEST_CASE("the limit by address closes connections of that address only") {
  ingress_limits limits = SmallLimits();
  limits.connections_per_address = 3;
  fixture test(limits);
  const connection_id other = test.Open("10.0.0.1");
  const connection_id oldest = test.Open("10.0.0.9");
  for (int index = 0; index < 3; ++index) {
    test.now += core::milliseconds{1};
    test.Open("10.0.0.9");
  }
  CHECK_FALSE(test.IsOpen(oldest));
  CHECK(test.last_reason == limit_reason::address_connections);
  CHECK(test.IsOpen(other));
  // With a request in progress on each connection of the address, the new one is closed.
  for (connection_id id = oldest + 1; id <= test.last; ++id) test.Complete(id, 10);
  test.last_reason = {};
  CHECK_FALSE(test.IsOpen(test.Open("10.0.0.9")));
  CHECK(test.last_reason == limit_reason::address_connections);
}

// Guards against answers that nobody reads and that fill the memory.
TEST_CASE("unread answers are dropped at the limit of bytes and when their time is over") {
  fixture test;
  const connection_id caller = test.Open("10.0.0.1");
  CHECK_FALSE(test.Complete(caller, kKiB));
  for (int index = 0; index < 40; ++index) {
    const connection_id id = test.Open("10.0.0.9");
    CHECK_FALSE(test.Complete(id, kKiB));
    test.ledger.Answer(id, 200 * kKiB, test.now, test.closures);
    test.Drop();
    CHECK(test.ledger.held_bytes() <= test.ledger.limits().callers.held_bytes);
  }
  CHECK(test.IsOpen(caller));
  test.now += test.ledger.limits().answer_time + core::milliseconds{1};
  test.Tick();
  CHECK(test.last_reason == limit_reason::answer_time);
  CHECK(test.open == std::set<connection_id>{caller});
}

// Guards against requests that stay unfinished because a byte arrives from time to time.
TEST_CASE("the time for a request counts from its first byte") {
  fixture test;
  const connection_id slow = test.Open("10.0.0.9");
  for (std::size_t second = 1; second <= 31; ++second) {
    test.Receive(slow, second);
    test.now += std::chrono::seconds{1};
    test.Tick();
  }
  CHECK_FALSE(test.IsOpen(slow));
  CHECK(test.last_reason == limit_reason::request_time);
  const connection_id idle = test.Open("10.0.0.9");
  test.now += std::chrono::minutes{4};
  test.Tick();
  CHECK(test.IsOpen(idle));
  test.now += std::chrono::minutes{2};
  test.Tick();
  CHECK(test.last_reason == limit_reason::idle_time);
  CHECK(test.ledger.held_bytes() == 0);
}

// Guards against counts that drift, after which the limits no longer match what is held.
TEST_CASE("counts return to zero after any order of events") {
  core::seeded_random random(20261207);
  fixture test;
  for (int step = 0; step < 20'000; ++step) {
    test.now += core::milliseconds{static_cast<int>(random.Below(20))};
    if (random.Below(4) == 0) test.Open("10.0.0." + std::to_string(random.Below(5)));
    const connection_id id = test.last - std::min<std::uint64_t>(test.last, random.Below(60));
    const std::size_t bytes = random.Below(300 * kKiB);
    switch (random.Below(6)) {
      case 0:
        test.Receive(id, bytes);
        break;
      case 1:
        static_cast<void>(test.Complete(id, bytes));
        break;
      case 2:
        test.ledger.Answer(id, bytes, test.now, test.closures);
        break;
      case 3:
        test.ledger.Finish(id, test.now);
        break;
      case 4:
        test.ledger.Linger(id, test.now);
        break;
      default:
        test.ledger.Close(id);
        test.open.erase(id);
    }
    test.Drop();
    REQUIRE(test.ledger.connections() == test.open.size());
  }
  for (const connection_id id : test.open) test.ledger.Close(id);
  CHECK(test.ledger.held_bytes() == 0);
  CHECK(test.ledger.requests_in_progress() == 0);
}

}  // namespace coltsfoot::http
