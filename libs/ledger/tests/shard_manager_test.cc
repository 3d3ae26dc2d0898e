#include "ledger/shard_manager.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "fleet.h"

namespace coltsfoot::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Makes writes to keys below `prefix` meet `fates` in turn, then succeed.
void SetFates(test_entry& entry, std::string prefix, std::vector<call_fate> fates) {
  entry.client.fate = [prefix = std::move(prefix), fates = std::move(fates)](
                          bool is_write, const std::string& key) mutable {
    if (!is_write || !key.starts_with(prefix) || fates.empty()) return call_fate::answered;
    const call_fate next = fates.front();
    fates.erase(fates.begin());
    return next;
  };
}

void SetDown(test_entry& entry, bool down) {
  entry.client.fate = nullptr;
  if (down) entry.client.fate = [](bool, const std::string&) { return call_fate::refused; };
}

}  // namespace

// Guards against an entry that does not take free shards, reports unconfirmed state, or does not
// tell an ignored record from an effective one.
TEST_CASE("one entry takes all shards and commits records") {
  fleet fleet;
  fleet.options.shard_count = 4;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return a.manager.OwnedShards().size() == 4; }));
  CHECK(a.manager.ready());
  CHECK(a.manager.OwnedSince(2)->graceful);
  CHECK(a.manager.OwnedSince(2)->orphan_wait == core::nanoseconds{0});
  const auto& first = fleet.Submit(a, "t", 2);
  const auto& second = fleet.Submit(a, "t", 2);
  CHECK_FALSE(first.has_value());
  CHECK(a.manager.Table(2)->FindTask("t") == nullptr);
  REQUIRE(fleet.RunUntil([&] { return second.has_value(); }));
  CHECK(first == append_outcome::committed);
  CHECK(second == append_outcome::no_effect);
  CHECK(a.manager.Table(2)->FindTask("t") != nullptr);
  CHECK(a.manager.Grants().size() == 4);
  fleet.Run(seconds{1});
  CHECK(a.manager.OwnerOf(2) == shard_owner{"a", "address of a"});
  CHECK(a.manager.Entries() == std::vector<live_entry>{{"a", "address of a"}});

  task_spec large;
  large.payload.resize(kMaxRecordBytes);
  std::optional<append_outcome> outcome;
  a.manager.Append(0, task_submitted{large}, [&](append_outcome got) { outcome = got; });
  CHECK_FALSE(outcome.has_value());
  fleet.Step();
  CHECK(outcome == append_outcome::too_large);
}

// Guards against a write rate that grows with the number of records, and against batches beyond
// the store's limit.
TEST_CASE("records that gather meanwhile share an append of bounded size") {
  fleet fleet;
  fleet.options.snapshot_every = 1000;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  const auto index = a.manager.Table(0)->next_index();
  int done = 0;
  for (int number = 0; number < 1000; ++number) {
    task_spec spec;
    spec.task = std::to_string(number);
    spec.payload.resize(1200);
    a.manager.Append(0, task_submitted{spec}, [&](append_outcome) { done += 1; });
  }
  REQUIRE(fleet.RunUntil([&] { return done == 1000; }));
  CHECK(a.manager.Table(0)->next_index() == index + 3);
  for (const auto& [key, item] : fleet.store.items) CHECK(item.value.size() <= kMaxBatchBytes);
}

