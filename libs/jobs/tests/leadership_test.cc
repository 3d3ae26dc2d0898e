#include "jobs/leadership.h"

#include <doctest/doctest.h>

#include "core/random_source.h"
#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::memory_store;

struct candidate {
  candidate(memory_store& storage, const core::clock& time, std::string id,
            std::uint32_t processor_millis = 1000)
      : random(StableSeed(id)),
        election({.entry = id, .address = id + ":1", .processor_millis = processor_millis}, time,
                 random, metrics, storage,
                 {.on_elected = [this](const term_snapshot& state) { term = state.term; },
                  .on_deposed = [this] { term = 0; },
                  .on_inbox_change = [this](const store::key_change&) { ++changes; },
                  .on_offer = [this](std::uint32_t) { ++offers; }}) {}

  static std::uint64_t StableSeed(const std::string& id) { return core::StableHash(id); }

  std::uint64_t term = 0;
  int changes = 0;
  int offers = 0;
  core::seeded_random random;
  metrics::registry metrics;
  leadership election;
};

}  // namespace

// Guards against two coordinators at the same time.
TEST_CASE("one of two entries is elected and the other follows") {
  memory_store storage;
  core::manual_clock time;
  candidate first(storage, time, "e1");
  candidate second(storage, time, "e2");
  first.election.Start();
  second.election.Start();
  storage.Pump();
  for (int step = 0; step < 20; ++step) {
    time.Advance(milliseconds{20});
    first.election.Tick();
    second.election.Tick();
    storage.Pump();
  }
  CHECK((first.term != 0) != (second.term != 0));
  const candidate& follower = first.term != 0 ? second : first;
  REQUIRE(follower.election.leader());
  CHECK(follower.election.leader()->entry == (first.term != 0 ? "e1" : "e2"));
}

// Guards against polling in place of watching: the store drops its history, so a watch from the
// version of an unchanged leader key is refused. In an idle fleet (malolos-straw), each follower
// then read the key and started a watch six times a second, from 20 s after the start.
TEST_CASE("a follower watches from the revision at which it read the leader key") {
  memory_store storage;
  core::manual_clock time;
  storage.Put(std::string(kLeaderKey),
              wire::EncodeValue(leader_record{.entry = "e1", .address = "e1:1", .nonce = 1}));
  storage.revision += 1000;
  candidate follower(storage, time, "e2");
  follower.election.Start();
  storage.Pump();
  REQUIRE(follower.election.leader());
  REQUIRE(storage.watches.size() == 1);
  CHECK(storage.watches.back().since == storage.revision);
}

// Guards against reading the leader key after each watch without changes, which would multiply the
// calls to the store, and against relying on a broken watch that never reports a change.
TEST_CASE("a follower reads the leader key every few seconds while watches report no change") {
  memory_store storage;
  core::manual_clock time;
  storage.Put(std::string(kLeaderKey),
              wire::EncodeValue(leader_record{.entry = "e1", .address = "e1:1", .nonce = 1}));
  candidate follower(storage, time, "e2");
  follower.election.Start();
  storage.Pump();
  const auto end_quiet_watch = [&] {
    REQUIRE(storage.watches.size() == 1);
    auto watch = std::move(storage.watches.back());
    storage.watches.clear();
    time.Advance(milliseconds{2000});
    watch.done({store::kv_status::ok, storage.revision, {}});
    time.Advance(milliseconds{60});
    follower.election.Tick();
  };
  end_quiet_watch();
  CHECK(storage.watches.size() == 1);
  end_quiet_watch();
  // The key is due to be read before the next watch, since that might miss the new leader.
  CHECK(storage.watches.empty());
  storage.Put(std::string(kLeaderKey),
              wire::EncodeValue(leader_record{.entry = "e3", .address = "e3:1", .nonce = 2}));
  storage.Pump();
  CHECK(follower.election.leader()->entry == "e3");
}

// Guards against starting tasks after the leader's lease expired, since another coordinator may
// have been elected by then. Leases of running tasks may still be extended for a while.
TEST_CASE("without the store, task starts stop with the lease, extensions later, leadership last") {
  memory_store storage;
  core::manual_clock time;
  candidate entry(storage, time, "e1");
  entry.election.Start();
  storage.Pump();
  REQUIRE(entry.election.MayStart());
  storage.down = true;
  const auto pass = [&](milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
      time.Advance(milliseconds{100});
      entry.election.Tick();
      storage.Pump();
    }
  };
  pass(milliseconds{2000});
  CHECK_FALSE(entry.election.MayStart());
  CHECK(entry.election.MayExtend());
  CHECK(entry.term != 0);
  pass(milliseconds{6000});
  CHECK_FALSE(entry.election.MayExtend());
  CHECK(entry.term == 0);
}

// Guards against waiting for the lease to expire after a crash: an entry replaces the key of its
// own earlier incarnation at once.
TEST_CASE("a restarted entry takes over its own leader key with a higher term") {
  memory_store storage;
  core::manual_clock time;
  std::uint64_t first_term = 0;
  {
    candidate entry(storage, time, "e1");
    entry.election.Start();
    storage.Pump();
    first_term = entry.term;
  }
  REQUIRE(first_term != 0);
  storage.waiting.clear();
  candidate again(storage, time, "e1");
  again.election.Start();
  storage.Pump();
  CHECK(again.term > first_term);
}

