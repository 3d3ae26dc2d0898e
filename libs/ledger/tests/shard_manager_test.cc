#include "ledger/shard_manager.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "test_cluster.h"

namespace coltsfoot::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Injects `faults` into writes to keys below `prefix`, one per write; later writes succeed.
void SetWriteFaults(test_entry& entry, std::string prefix, std::vector<call_fault> faults) {
  entry.client.fault_for = [prefix = std::move(prefix), faults = std::move(faults)](
                               bool is_write, const std::string& key) mutable {
    if (!is_write || !key.starts_with(prefix) || faults.empty()) return call_fault::none;
    const call_fault next = faults.front();
    faults.erase(faults.begin());
    return next;
  };
}

void SetDown(test_entry& entry, bool down) {
  entry.client.fault_for = nullptr;
  if (down) entry.client.fault_for = [](bool, const std::string&) { return call_fault::refused; };
}

}  // namespace

// Guards against an entry that does not acquire free shards, reports unconfirmed state, or does not
// tell an ignored record from an effective one.
TEST_CASE("a single entry acquires all shards and commits records") {
  test_cluster cluster;
  cluster.options.shard_count = 4;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return a.manager.OwnedShards().size() == 4; }));
  CHECK(a.manager.ready());
  CHECK(a.manager.OwnedSince(2)->graceful);
  CHECK(a.manager.OwnedSince(2)->orphan_wait == core::nanoseconds{0});
  const auto& first = cluster.Submit(a, "t", 2);
  const auto& second = cluster.Submit(a, "t", 2);
  CHECK_FALSE(first.has_value());
  CHECK(a.manager.Table(2)->FindTask("t") == nullptr);
  REQUIRE(cluster.RunUntil([&] { return second.has_value(); }));
  CHECK(first == append_outcome::committed);
  CHECK(second == append_outcome::no_effect);
  CHECK(a.manager.Table(2)->FindTask("t") != nullptr);
  CHECK(a.manager.Grants().size() == 4);
  cluster.Run(seconds{1});
  CHECK(a.manager.OwnerOf(2) == shard_owner{"a", "address of a"});
  CHECK(a.manager.Entries() == std::vector<live_entry>{{"a", "address of a"}});

  task_spec large;
  large.payload.resize(kMaxRecordBytes);
  std::optional<append_outcome> outcome;
  a.manager.Append(0, task_submitted{large}, [&](append_outcome got) { outcome = got; });
  CHECK_FALSE(outcome.has_value());
  cluster.Step();
  CHECK(outcome == append_outcome::too_large);
}

// Guards against a write rate that grows with the number of records, and against batches beyond
// the store's limit.
TEST_CASE("records queued during an append share the next one, of bounded size") {
  test_cluster cluster;
  cluster.options.snapshot_every = 1000;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  const auto index = a.manager.Table(0)->next_index();
  int done = 0;
  for (int number = 0; number < 1000; ++number) {
    task_spec spec;
    spec.task = std::to_string(number);
    spec.payload.resize(1200);
    a.manager.Append(0, task_submitted{spec}, [&](append_outcome) { done += 1; });
  }
  REQUIRE(cluster.RunUntil([&] { return done == 1000; }));
  CHECK(a.manager.Table(0)->next_index() == index + 3);
  for (const auto& [key, item] : cluster.store.items) CHECK(item.value.size() <= kMaxBatchBytes);
}

// Guards against a rebalance that loses records, lets two owners overlap, or makes the next owner
// wait for execution leases that nobody renews.
TEST_CASE("shards move to a second entry one at a time after a flush") {
  test_cluster cluster;
  cluster.options.shard_count = 8;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return a.manager.OwnedShards().size() == 8; }));
  test_entry& b = cluster.Start("b");
  std::size_t max_moving = 0;
  int submitted = 0;
  std::vector<std::pair<core::shard_index, const std::optional<append_outcome>*>> outcomes;
  REQUIRE(cluster.RunUntil([&] {
    for (const core::shard_index shard : a.manager.OwnedShards()) {
      outcomes.emplace_back(shard, &cluster.Submit(a, std::to_string(submitted++), shard));
    }
    max_moving = std::max(max_moving, 8 - a.manager.Grants().size() - b.manager.Grants().size());
    for (const core::shard_index shard : a.manager.OwnedShards()) {
      CHECK_FALSE(Owns(b, shard));
    }
    return b.manager.OwnedShards().size() >= 2;
  }));
  cluster.Run(seconds{20});
  CHECK(max_moving == 1);
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