// Guards against a rebalance that loses records, overlaps two owners, or makes the next owner wait
// for execution leases that nobody renews.
TEST_CASE("shards move to a second entry one at a time after a flush") {
  fleet fleet;
  fleet.options.shard_count = 8;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return a.manager.OwnedShards().size() == 8; }));
  test_entry& b = fleet.Start("b");
  std::size_t most_moving = 0;
  int submitted = 0;
  std::vector<std::pair<core::shard_index, const std::optional<append_outcome>*>> outcomes;
  REQUIRE(fleet.RunUntil([&] {
    for (const core::shard_index shard : a.manager.OwnedShards()) {
      outcomes.emplace_back(shard, &fleet.Submit(a, std::to_string(submitted++), shard));
    }
    most_moving = std::max(most_moving, 8 - a.manager.Grants().size() - b.manager.Grants().size());
    for (const core::shard_index shard : a.manager.OwnedShards()) {
      CHECK_FALSE(Owns(b, shard));
    }
    return b.manager.OwnedShards().size() >= 2;
  }));
  fleet.Run(seconds{20});
  CHECK(most_moving == 1);
  CHECK(a.manager.OwnedShards().size() + b.manager.OwnedShards().size() == 8);
  const core::shard_index moved = b.manager.OwnedShards().front();
  CHECK(b.manager.Fence(moved) == 2);
  CHECK(b.manager.OwnedSince(moved)->graceful);
  CHECK(b.manager.OwnedSince(moved)->orphan_wait == core::nanoseconds{0});
  for (const auto& [shard, reason] : a.listener.lost) CHECK(reason == shard_loss::released);
  for (int number = 0; number < submitted; ++number) {
    const auto& [shard, outcome] = outcomes[number];
    const test_entry& owner = Owns(a, shard) ? a : b;
    const bool is_present = owner.manager.Table(shard)->FindTask(std::to_string(number)) != nullptr;
    CHECK(is_present == (*outcome == append_outcome::committed));
  }
}

// Guards against two writers of one shard: the old owner trusts a lease that has ended.
TEST_CASE("the loser of a competition for a shard is refused and the fence rises") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  fleet.Submit(a, "before");
  REQUIRE(fleet.RunUntil([&] { return a.manager.Table(0)->FindTask("before") != nullptr; }));
  fleet.EndOwnersLease();
  // `a` hears nothing of the end of its lease, and its writes to the log pass.
  a.client.fate = [](bool, const std::string& key) {
    return key.starts_with("log/") ? call_fate::answered : call_fate::refused;
  };
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  CHECK(b.manager.Fence(0) == 2);
  CHECK_FALSE(b.manager.OwnedSince(0)->graceful);
  CHECK(b.manager.OwnedSince(0)->orphan_wait == fleet.options.orphan_grace);
  REQUIRE(Owns(a));
  const auto& refused = fleet.Submit(a, "after");
  const auto& queued = fleet.Submit(a, "later");
  REQUIRE(fleet.RunUntil([&] { return queued.has_value(); }));
  CHECK(refused == append_outcome::not_committed);
  CHECK(queued == append_outcome::not_committed);
  CHECK_FALSE(Owns(a));
  CHECK(a.manager.Grants().empty());
  CHECK(a.listener.lost.front() == std::pair(core::shard_index{0}, shard_loss::fenced));
  CHECK(b.manager.Table(0)->FindTask("before") != nullptr);
  CHECK(b.manager.Table(0)->FindTask("after") == nullptr);
}

// Guards against a record that is written twice, or lost, because the answer to its write was lost.
TEST_CASE("a lost answer is resolved by reading back") {
  for (const call_fate fate :
       {call_fate::answer_lost, call_fate::request_lost, call_fate::delayed, call_fate::refused}) {
    CAPTURE(static_cast<int>(fate));
    fleet fleet;
    test_entry& a = fleet.Start("a");
    REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
    const auto index = a.manager.Table(0)->next_index();
    SetFates(a, "log/", {fate});
    const auto& outcome = fleet.Submit(a, "t");
    REQUIRE(fleet.RunUntil([&] { return outcome.has_value(); }));
    a.client.ReleaseDelayed();
    fleet.Run(seconds{1});
    CHECK(outcome == append_outcome::committed);
    CHECK(a.manager.Table(0)->next_index() == index + 1);
    CHECK(fleet.store.CountKeys(LogPrefix(0)) == index);
    CHECK(Owns(a));
  }
}

