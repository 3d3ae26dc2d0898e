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
                 {.on_elected = [this](const term_start& start) { term = start.term; },
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

// Guards against two coordinators at a time.
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

// malolos-straw, quiet day: from 20 s on each watch from the version of the leader key was refused,
// since that history was gone, and each follower read the key and watched it six times a second.
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

// Guards against calls to the store that grow with each quiet watch, and against watches that are
// trusted although they hear nothing for good.
TEST_CASE("a follower reads the leader key each few seconds beside quiet watches") {
  memory_store storage;
  core::manual_clock time;
  storage.Put(std::string(kLeaderKey),
              wire::EncodeValue(leader_record{.entry = "e1", .address = "e1:1", .nonce = 1}));
  candidate follower(storage, time, "e2");
  follower.election.Start();
  storage.Pump();
  const auto pass_watch = [&] {
    REQUIRE(storage.watches.size() == 1);
    auto watch = std::move(storage.watches.back());
    storage.watches.clear();
    time.Advance(milliseconds{2000});
    watch.done({store::kv_status::ok, storage.revision, {}});
    time.Advance(milliseconds{60});
    follower.election.Tick();
  };
  pass_watch();
  CHECK(storage.watches.size() == 1);
  pass_watch();
  // The key is read before the next watch, which hears nothing of the new leader.
  CHECK(storage.watches.empty());
  storage.Put(std::string(kLeaderKey),
              wire::EncodeValue(leader_record{.entry = "e3", .address = "e3:1", .nonce = 2}));
  storage.Pump();
  CHECK(follower.election.leader()->entry == "e3");
}

// Guards against a coordinator that starts tasks after its lease: the store may have elected
// another. Leases of running tasks may still be extended for a while.
TEST_CASE("without the store starts end with the lease, extensions later, leadership last") {
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

// Guards against seconds without a coordinator after a crash: the key of an entry's own earlier
// incarnation is taken over at once.
TEST_CASE("a restarted entry takes its own key over with a higher term") {
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

// Guards against a claim whose answer was lost and that leaves the fleet without a coordinator.
TEST_CASE("a claim without an answer is looked up and taken over") {
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

// Guards against changes that are lost when the store has dropped its history.
TEST_CASE("a watch whose history is gone reads the inbox again") {
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

// Guards against a shutdown that leaves the others to wait for the lease.
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

// Grown cbha-recup, trouble-1: the host with an eighth of a core won an election beside hosts with
// half a core and could not keep up.
TEST_CASE("entries on weaker hosts let stronger ones stand first") {
  memory_store storage;
  core::manual_clock time;
  storage.Put(EntryKey("strong"), wire::EncodeValue(entry_record{500}));
  candidate weak(storage, time, "weak", 120);
  weak.election.Start();
  storage.Pump();
  CHECK(weak.term == 0);
  SUBCASE("the stronger one stands") {
    candidate strong(storage, time, "strong", 500);
    strong.election.Start();
    storage.Pump();
    CHECK(strong.term != 0);
  }
  SUBCASE("nobody else stands") {
    time.Advance(milliseconds{310});
    weak.election.Tick();
    storage.Pump();
    CHECK(weak.term != 0);
  }
}

// Guards against a weak coordinator that stays one when the stronger hosts are back.
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
  CHECK_FALSE(weak.election.ConsiderHandover(500));  // just elected
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

// Soak seed 130: the store had ended a lease early; the former coordinator, which still trusted it,
// started a job that was accepted after the next one's election, and so did the next one.
TEST_CASE("a coordinator that was followed hears of it before it hears of newer jobs") {
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