// Guards against two writers of one shard when the old owner assumes a valid lease that has ended.
TEST_CASE("a new owner raises the fence and appends of the old owner are not committed") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  cluster.Submit(a, "before");
  REQUIRE(cluster.RunUntil([&] { return a.manager.Table(0)->FindTask("before") != nullptr; }));
  cluster.EndOwnerLease();
  // `a` does not learn that its lease has ended, and its writes to the log reach the store.
  a.client.fault_for = [](bool, const std::string& key) {
    return key.starts_with("log/") ? call_fault::none : call_fault::refused;
  };
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  CHECK(b.manager.Fence(0) == 2);
  CHECK_FALSE(b.manager.OwnedSince(0)->graceful);
  CHECK(b.manager.OwnedSince(0)->orphan_wait == cluster.options.orphan_grace);
  REQUIRE(Owns(a));
  const auto& refused = cluster.Submit(a, "after");
  const auto& queued = cluster.Submit(a, "later");
  REQUIRE(cluster.RunUntil([&] { return queued.has_value(); }));
  CHECK(refused == append_outcome::not_committed);
  CHECK(queued == append_outcome::not_committed);
  CHECK_FALSE(Owns(a));
  CHECK(a.manager.Grants().empty());
  CHECK(a.listener.lost.front() == std::pair(core::shard_index{0}, shard_loss::fenced));
  CHECK(b.manager.Table(0)->FindTask("before") != nullptr);
  CHECK(b.manager.Table(0)->FindTask("after") == nullptr);
}

// Guards against a record that is written twice, or lost, because the answer to its write was lost.
TEST_CASE("an append whose answer is lost is resolved by reading back") {
  for (const call_fault fault : {call_fault::answer_lost, call_fault::request_lost,
                                 call_fault::delayed, call_fault::refused}) {
    CAPTURE(static_cast<int>(fault));
    test_cluster cluster;
    test_entry& a = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
    const auto index = a.manager.Table(0)->next_index();
    SetWriteFaults(a, "log/", {fault});
    const auto& outcome = cluster.Submit(a, "t");
    REQUIRE(cluster.RunUntil([&] { return outcome.has_value(); }));
    a.client.ReleaseDelayed();
    cluster.Run(seconds{1});
    CHECK(outcome == append_outcome::committed);
    CHECK(a.manager.Table(0)->next_index() == index + 1);
    CHECK(cluster.store.CountKeys(LogPrefix(0)) == index);
    CHECK(Owns(a));
  }
}

// Guards against a shard that remains without an owner because the answer to a write of its
// takeover was lost.
TEST_CASE("a takeover succeeds despite lost answers") {
  for (const std::string prefix : {"owner/", "entries/", "log/", "ledger/", ""}) {
    for (const call_fault fault : {call_fault::answer_lost, call_fault::request_lost}) {
      CAPTURE(prefix);
      test_cluster cluster;
      test_entry& a = cluster.Start("a");
      SetWriteFaults(a, prefix, {fault, fault});
      REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
      CHECK(a.manager.Fence(0) == 1);
    }
  }
}

// Guards against an owner that reports a record as committed although the next owner never saw it:
// the delayed write arrives after the next owner has used the index and deleted the key again.
TEST_CASE("a write that arrives after truncation by the next owner is not committed") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  SetWriteFaults(a, "log/", {call_fault::delayed_with_answer});
  const auto& outcome = cluster.Submit(a, "delayed");
  cluster.Run(milliseconds{100});
  const std::string key = LogKey(0, a.manager.Table(0)->next_index());
  a.paused = true;
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  // The last batch is the one that the snapshot covers, so that no other log key is left.
  const auto has_snapshot = [&] {
    return cluster.store.items.contains(SnapshotKey(0, b.manager.Table(0)->next_index() - 1, 0));
  };
  for (int number = 0; number < 50 && !has_snapshot(); ++number) {
    cluster.Submit(b, std::to_string(number));
    cluster.Run(milliseconds{200});
  }
  REQUIRE(cluster.RunUntil([&] { return cluster.store.CountKeys(LogPrefix(0)) == 1; }));
  cluster.Run(seconds{5});
  a.client.ReleaseDelayed();
  REQUIRE(cluster.store.items.contains(key));
  a.paused = false;
  REQUIRE(cluster.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::unknown);
  CHECK_FALSE(Owns(a));
  b.paused = true;
  test_entry& c = cluster.Start("c");
  REQUIRE(cluster.RunUntil([&] { return Owns(c) || Owns(a); }));
  CHECK((Owns(c) ? c : a).manager.Table(0)->FindTask("delayed") == nullptr);
}