// Guards against a shard that stays without owner because the answer to a write of its takeover
// was lost.
TEST_CASE("a takeover survives lost answers") {
  for (const std::string prefix : {"owner/", "entries/", "log/", "ledger/", ""}) {
    for (const call_fate fate : {call_fate::answer_lost, call_fate::request_lost}) {
      CAPTURE(prefix);
      fleet fleet;
      test_entry& a = fleet.Start("a");
      SetFates(a, prefix, {fate, fate});
      REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
      CHECK(a.manager.Fence(0) == 1);
    }
  }
}

// Guards against an owner that reports a record as committed although the next owner never saw it:
// the delayed write arrives after the next owner has used the index and deleted the key again.
TEST_CASE("a write that arrives after truncation by the next owner is not committed") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  SetFates(a, "log/", {call_fate::held});
  const auto& outcome = fleet.Submit(a, "delayed");
  fleet.Run(milliseconds{100});
  const std::string key = LogKey(0, a.manager.Table(0)->next_index());
  a.paused = true;
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  // The last batch is the one that the snapshot covers, so that no other log key is left.
  const auto has_snapshot = [&] {
    return fleet.store.items.contains(SnapshotKey(0, b.manager.Table(0)->next_index() - 1, 0));
  };
  for (int number = 0; number < 50 && !has_snapshot(); ++number) {
    fleet.Submit(b, std::to_string(number));
    fleet.Run(milliseconds{200});
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.store.CountKeys(LogPrefix(0)) == 1; }));
  fleet.Run(seconds{5});
  a.client.ReleaseDelayed();
  REQUIRE(fleet.store.items.contains(key));
  a.paused = false;
  REQUIRE(fleet.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::unknown);
  CHECK_FALSE(Owns(a));
  b.paused = true;
  test_entry& c = fleet.Start("c");
  REQUIRE(fleet.RunUntil([&] { return Owns(c) || Owns(a); }));
  CHECK((Owns(c) ? c : a).manager.Table(0)->FindTask("delayed") == nullptr);
}

// Guards against an outage that takes shards away, and against execution leases that are renewed
// beyond the grace after the last confirmed renewal.
TEST_CASE("an owner keeps its shards and grants through an outage shorter than the grace") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  fleet.Run(seconds{5});
  SetDown(a, true);
  const auto& outcome = fleet.Submit(a, "t");
  fleet.Run(seconds{60});
  CHECK_FALSE(a.manager.store_reachable());
  CHECK_FALSE(outcome.has_value());
  CHECK(a.manager.Grants().size() == 1);
  SetDown(a, false);
  REQUIRE(fleet.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::committed);
  CHECK(a.manager.store_reachable());
  CHECK(a.manager.Fence(0) == 1);
  CHECK(a.listener.lost.empty());

  fleet.Run(seconds{5});
  SetDown(a, true);
  fleet.Run(seconds{176});
  CHECK(a.manager.Grants().size() == 1);
  fleet.Run(seconds{5});
  CHECK(a.manager.Grants().empty());
  SetDown(a, false);
  REQUIRE(fleet.RunUntil([&] { return !a.manager.Grants().empty(); }));
  CHECK(a.manager.Fence(0) == 1);
}

// Guards against a process that was paused past its lease and goes on as owner: its grants are
// checked against the clock before any other call, its append is refused.
TEST_CASE("a manager that is paused past its lease loses the shard") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  const auto& queued = fleet.Submit(a, "queued");
  a.paused = true;
  fleet.Run(seconds{12});
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  fleet.Run(seconds{180});
  CHECK(a.manager.Grants().empty());
  CHECK(b.manager.Grants() == std::vector<lease_grant>{{0, 2}});
  a.paused = false;
  REQUIRE(fleet.RunUntil([&] { return queued.has_value(); }));
  CHECK(queued == append_outcome::not_committed);
  CHECK_FALSE(a.listener.lost.empty());
  CHECK(b.manager.Table(0)->FindTask("queued") == nullptr);
}

