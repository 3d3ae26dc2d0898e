#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random_source.h"
#include "ledger/keys.h"
#include "ledger/shard_manager.h"
#include "memory_store.h"
#include "wire/codec.h"

namespace coltsfoot::ledger {

/// Records the events that a manager reports.
struct recording_listener final : shard_listener {
  void OnShardOwned(core::shard_index shard) override { owned.push_back(shard); }
  void OnShardLost(core::shard_index shard, shard_loss reason) override {
    lost.emplace_back(shard, reason);
  }
  void OnShardCountMismatch(std::uint32_t recorded) override { mismatch = recorded; }

  bool MayHandOver(core::shard_index) override { return !busy; }

  bool busy = false;
  std::vector<core::shard_index> owned;
  std::vector<std::pair<core::shard_index, shard_loss>> lost;
  std::optional<std::uint32_t> mismatch;
};

/// One entry process of a test.
struct test_entry {
  test_entry(const ledger_options& options, memory_store& store, const core::clock& time,
             std::uint64_t seed)
      : client(store), random(seed), manager(options, client, time, random, registry, listener) {}

  /// True while the process is paused: neither ticks nor answers reach it.
  bool paused = false;
  memory_client client;
  core::seeded_random random;
  metrics::registry registry;
  recording_listener listener;
  shard_manager manager;
};

/// Entries of a test that share a store and a clock.
class test_cluster {
 public:
  static constexpr core::milliseconds kTick{20};

  test_cluster() : store(time) {
    options.shard_count = 1;
    options.snapshot_every = 8;
    options.truncate_delay = core::milliseconds{1000};
  }

  /// Starts a process; replaces an earlier one with the same id.
  test_entry& Start(const std::string& id) {
    options.entry = id;
    options.entry_value = "address of " + id;
    entries[id] = std::make_unique<test_entry>(options, store, time, ++seed_);
    return *entries[id];
  }

  void Step() {
    time.Advance(kTick);
    store.ExpireLeases();
    for (auto& [id, entry] : entries) {
      if (entry->paused) continue;
      entry->client.Deliver();
      entry->manager.Tick();
      entry->client.Deliver();
    }
  }
  void Run(core::milliseconds duration) {
    for (core::milliseconds passed{0}; passed < duration; passed += kTick) Step();
  }
  /// Runs until `condition` holds, for at most five minutes.
  /// @return false if it never held.
  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int steps = 0; steps < 15'000; ++steps) {
      if (condition()) return true;
      Step();
    }
    return false;
  }

  /// Queues the submission of a task.
  /// @return its outcome, set when the callback runs.
  const std::optional<append_outcome>& Submit(test_entry& entry, const std::string& task,
                                              core::shard_index shard = 0) {
    std::optional<append_outcome>& outcome = outcomes_.emplace_back();
    task_spec spec;
    spec.task = task;
    entry.manager.Append(shard, task_submitted{spec}, [&outcome](append_outcome got) {
      // A callback that runs twice resets the outcome, so that the test fails.
      outcome = outcome ? std::nullopt : std::optional(got);
    });
    return outcome;
  }

  /// Ends the lease that holds `owner/<shard>`, although its holder still considers it valid.
  void EndOwnerLease(core::shard_index shard = 0) {
    store.EndLease(store.items.at(OwnerKey(shard)).lease);
  }

  core::manual_clock time;
  memory_store store;
  ledger_options options;
  std::map<std::string, std::unique_ptr<test_entry>> entries;

 private:
  std::deque<std::optional<append_outcome>> outcomes_;
  std::uint64_t seed_ = 0;
};

inline bool Owns(const test_entry& entry, core::shard_index shard = 0) {
  return entry.manager.Table(shard) != nullptr;
}

}  // namespace coltsfoot::ledger