// Guards against the loss of shards in an outage, and against execution leases that are renewed
// after `orphan_grace` has passed since the last confirmed renewal.
TEST_CASE("an owner keeps its shards and grants during an outage shorter than orphan_grace") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  cluster.Run(seconds{5});
  SetDown(a, true);
  const auto& outcome = cluster.Submit(a, "t");
  cluster.Run(seconds{60});
  CHECK_FALSE(a.manager.store_reachable());
  CHECK_FALSE(outcome.has_value());
  CHECK(a.manager.Grants().size() == 1);
  SetDown(a, false);
  REQUIRE(cluster.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::committed);
  CHECK(a.manager.store_reachable());
  CHECK(a.manager.Fence(0) == 1);
  CHECK(a.listener.lost.empty());

  cluster.Run(seconds{5});
  SetDown(a, true);
  cluster.Run(seconds{176});
  CHECK(a.manager.Grants().size() == 1);
  cluster.Run(seconds{5});
  CHECK(a.manager.Grants().empty());
  SetDown(a, false);
  REQUIRE(cluster.RunUntil([&] { return !a.manager.Grants().empty(); }));
  CHECK(a.manager.Fence(0) == 1);
}

// Guards against a process that was paused beyond the end of its lease and continues as owner: its
// grants are checked against the clock before any other call, and its append is not committed.
TEST_CASE("a manager that is paused beyond the end of its lease loses the shard") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  const auto& queued = cluster.Submit(a, "queued");
  a.paused = true;
  cluster.Run(seconds{12});
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  cluster.Run(seconds{180});
  CHECK(a.manager.Grants().empty());
  CHECK(b.manager.Grants() == std::vector<lease_grant>{{0, 2}});
  a.paused = false;
  REQUIRE(cluster.RunUntil([&] { return queued.has_value(); }));
  CHECK(queued == append_outcome::not_committed);
  CHECK_FALSE(a.listener.lost.empty());
  CHECK(b.manager.Table(0)->FindTask("queued") == nullptr);
}

// Guards against two owners when both have created `owner/0` once: the new owner's lease ends after
// it has become owner, and the old owner finds the key free again.
TEST_CASE("an owner that creates its key again finds the fence of a new owner in the log") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  cluster.EndOwnerLease();
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  b.paused = true;
  cluster.EndOwnerLease();
  SetDown(a, false);
  REQUIRE(cluster.RunUntil([&] { return !a.listener.lost.empty(); }));
  CHECK(a.listener.lost.front().second == shard_loss::fenced);
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  CHECK(a.manager.Fence(0) == 3);
}

// Guards against two owners in the reverse order: the old owner creates its key again before the
// `owner_changed` of the entry that is taking over is in the log.
TEST_CASE("an entry that loses its key during a takeover does not become owner") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  cluster.EndOwnerLease();
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return cluster.store.items.contains(OwnerKey(0)); }));
  // `b` does not learn that its lease has ended, and its append is delayed.
  b.client.fault_for = [](bool, const std::string& key) {
    if (key.empty()) return call_fault::refused;
    return key.starts_with("log/0/0") ? call_fault::delayed_with_answer : call_fault::none;
  };
  cluster.Run(milliseconds{200});
  cluster.EndOwnerLease();
  SetDown(a, false);
  REQUIRE(cluster.RunUntil([&] { return cluster.store.items.contains(OwnerKey(0)); }));
  cluster.Run(milliseconds{200});
  const std::size_t batches = cluster.store.CountKeys(LogPrefix(0));
  b.client.ReleaseDelayed();
  cluster.Run(milliseconds{200});
  CHECK(cluster.store.CountKeys(LogPrefix(0)) == batches + 1);
  CHECK(a.manager.Grants() == std::vector<lease_grant>{{0, 1}});
  CHECK(b.listener.owned.empty());
  const auto& outcome = cluster.Submit(a, "t");
  REQUIRE(cluster.RunUntil([&] { return outcome.has_value(); }));
  CHECK(outcome == append_outcome::not_committed);
  CHECK(cluster.RunUntil([&] { return Owns(a) || Owns(b); }));
}

// Guards against an owner whose key is deleted or replaced while its lease is valid: other entries
// could acquire the shard, or it would have a second owner.
TEST_CASE("an owner detects that its key was deleted or replaced") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  cluster.store.Erase(OwnerKey(0));
  cluster.Run(seconds{1});
  CHECK(cluster.store.items.contains(OwnerKey(0)));
  CHECK(a.manager.Fence(0) == 1);
  cluster.store.Erase(OwnerKey(0));
  cluster.store.items[OwnerKey(0)] = {"z 1-1", ++cluster.store.revision, 0};
  cluster.store.change_of_key[OwnerKey(0)] = cluster.store.revision;
  cluster.Run(seconds{1});
  CHECK(a.listener.lost == std::vector{std::pair(core::shard_index{0}, shard_loss::owner_taken)});
  CHECK(a.manager.OwnerOf(0) == shard_owner{"z", std::nullopt});
}