// Guards against two owners when both have created `owner/0` once: the taker's lease ends between
// its look at the key and its `owner_changed`, and the old owner finds the key free again.
TEST_CASE("an owner that retakes its key finds the fence of a taker in the log") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  fleet.EndOwnersLease();
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  b.paused = true;
  fleet.EndOwnersLease();
  SetDown(a, false);
  REQUIRE(fleet.RunUntil([&] { return !a.listener.lost.empty(); }));
  CHECK(a.listener.lost.front().second == shard_loss::fenced);
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  CHECK(a.manager.Fence(0) == 3);
}

// Guards against the mirror image: the old owner retakes its key before the taker's `owner_changed`
// is in the log.
TEST_CASE("a taker that lost its key meanwhile does not become owner") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  fleet.EndOwnersLease();
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return fleet.store.items.contains(OwnerKey(0)); }));
  // `b` hears nothing of the end of its lease either.
  b.client.fate = [](bool, const std::string& key) {
    if (key.empty()) return call_fate::refused;
    return key.starts_with("log/0/0") ? call_fate::held : call_fate::answered;
  };
  fleet.Run(milliseconds{200});
  fleet.EndOwnersLease();
  SetDown(a, false);
  REQUIRE(fleet.RunUntil([&] { return fleet.store.items.contains(OwnerKey(0)); }));
  fleet.Run(milliseconds{200});
  const std::size_t batches = fleet.store.CountKeys(LogPrefix(0));
  b.client.ReleaseDelayed();
  fleet.Run(milliseconds{200});
  CHECK(fleet.store.CountKeys(LogPrefix(0)) == batches + 1);
  CHECK(a.manager.Grants() == std::vector<lease_grant>{{0, 1}});
  CHECK(b.listener.owned.empty());
  const auto& outcome = fleet.Submit(a, "t");
  REQUIRE(fleet.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::not_committed);
  CHECK(fleet.RunUntil([&] { return Owns(a) || Owns(b); }));
}

// Guards against an owner whose key was removed or replaced under a living lease: the shard would
// be free for others, or would have a second owner.
TEST_CASE("an owner notices a change of its key") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  fleet.store.Erase(OwnerKey(0));
  fleet.Run(seconds{1});
  CHECK(fleet.store.items.contains(OwnerKey(0)));
  CHECK(a.manager.Fence(0) == 1);
  fleet.store.Erase(OwnerKey(0));
  fleet.store.items[OwnerKey(0)] = {"z 1-1", ++fleet.store.revision, 0};
  fleet.store.change_of_key[OwnerKey(0)] = fleet.store.revision;
  fleet.Run(seconds{1});
  CHECK(a.listener.lost == std::vector{std::pair(core::shard_index{0}, shard_loss::owner_taken)});
  CHECK(a.manager.OwnerOf(0) == shard_owner{"z", std::nullopt});
}

// Guards against an owner that serves a shard of which it does not know all records.
TEST_CASE("a log with a gap has no owner") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  fleet.Submit(a, "1");
  fleet.Run(seconds{1});
  fleet.Submit(a, "2");
  fleet.Run(seconds{1});
  a.paused = true;
  fleet.store.Erase(LogKey(0, 2));
  test_entry& b = fleet.Start("b");
  fleet.Run(seconds{30});
  CHECK(fleet.store.items.at(OwnerKey(0)).value.starts_with("b "));
  CHECK_FALSE(Owns(b));
}

// Guards against state that differs between the live table and a replay, and against a log or
// snapshots that grow for ever.
TEST_CASE("a takeover after snapshots and truncation restores the live table") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  for (int number = 0; number < 100; ++number) {
    fleet.Submit(a, std::to_string(number));
    fleet.Run(milliseconds{60});
  }
  fleet.Run(seconds{30});
  CHECK(a.manager.PendingAppends(0) == 0);
  CHECK(fleet.store.CountKeys(LogPrefix(0)) <= 2 * fleet.options.snapshot_every);
  CHECK(fleet.store.CountKeys(SnapshotPrefix(0)) == 1);
  const shard_table live = *a.manager.Table(0);
  a.paused = true;
  // Another retention, as during a change of the settings, must not change the replay.
  fleet.options.retention.max_ended_tasks = 1;
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  CHECK(b.manager.Table(0)->tasks() == live.tasks());
  CHECK(b.manager.Table(0)->ended() == live.ended());
  CHECK(b.manager.Table(0)->next_index() == live.next_index() + 1);
}

