#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "blame/quarantine.h"
#include "blame/size_correction.h"
#include "blame/task_failures.h"

namespace coltsfoot::blame {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::mono_time kStart{std::chrono::hours{1}};
constexpr std::size_t kWorkers = 11;

quarantine_change FailRepeatedly(quarantine& rows, std::uint32_t worker, int count,
                                 std::string_view work_class = "cut",
                                 core::mono_time now = kStart) {
  quarantine_change change;
  for (int i = 0; i < count; ++i) {
    const std::string work = std::string(work_class) + std::to_string(i);
    change = rows.OnFailure(worker, work, work_class, milliseconds{20}, kWorkers, now);
  }
  return change;
}

// Guards against a worker that attracts all tasks because it fails each of them quickly.
TEST_CASE("fast failures of distinct work quarantine a worker and do not count against the work") {
  quarantine rows;
  CHECK_FALSE(FailRepeatedly(rows, 3, 4).entered);
  const auto change = rows.OnFailure(3, "cut4", "cut", milliseconds{20}, kWorkers, kStart);
  CHECK(change.entered);
  CHECK(change.retracted.size() == 5);
  CHECK(rows.QuarantineStateOf(3) == quarantine_state::quarantined);
  const auto late = rows.OnFailure(3, "cut5", "cut", milliseconds{20}, kWorkers, kStart);
  CHECK(late.retracted == std::vector<retracted_failure>{{"cut5", 3}});
}

// Guards against quarantining a healthy worker because of one faulty task that is retried, failures
// two minutes apart, tasks that fail after a long run, or a few failures among many successes.
TEST_CASE("repeated, spread, slow and rare failures do not quarantine a worker") {
  quarantine rows;
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(rows.OnFailure(0, "same", "cut", milliseconds{20}, kWorkers, kStart).entered);
    const std::string work = std::to_string(i);
    CHECK_FALSE(rows.OnFailure(1, work, "cut", seconds{60}, kWorkers, kStart).entered);
    const auto spread = kStart + minutes{2 * i};
    CHECK_FALSE(rows.OnFailure(2, work, "cut", milliseconds{20}, kWorkers, spread).entered);
  }
  for (int i = 0; i < 20; ++i) rows.OnSuccess(4, "cut", kStart);
  CHECK_FALSE(FailRepeatedly(rows, 4, 10).entered);
}