// Guards against an owner that serves a shard without all of its records.
TEST_CASE("a shard whose log has a gap gets no owner") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  cluster.Submit(a, "1");
  cluster.Run(seconds{1});
  cluster.Submit(a, "2");
  cluster.Run(seconds{1});
  a.paused = true;
  cluster.store.Erase(LogKey(0, 2));
  test_entry& b = cluster.Start("b");
  cluster.Run(seconds{30});
  CHECK(cluster.store.items.at(OwnerKey(0)).value.starts_with("b "));
  CHECK_FALSE(Owns(b));
}

// Guards against state that differs between the live table and a replay, and against a log or
// snapshots that grow without limit.
TEST_CASE("a takeover after snapshots and truncation restores the live table") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  for (int number = 0; number < 100; ++number) {
    cluster.Submit(a, std::to_string(number));
    cluster.Run(milliseconds{60});
  }
  cluster.Run(seconds{30});
  CHECK(a.manager.PendingAppends(0) == 0);
  CHECK(cluster.store.CountKeys(LogPrefix(0)) <= 2 * cluster.options.snapshot_every);
  CHECK(cluster.store.CountKeys(SnapshotPrefix(0)) == 1);
  const shard_table live = *a.manager.Table(0);
  a.paused = true;
  // Other retention limits, as during a change of the settings, must not change the replay.
  cluster.options.retention.max_ended_tasks = 1;
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  CHECK(b.manager.Table(0)->tasks() == live.tasks());
  CHECK(b.manager.Table(0)->ended() == live.ended());
  CHECK(b.manager.Table(0)->next_index() == live.next_index() + 1);
}

// Guards against a shard without an owner after a shutdown, and against a next owner that assumes
// that a silent worker runs nothing although an owner before the last may still renew its leases.
TEST_CASE("a shutdown flushes, releases and passes the remaining orphan wait to the next owner") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  a.paused = true;
  test_entry& b = cluster.Start("b");
  REQUIRE(cluster.RunUntil([&] { return Owns(b); }));
  cluster.Run(seconds{30});
  const auto& last = cluster.Submit(b, "last");
  std::optional<bool> released;
  b.manager.Shutdown([&](bool all) { released = all; });
  // A request in progress must be able to settle its claim first.
  b.listener.busy = true;
  cluster.Run(seconds{1});
  CHECK_FALSE(b.manager.MayAppend(0));
  const auto& settled = cluster.Submit(b, "settled");
  REQUIRE(cluster.RunUntil([&] { return settled.has_value(); }));
  CHECK(settled == append_outcome::committed);
  b.listener.busy = false;
  // Others acquire a shard only once the entry that it hashes to is off the list.
  REQUIRE(cluster.RunUntil([&] { return cluster.store.CountKeys("owner/") == 0; }));
  CHECK(cluster.store.CountKeys("entries/") == 0);
  REQUIRE(cluster.RunUntil([&] { return released.has_value(); }));
  CHECK(released == true);
  CHECK(last == append_outcome::committed);
  test_entry& c = cluster.Start("c");
  REQUIRE(cluster.RunUntil([&] { return Owns(c); }));
  CHECK(c.manager.OwnedSince(0)->graceful);
  CHECK(c.manager.OwnedSince(0)->orphan_wait > seconds{148});
  CHECK(c.manager.OwnedSince(0)->orphan_wait < seconds{151});
}

// Guards against a stopping entry that drops its shards in an outage, which would stop their tasks.
TEST_CASE("a shutdown during an outage keeps granting until orphan_grace ends") {
  test_cluster cluster;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  SetDown(a, true);
  std::optional<bool> released;
  a.manager.Shutdown([&](bool all) { released = all; });
  cluster.Run(seconds{170});
  CHECK(a.manager.Grants().size() == 1);
  CHECK_FALSE(released.has_value());
  REQUIRE(cluster.RunUntil([&] { return released.has_value(); }));
  CHECK(released == false);
  CHECK(a.manager.Grants().empty());
}