// Guards against a shard without owner after a shutdown, and against a next owner that trusts a
// worker's silence although an owner before the last may still renew its leases.
TEST_CASE("a shutdown flushes, releases and passes the remaining wait on") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  a.paused = true;
  test_entry& b = fleet.Start("b");
  REQUIRE(fleet.RunUntil([&] { return Owns(b); }));
  fleet.Run(seconds{30});
  const auto& last = fleet.Submit(b, "last");
  std::optional<bool> released;
  b.manager.Shutdown([&](bool all) { released = all; });
  // A request in progress settles its claim first.
  b.listener.busy = true;
  fleet.Run(seconds{1});
  CHECK_FALSE(b.manager.MayAppend(0));
  const auto& settled = fleet.Submit(b, "settled");
  REQUIRE(fleet.RunUntil([&] { return settled.has_value(); }));
  CHECK(settled == append_outcome::committed);
  b.listener.busy = false;
  // Others take a shard only once the entry that it hashes to is off the list.
  REQUIRE(fleet.RunUntil([&] { return fleet.store.CountKeys("owner/") == 0; }));
  CHECK(fleet.store.CountKeys("entries/") == 0);
  REQUIRE(fleet.RunUntil([&] { return released.has_value(); }));
  CHECK(released == true);
  CHECK(last == append_outcome::committed);
  test_entry& c = fleet.Start("c");
  REQUIRE(fleet.RunUntil([&] { return Owns(c); }));
  CHECK(c.manager.OwnedSince(0)->graceful);
  CHECK(c.manager.OwnedSince(0)->orphan_wait > seconds{148});
  CHECK(c.manager.OwnedSince(0)->orphan_wait < seconds{151});
}

// Guards against a stopping entry that drops its shards in an outage, which would stop their tasks.
TEST_CASE("a shutdown during an outage goes on granting until the grace ends") {
  fleet fleet;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  std::optional<bool> released;
  a.manager.Shutdown([&](bool all) { released = all; });
  fleet.Run(seconds{170});
  CHECK(a.manager.Grants().size() == 1);
  CHECK_FALSE(released.has_value());
  REQUIRE(fleet.RunUntil([&] { return released.has_value(); }));
  CHECK(released == false);
  CHECK(a.manager.Grants().empty());
}

// Guards against an owner that renews execution leases while its final record may be in the log,
// and against one that stops to renew them although the record is proved absent.
TEST_CASE("grants stop while the final record of an ownership may be written") {
  for (const call_fate fate : {call_fate::held, call_fate::delayed, call_fate::refused}) {
    fleet fleet;
    test_entry& a = fleet.Start("a");
    REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
    fleet.Run(seconds{1});
    a.client.fate = [fate](bool is_write, const std::string& key) {
      return is_write && key.starts_with("log/") ? fate : call_fate::answered;
    };
    a.manager.Shutdown([](bool) {});
    fleet.Run(milliseconds{400});
    CHECK(Owns(a));
    CHECK(a.manager.Grants().size() == (fate == call_fate::refused ? 1 : 0));
  }
}

// Guards against tasks that hash to different shards after a change of the settings.
TEST_CASE("an entry with another shard count takes no shard") {
  fleet fleet;
  fleet.options.shard_count = 2;
  test_entry& a = fleet.Start("a");
  REQUIRE(fleet.RunUntil([&] { return Owns(a); }));
  fleet.options.shard_count = 3;
  test_entry& b = fleet.Start("b");
  fleet.Run(seconds{30});
  CHECK(b.listener.mismatch == 2);
  CHECK(b.manager.OwnedShards().empty());
  CHECK_FALSE(b.manager.ready());
}