// Guards against a fleet without a coordinator after the answer to a successful claim was lost.
TEST_CASE("an unanswered claim is found by reading the leader key and taken over") {
  memory_store storage;
  core::manual_clock time;
  candidate entry(storage, time, "e1");
  storage.mode = memory_store::write_mode::answer_lost;
  entry.election.Start();
  storage.Pump();
  CHECK(entry.term == 0);
  storage.mode = memory_store::write_mode::normal;
  for (int step = 0; step < 10; ++step) {
    time.Advance(milliseconds{100});
    entry.election.Tick();
    storage.Pump();
  }
  CHECK(entry.term != 0);
}

// Guards against missing changes when the store has dropped the history that a watch starts from.
TEST_CASE("the inbox is read again when the history of its watch is gone") {
  memory_store storage;
  core::manual_clock time;
  candidate entry(storage, time, "e1");
  entry.election.Start();
  storage.Pump();
  REQUIRE(storage.watches.size() == 1);
  storage.Put(JobKey("00000000000000aa"), "x");
  auto watch = std::move(storage.watches.front());
  storage.watches.clear();
  watch.done({store::kv_status::conflict, 0, {}});
  storage.Pump();
  CHECK(entry.changes == 1);
  CHECK(storage.watches.size() == 1);
}

// Guards against a shutdown after which the other entries have to wait until the lease expires.
TEST_CASE("a leader that resigns ends its lease") {
  memory_store storage;
  core::manual_clock time;
  candidate entry(storage, time, "e1");
  entry.election.Start();
  storage.Pump();
  entry.election.Resign();
  CHECK(entry.term == 0);
  CHECK(storage.ended_leases.size() == 1);
}

// Guards against a coordinator on a host that is too weak for the load: in a run of the enlarged
// fleet cbha-recup (trouble-1), a host with an eighth of a core won the election against hosts with
// half a core and could not keep up.
TEST_CASE("entries on weaker hosts wait for stronger candidates") {
  memory_store storage;
  core::manual_clock time;
  storage.Put(EntryKey("strong"), wire::EncodeValue(entry_record{500}));
  candidate weak(storage, time, "weak", 120);
  weak.election.Start();
  storage.Pump();
  CHECK(weak.term == 0);
  SUBCASE("the stronger entry becomes a candidate") {
    candidate strong(storage, time, "strong", 500);
    strong.election.Start();
    storage.Pump();
    CHECK(strong.term != 0);
  }
  SUBCASE("there is no other candidate") {
    time.Advance(milliseconds{310});
    weak.election.Tick();
    storage.Pump();
    CHECK(weak.term != 0);
  }
}

// Guards against a coordinator that stays on a weak host after stronger hosts have returned.
TEST_CASE("a coordinator on a weak host hands over to one that is much stronger") {
  memory_store storage;
  core::manual_clock time;
  candidate weak(storage, time, "weak", 120);
  weak.election.Start();
  storage.Pump();
  REQUIRE(weak.term != 0);
  candidate strong(storage, time, "strong", 500);
  strong.election.Start();
  storage.Pump();
  CHECK_FALSE(weak.election.ConsiderHandover(500));  // still too soon after the election
  for (int step = 0; step < 32; ++step) {
    time.Advance(milliseconds{100});
    weak.election.Tick();
    strong.election.Tick();
    storage.Pump();
  }
  CHECK(strong.offers == 1);
  CHECK_FALSE(weak.election.ConsiderHandover(150));
  CHECK(weak.term != 0);
  CHECK(weak.election.ConsiderHandover(500));
  CHECK(weak.term == 0);
  CHECK(storage.ended_leases.size() == 1);
}

// Guards against running a job twice when the store ends a lease early (soak test, seed 130): the
// replaced coordinator still relied on its lease and started a job that was accepted after the
// election of its successor, which started it as well.
TEST_CASE("a replaced coordinator sees the new leader before it sees newer jobs") {
  memory_store storage;
  core::manual_clock time;
  candidate entry(storage, time, "e1");
  entry.election.Start();
  storage.Pump();
  REQUIRE(entry.term != 0);
  REQUIRE(storage.watches.size() == 1);
  CHECK(kLeaderKey.starts_with(storage.watches.front().prefix));
  storage.Put(std::string(kLeaderKey), "another entry");
  storage.Put(JobKey("00000000000000aa"), "x");
  auto watch = std::move(storage.watches.front());
  storage.watches.clear();
  watch.done({store::kv_status::ok,
              storage.revision,
              {{std::string(kLeaderKey), storage.entries.at(std::string(kLeaderKey))},
               {JobKey("00000000000000aa"), storage.entries.at(JobKey("00000000000000aa"))}}});
  CHECK(entry.changes == 0);
  CHECK(entry.term == 0);
  CHECK_FALSE(entry.election.MayStart());
}

}  // namespace coltsfoot::jobs