// Guards against an owner that renews execution leases while its final record may be in the log,
// and against one that stops renewing them although the record is proved absent.
TEST_CASE("grants stop while the final record of an ownership may be written") {
  for (const call_fault fault :
       {call_fault::delayed_with_answer, call_fault::delayed, call_fault::refused}) {
    test_cluster cluster;
    test_entry& a = cluster.Start("a");
    REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
    cluster.Run(seconds{1});
    a.client.fault_for = [fault](bool is_write, const std::string& key) {
      return is_write && key.starts_with("log/") ? fault : call_fault::none;
    };
    a.manager.Shutdown([](bool) {});
    cluster.Run(milliseconds{400});
    CHECK(Owns(a));
    CHECK(a.manager.Grants().size() == (fault == call_fault::refused ? 1 : 0));
  }
}

// Guards against tasks that hash to different shards after a change of the shard count.
TEST_CASE("an entry with another shard count acquires no shard") {
  test_cluster cluster;
  cluster.options.shard_count = 2;
  test_entry& a = cluster.Start("a");
  REQUIRE(cluster.RunUntil([&] { return Owns(a); }));
  cluster.options.shard_count = 3;
  test_entry& b = cluster.Start("b");
  cluster.Run(seconds{30});
  CHECK(b.listener.mismatch == 2);
  CHECK(b.manager.OwnedShards().empty());
  CHECK_FALSE(b.manager.ready());
}

// Guards against needless load on the store by idle entries.
TEST_CASE("idle entries make few store calls") {
  test_cluster cluster;
  cluster.options.shard_count = 8;
  test_entry& a = cluster.Start("a");
  test_entry& b = cluster.Start("b");
  cluster.Run(seconds{60});
  a.client.calls = 0;
  b.client.calls = 0;
  cluster.Run(seconds{60});
  // Per entry and minute: 20 renewals, 24 reads of the two lists, 12 watches, and a small margin.
  CHECK(a.client.calls <= 60);
  CHECK(b.client.calls <= 60);
}

// Guards against any interleaving of faults, pauses and ended leases that loses a committed
// record, keeps one that was not committed, or lets two entries grant leases after the
// `orphan_wait` of a takeover.
TEST_CASE("random faults: outcomes match the log and grants never overlap after the orphan wait") {
  const bool holds = rc::check([] {
    test_cluster cluster;
    cluster.options.orphan_grace = seconds{20};
    cluster.options.truncate_delay = seconds{5};
    std::vector<std::string> ids = {"a", "b", "c"};
    for (const std::string& id : ids) cluster.Start(id);
    std::vector<std::pair<std::string, const std::optional<append_outcome>*>> outcomes;
    core::seeded_random random(*rc::gen::noShrink(rc::gen::inRange(0, 1 << 30)));
    core::fencing_token highest_fence = 0;
    for (int step = 0; step < 3'000; ++step) {
      test_entry& entry = *cluster.entries[ids[random.Below(ids.size())]];
      switch (random.Below(400)) {
        case 0:
          entry.paused = !entry.paused;
          break;
        case 1:
          if (cluster.store.items.contains(OwnerKey(0))) cluster.EndOwnerLease();
          break;
        case 2:
          SetDown(entry, !entry.client.fault_for);
          break;
        case 3:
          entry.client.fault_for = [&random](bool, const std::string&) {
            const std::uint64_t draw = random.Below(20);
            return draw < 6 ? static_cast<call_fault>(draw) : call_fault::none;
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
        outcomes.emplace_back(task, &cluster.Submit(entry, task));
      }
      cluster.Step();
      for (const auto& [id, owner] : cluster.entries) {
        const auto since = owner->manager.OwnedSince(0);
        if (!since || owner->manager.Grants().empty()) continue;
        highest_fence = std::max(highest_fence, *owner->manager.Fence(0));
        if (cluster.time.Now() < since->since + since->orphan_wait) continue;
        for (const auto& [other, rival] : cluster.entries) {
          const bool lower = rival->manager.Fence(0) < owner->manager.Fence(0);
          RC_ASSERT(other == id || !lower || rival->manager.Grants().empty());
        }
      }
    }
    for (const auto& [id, entry] : cluster.entries) {
      entry->paused = false;
      SetDown(*entry, false);
      entry->client.ReleaseDelayed();
    }
    const auto owner = [&]() -> test_entry* {
      test_entry* found = nullptr;
      for (const auto& [id, entry] : cluster.entries) {
        if (!Owns(*entry)) continue;
        if (found != nullptr) return nullptr;
        found = entry.get();
      }
      return found;
    };
    cluster.Run(seconds{60});
    RC_ASSERT(cluster.RunUntil([&] { return owner() != nullptr; }));
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