// Guards against idle entries that load the store.
TEST_CASE("idle entries make few store calls") {
  fleet fleet;
  fleet.options.shard_count = 8;
  test_entry& a = fleet.Start("a");
  test_entry& b = fleet.Start("b");
  fleet.Run(seconds{60});
  a.client.calls = 0;
  b.client.calls = 0;
  fleet.Run(seconds{60});
  // Per entry and minute: 20 renewals, 24 reads of the two lists, 12 watches, and a few over.
  CHECK(a.client.calls <= 60);
  CHECK(b.client.calls <= 60);
}

// Guards against any interleaving of faults, pauses and ended leases that loses a committed
// record, keeps a refused one, or lets two entries grant leases after the wait of a takeover.
TEST_CASE("random faults: outcomes match the log and grants never overlap a trusted takeover") {
  const bool holds = rc::check([] {
    fleet fleet;
    fleet.options.orphan_grace = seconds{20};
    fleet.options.truncate_delay = seconds{5};
    std::vector<std::string> ids = {"a", "b", "c"};
    for (const std::string& id : ids) fleet.Start(id);
    std::vector<std::pair<std::string, const std::optional<append_outcome>*>> outcomes;
    core::seeded_random random(*rc::gen::noShrink(rc::gen::inRange(0, 1 << 30)));
    core::fencing_token highest_fence = 0;
    for (int step = 0; step < 3'000; ++step) {
      test_entry& entry = *fleet.entries[ids[random.Below(ids.size())]];
      switch (random.Below(400)) {
        case 0:
          entry.paused = !entry.paused;
          break;
        case 1:
          if (fleet.store.items.contains(OwnerKey(0))) fleet.EndOwnersLease();
          break;
        case 2:
          SetDown(entry, !entry.client.fate);
          break;
        case 3:
          entry.client.fate = [&random](bool, const std::string&) {
            const std::uint64_t draw = random.Below(20);
            return draw < 6 ? static_cast<call_fate>(draw) : call_fate::answered;
          };
          break;
        case 4:
          entry.client.ReleaseDelayed();
          break;
        default:
          break;
      }
      if (entry.manager.MayAppend(0)) {
        const std::string task = std::to_string(outcomes.size());
        outcomes.emplace_back(task, &fleet.Submit(entry, task));
      }
      fleet.Step();
      for (const auto& [id, owner] : fleet.entries) {
        const auto since = owner->manager.OwnedSince(0);
        if (!since || owner->manager.Grants().empty()) continue;
        highest_fence = std::max(highest_fence, *owner->manager.Fence(0));
        if (fleet.time.Now() < since->since + since->orphan_wait) continue;
        for (const auto& [other, rival] : fleet.entries) {
          const bool lower = rival->manager.Fence(0) < owner->manager.Fence(0);
          RC_ASSERT(other == id || !lower || rival->manager.Grants().empty());
        }
      }
    }
    for (const auto& [id, entry] : fleet.entries) {
      entry->paused = false;
      SetDown(*entry, false);
      entry->client.ReleaseDelayed();
    }
    const auto owner = [&]() -> test_entry* {
      test_entry* found = nullptr;
      for (const auto& [id, entry] : fleet.entries) {
        if (!Owns(*entry)) continue;
        if (found != nullptr) return nullptr;
        found = entry.get();
      }
      return found;
    };
    fleet.Run(seconds{60});
    RC_ASSERT(fleet.RunUntil([&] { return owner() != nullptr; }));
    RC_ASSERT(*owner()->manager.Fence(0) >= highest_fence);
    const shard_table& table = *owner()->manager.Table(0);
    std::size_t committed = 0;
    for (const auto& [task, outcome] : outcomes) {
      const bool is_present = table.FindTask(task) != nullptr;
      RC_ASSERT(outcome->has_value());
      committed += *outcome == append_outcome::committed ? 1 : 0;
      if (*outcome == append_outcome::committed) RC_ASSERT(is_present);
      if (*outcome == append_outcome::not_committed) RC_ASSERT(!is_present);
    }
    RC_CLASSIFY(committed > 100);
  });
  CHECK(holds);
}

}  // namespace coltsfoot::ledger
