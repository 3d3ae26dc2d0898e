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

/// @return keys of batch tasks of which each entry owns as many; fewer if an entry owns no shard.
std::vector<std::string> KeysOfAllOwners(fleet& running) {
  std::array<int, kEntries> owned{};
  std::vector<std::string> keys;
  for (int number = 0; number < 100 && keys.size() < kEntries * kTasksPerEntry; ++number) {
    const std::string key = fmt::format("batch-{}", number);
    const std::string id = core::TaskIdForKey(task_spec{}.team, key, kShards);
    const auto owner = running.OwnerOf(*core::ShardOfTask(id));
    if (!owner || owned.at(*owner) == kTasksPerEntry) continue;
    owned.at(*owner) += 1;
    keys.push_back(key);
  }
  return keys;
}

}  // namespace

// Guards against urgent work that waits for batch because the tasks in its way belong to several
// entries, and against evicted tasks that are lost or run twice. The urgent task needs all three
// tasks of a worker, and no entry owns more than two.
TEST_CASE("an urgent task starts in time on workers full of batch tasks of several owners") {
  fleet running({.entries = kEntries, .workers = 2});
  REQUIRE(running.WaitReady());
  std::vector<std::string> keys;
  REQUIRE(harness::WaitUntil(2 * kSlack, [&] {
    keys = KeysOfAllOwners(running);
    return keys.size() == kEntries * kTasksPerEntry;
  }));
  // Corrected sizes would differ between runs, and three tasks might no longer fit on a worker.
  const auto changed = running.calls().Call("PATCH", running.Entry(0) + "/v1/config/defaults",
                                            R"({"set":{"sizes.correction":false},"author":"test"})",
                                            {{"Content-Type", "application/json"}});
  REQUIRE(changed.answer.has_value());
  REQUIRE(changed.answer->status == 200);

  std::vector<std::string> batch;
  for (const std::string& key : keys) {
    task_spec spec{.key = key, .cpu_millis = 4000};
    spec.expected_ms = spec.work_ms = kBatchWorkMs;
    const auto id = running.calls().Submit(running.Entry(0), spec);
    REQUIRE(id.has_value());
    batch.push_back(*id);
  }
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
  CHECK(running.Truth({"\"event\":\"task_resume\""}).size() == 3);
  CheckInvariants(running, true);
}

}  // namespace coltsfoot::failure
