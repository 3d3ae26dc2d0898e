#include <array>

#include "core/ids.h"
#include "scenario.h"

namespace coltsfoot::failure {
namespace {

constexpr std::size_t kEntries = 3;
constexpr int kTasksPerEntry = 2;
constexpr std::uint32_t kShards = 8;  // the default of the entry
constexpr std::int64_t kBatchWorkMs = 7000;
constexpr milliseconds kUrgentBound{6400};

/// @return keys of batch tasks of which each entry owns as many.
std::vector<std::string> KeysOfAllOwners(fleet& running, const std::string& team) {
  std::array<int, kEntries> owned{};
  std::vector<std::string> keys;
  for (int number = 0; number < 1000 && keys.size() < kEntries * kTasksPerEntry; ++number) {
    const std::string key = fmt::format("batch-{}", number);
    const auto owner = running.OwnerOf(*core::ShardOfTask(core::TaskIdForKey(team, key, kShards)));
    if (!owner || owned.at(*owner) == kTasksPerEntry) continue;
    owned.at(*owner) += 1;
    keys.push_back(key);
  }
  return keys;
}

bool EachEntryOwnsShards(fleet& running) {
  std::array<bool, kEntries> owns{};
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    if (const auto owner = running.OwnerOf(shard)) owns.at(*owner) = true;
  }
  return owns == std::array<bool, kEntries>{true, true, true};
}

}  // namespace

// Guards against urgent work that waits for batch because the tasks in its way belong to several
// entries, and against evicted tasks that are lost or run twice. The urgent task needs all three
// tasks of a worker, and no entry owns more than two.
TEST_CASE("an urgent task starts in time on workers full of batch tasks of several owners") {
  fleet running({.entries = kEntries, .workers = 2});
  REQUIRE(running.WaitReady());
  REQUIRE(harness::WaitUntil(2 * kSlack, [&] { return EachEntryOwnsShards(running); }));
  // Corrected sizes would differ between runs, and three tasks might no longer fit on a worker.
  const auto changed = running.calls().Call("PATCH", running.Entry(0) + "/v1/config/defaults",
                                            R"({"set":{"sizes.correction":false},"author":"test"})",
                                            {{"Content-Type", "application/json"}});
  REQUIRE(changed.answer.has_value());
  REQUIRE(changed.answer->status == 200);

  std::vector<std::string> batch;
  for (const std::string& key : KeysOfAllOwners(running, task_spec{}.team)) {
    task_spec spec{.key = key, .cpu_millis = 4000};
    spec.expected_ms = spec.work_ms = kBatchWorkMs;
    const auto id = running.calls().Submit(running.Entry(0), spec);
    REQUIRE(id.has_value());
    batch.push_back(*id);
  }
  REQUIRE(batch.size() == kEntries * kTasksPerEntry);
  RequireRunning(running, running.Entries(), batch, 2 * kSlack);

  task_spec urgent{.key = "urgent", .task_class = "watch", .kind = "latency_critical"};
  urgent.urgent = true;
  urgent.cpu_millis = 16000;
  const auto submitted = std::chrono::steady_clock::now();
  const auto id = running.calls().Submit(running.Entry(0), urgent);
  REQUIRE(id.has_value());
  RequireRunning(running, running.Entries(), {*id}, 2 * kUrgentBound);
  CHECK(std::chrono::steady_clock::now() - submitted <= kUrgentBound);

  CheckFinished(running, running.Entries(), {*id}, milliseconds{1000} + kSlack);
  std::int64_t evicted = 0;
  for (const task_view& view : CheckFinished(running, running.Entries(), batch,
                                             3 * milliseconds{kBatchWorkMs} + 2 * kSlack)) {
    evicted += view.evictions;
  }
  CHECK(evicted == 3);
  std::size_t resumed = 0;
  for (const std::string& task : batch) {
    const std::size_t times = running.Truth({"\"event\":\"task_resume\"", task}).size();
    CHECK(times <= 1);
    resumed += times;
  }
  CHECK(resumed == 3);
  CheckInvariants(running, true);
}

}  // namespace coltsfoot::failure