// Guards against a worker that breaks after many successes and fails as many requests again before
// it is quarantined, and against quarantining a worker that still succeeds in between.
TEST_CASE("consecutive failures quarantine a worker after many successes") {
  quarantine rows;
  for (int i = 0; i < 2'000; ++i) rows.OnSuccess(0, "planner", kStart);
  CHECK_FALSE(FailRepeatedly(rows, 0, 9, "planner").entered);
  rows.OnSuccess(0, "planner", kStart);
  CHECK_FALSE(FailRepeatedly(rows, 0, 9, "watch").entered);
  CHECK(rows.OnFailure(0, "last", "watch", milliseconds{20}, kWorkers, kStart).entered);
}

// Guards against quarantining the whole fleet because one class of work is faulty.
TEST_CASE("failures of a class that fails on many workers do not count against the workers") {
  quarantine rows;
  for (int round = 0; round < 5; ++round) {
    for (std::uint32_t worker = 0; worker < 5; ++worker) {
      const std::string work = std::to_string(round) + "-" + std::to_string(worker);
      rows.OnFailure(worker, work, "broken", milliseconds{20}, kWorkers, kStart);
    }
  }
  CHECK(rows.untrusted() == 0);
}

// Guards against considering a healthy class faulty because it fails on three faulty workers.
TEST_CASE("several faulty workers are quarantined while the class succeeds elsewhere") {
  quarantine rows;
  for (std::uint32_t worker = 3; worker < kWorkers; ++worker) rows.OnSuccess(worker, "cut", kStart);
  for (std::uint32_t worker = 0; worker < 4; ++worker) FailRepeatedly(rows, worker, 6);
  // A fourth one would exceed `max_quarantined_share` of eleven workers.
  CHECK(rows.untrusted() == 3);
}

// Guards against probing a faulty worker at a constant rate, and against never using it again.
TEST_CASE("the probe interval doubles after each failure and a passed probe releases the worker") {
  quarantine rows;
  FailRepeatedly(rows, 0, 5);
  core::mono_time now = kStart;
  for (const int wait : {5, 10, 20}) {
    rows.Tick(now + seconds{wait - 1});
    CHECK(rows.QuarantineStateOf(0) == quarantine_state::quarantined);
    now += seconds{wait};
    rows.Tick(now);
    CHECK(rows.QuarantineStateOf(0) == quarantine_state::probe_due);
    rows.OnProbeSent(0, now);
    CHECK(rows.QuarantineStateOf(0) == quarantine_state::probing);
    CHECK(rows.OnFailure(0, "probe", "cut", milliseconds{5}, kWorkers, now).retracted.size() == 1);
  }
  now += seconds{40};
  rows.Tick(now);
  rows.OnProbeSent(0, now);
  SUBCASE("a result") { CHECK(rows.OnSuccess(0, "cut", now).released); }
  SUBCASE("a long run") { CHECK(rows.Tick(now + seconds{30}) == std::vector<std::uint32_t>{0}); }
  CHECK(rows.QuarantineStateOf(0) == quarantine_state::trusted);
  FailRepeatedly(rows, 0, 5, "cut", now + seconds{31});
  rows.Tick(now + seconds{31 + 79});
  CHECK(rows.QuarantineStateOf(0) == quarantine_state::quarantined);
}

// Guards against endless retries of a faulty task, and against counting failures that a faulty
// worker caused.
TEST_CASE("a task ends after it has failed on several different healthy workers") {
  task_failures failures;
  const task_decision failed_everywhere{true, core::result_code::failed_everywhere};
  CHECK_FALSE(failures.OnFailed("t", 1, kWorkers).ends);
  CHECK_FALSE(failures.OnFailed("t", 1, kWorkers).ends);
  CHECK_FALSE(failures.OnFailed("t", 2, kWorkers).ends);
  CHECK(failures.RetractFailure("t", 1));
  CHECK_FALSE(failures.RetractFailure("t", 1));
  CHECK_FALSE(failures.OnFailed("t", 3, kWorkers).ends);
  CHECK(std::ranges::equal(failures.FailedOn("t"), std::vector<std::uint32_t>{2, 3}));
  CHECK(failures.OnFailed("t", 4, kWorkers) == failed_everywhere);
  failures.OnEnded("t");
  CHECK(failures.FailedOn("t").empty());
  failures.OnFailed("u", 0, 2);
  CHECK(failures.OnFailed("u", 1, 2) == failed_everywhere);
}

// Guards against queueing a task forever that can never run, and against ending it while no worker
// is known, for example just after a start.
TEST_CASE("a task ends with never_fits only if workers are known and all are too small") {
  CHECK(task_failures::CheckFit(11, 0).code == core::result_code::never_fits);
  CHECK_FALSE(task_failures::CheckFit(11, 1).ends);
  CHECK_FALSE(task_failures::CheckFit(0, 0).ends);
}

constexpr core::resources kLargest{16'000, 60'000, 2};

// Guards against relying on declared sizes that are too small or too large.
TEST_CASE("sizes are raised after one sample and lowered after enough finished tasks") {
  size_correction sizes;
  const task_size declared{{4'000, 8'000, 1}, 1'000};
  sizes.Observe("cut", {1'000, 12'000, 0}, 300, kStart);
  auto corrected = sizes.Correct("cut", declared, kLargest);
  CHECK(corrected.need.cpu_millis == 4'000);
  CHECK(corrected.need.memory_mb >= 12'000);
  for (int i = 0; i < 8; ++i) sizes.Observe("cut", {1'000, 12'000, 0}, 300, kStart);
  corrected = sizes.Correct("cut", declared, kLargest);
  CHECK(corrected.need.cpu_millis < 1'400);
  CHECK(corrected.need.accelerators == 1);
  CHECK(corrected.run_ms < 420);
  CHECK(sizes.Correct("unknown", declared, kLargest) == declared);
}

// Guards against raising the small tasks of a class to the size of its large tasks although all
// declarations are accurate.
TEST_CASE("sizes of a mixed class are corrected by the ratio of observed to declared size") {
  size_correction sizes;
  const task_size small{{1'000, 100, 0}, 1'000};
  const task_size large{{4'000, 400, 0}, 4'000};
  for (int i = 0; i < 8; ++i) {
    sizes.ObserveTask("right", small, small.need, small.run_ms, kStart);
    sizes.ObserveTask("right", large, large.need, large.run_ms, kStart);
    sizes.ObserveTask("low", small, {2'000, 100, 0}, small.run_ms, kStart);
    sizes.ObserveTask("low", large, {8'000, 400, 0}, large.run_ms, kStart);
  }
  CHECK(sizes.Correct("right", small, kLargest) == small);
  CHECK(sizes.Correct("right", large, kLargest) == large);
  CHECK(sizes.Correct("low", small, kLargest).need.cpu_millis >= 2'000);
  CHECK(sizes.Correct("low", small, kLargest).need.cpu_millis <= 2'700);
  CHECK(sizes.Correct("low", large, kLargest).need.cpu_millis >= 8'000);
}

// Guards against raising the small tasks of a class to the size of its large tasks until enough
// have finished, which made them wait for capacity, and against lowering a size after few
// observations.
TEST_CASE("few observations of accurate declarations do not change a size") {
  size_correction sizes;
  const task_size small{{1'000, 100, 0}, 1'000};
  const task_size large{{4'000, 400, 0}, 4'000};
  sizes.ObserveTask("right", large, large.need, large.run_ms, kStart);
  CHECK(sizes.Correct("right", small, kLargest) == small);
  CHECK(sizes.Correct("right", large, kLargest) == large);
  sizes.ObserveTask("mixed", large, {1'000, 800, 0}, 1'000, kStart);
  const task_size corrected = sizes.Correct("mixed", small, kLargest);
  CHECK(corrected.need.cpu_millis == 1'000);
  CHECK(corrected.need.memory_mb >= 200);
  CHECK(corrected.run_ms == 1'000);
}

// Guards against lowering the sizes of a class because of many samples of one task that has not yet
// reached its peak.
TEST_CASE("samples of a running task do not lower a size") {
  size_correction sizes;
  const task_size declared{{4'000, 8'000, 0}, 1'000};
  for (int i = 0; i < 100; ++i) sizes.Observe("cut", {100, 500, 0}, 0, kStart);
  CHECK(sizes.Correct("cut", declared, kLargest) == declared);
  sizes.Observe("cut", {100, 9'000, 0}, 0, kStart);
  CHECK(sizes.Correct("cut", declared, kLargest).need.memory_mb >= 9'000);
}

// Guards against sizes below the observed usage, above the largest worker, or outside the
// configured ratios.
TEST_CASE("corrected sizes stay within their bounds") {
  CHECK(rc::check([] {
    size_correction sizes;
    const auto used =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100'000)));
    const auto declared = *rc::gen::inRange(1, 50'000);
    for (const int amount : used) sizes.Observe("c", {0, amount, 0}, 1, kStart);
    const auto need = sizes.Correct("c", {{0, declared, 0}, 0}, kLargest).need;
    const std::int64_t max = *std::max_element(used.begin(), used.end());
    RC_ASSERT(need.memory_mb >= std::min<std::int64_t>(max, kLargest.memory_mb));
    RC_ASSERT(need.memory_mb >= declared / 4);
    RC_ASSERT(need.memory_mb <= std::max<std::int64_t>(max, std::int64_t{declared} * 4));
    RC_ASSERT(need.memory_mb <= kLargest.memory_mb);
    RC_ASSERT(need.cpu_millis == 0);
  }));
}

// Guards against one extreme run that inflates the sizes of a class permanently, and against
// unbounded state.
TEST_CASE("old observations decay and the least recently observed classes are erased") {
  size_correction sizes({.max_classes = 3});
  sizes.Observe("cut", {0, 40'000, 0}, 0, kStart);
  for (int i = 0; i < 2'000; ++i) sizes.Observe("cut", {0, 1'000, 0}, 1, kStart + seconds{1});
  CHECK(sizes.Correct("cut", {{0, 2'000, 0}, 0}, kLargest).need.memory_mb < 1'500);
  for (int i = 0; i < 5; ++i) {
    sizes.Observe("c" + std::to_string(i), {1, 1, 0}, 0, kStart + seconds{2 + i});
  }
  CHECK(sizes.classes() == 3);
}

}  // namespace
}  // namespace coltsfoot::blame
