#include "placement/task_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "fleet.h"

namespace coltsfoot::placement {
namespace {

using core::task_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr core::mono_time kNow = test_fleet::kStart;

/// Places tasks while one shared amount of processors lasts.
class pool_placer final : public task_placer {
 public:
  pool_placer(task_queue& queue, std::int64_t cpu) : queue_(queue), free(cpu) {}
  attempt_outcome TryPlace(const task_spec& task) override {
    if (task.need.cpu_millis > free) return attempt_outcome::blocked;
    free -= task.need.cpu_millis;
    queue_.OnRunning(task.team, task.need);
    placed.push_back(task.task);
    by_team[task.team] += task.need.cpu_millis;
    return attempt_outcome::placed;
  }
  task_queue& queue_;
  std::int64_t free;
  std::vector<std::string> placed;
  std::map<std::string, std::int64_t> by_team;
};

task_spec Task(const std::string& name, std::int64_t cpu, const std::string& team = "team",
               task_kind kind = task_kind::batch, core::mono_time submitted = kNow) {
  return MakeTask(name, kind, {cpu, 0, 0}, team, submitted);
}

// Guards against batch tasks that delay more urgent ones.
TEST_CASE("tiers are served in order") {
  task_queue queue;
  auto urgent = Task("urgent", 1, "team", task_kind::batch, kNow + seconds{2});
  urgent.urgent = true;
  queue.Push(Task("batch", 1));
  queue.Push(Task("watch", 1, "team", task_kind::latency_critical, kNow + seconds{1}));
  queue.Push(urgent);
  pool_placer placer(queue, 10);
  queue.RunPass(placer, kNow + seconds{3});
  CHECK(placer.placed == std::vector<std::string>{"urgent", "watch", "batch"});
  CHECK(queue.size() == 0);
}

// Guards against a team that takes over the fleet by submitting more tasks or earlier ones. For any
// task sizes, after the pass no team with waiting tasks uses less than another team by more than
// the size of two of the largest tasks.
TEST_CASE("teams with waiting work get equal dominant shares") {
  CHECK(rc::check([] {
    queue_options options;
    options.max_attempts_per_pass = 1'000;
    options.max_blocked_per_pass = 1'000;
    task_queue queue(options);
    queue.SetFleetTotal({100'000, 1, 1});
    constexpr std::int64_t kLargest = 2'000;
    for (const char* team : {"a", "b", "c"}) {
      const auto sizes = *rc::gen::container<std::vector<int>>(
          static_cast<std::size_t>(*rc::gen::inRange(0, 120)), rc::gen::inRange(500, 2'000));
      int number = 0;
      for (const int size : sizes) {
        queue.Push(Task(team + std::to_string(number++), size, team, task_kind::batch,
                        kNow + milliseconds{number}));
      }
    }
    pool_placer placer(queue, 60'000);
    const std::size_t queued = queue.size();
    queue.RunPass(placer, kNow + seconds{1});
    if (queue.size() == 0) return;
    RC_ASSERT(placer.placed.size() < queued);
    for (const auto* waiting : queue.WaitingLongerThan(task_tier::batch, {}, 400, kNow + seconds{1},
                                                       [](const task_spec&) { return false; })) {
      for (const auto& [team, usage] : placer.by_team) {
        RC_ASSERT(placer.by_team[waiting->team] + 2 * kLargest >= usage);
      }
    }
  }));
}

// Guards against a team that exceeds its quota, and against a quota that blocks other teams.
TEST_CASE("teams stay within their quotas and freed quota is reused") {
  task_queue queue;
  queue.SetQuota("a", 4'000);
  queue.SetQuota("none", 0);
  CHECK(queue.Push(Task("big", 5'000, "a")) == core::result_code::quota_exceeded);
  CHECK(queue.Push(Task("zero", 1, "none")) == core::result_code::quota_exceeded);
  for (int i = 0; i < 4; ++i) queue.Push(Task("a" + std::to_string(i), 2'000, "a"));
  queue.Push(Task("b", 2'000, "b", task_kind::batch, kNow + seconds{1}));
  pool_placer placer(queue, 100'000);
  const auto stats = queue.RunPass(placer, kNow + seconds{2});
  CHECK(stats.over_quota == 1);
  CHECK(placer.by_team["a"] == 4'000);
  CHECK(placer.by_team["b"] == 2'000);
  queue.OnStopped("a", {2'000, 0, 0});
  queue.RunPass(placer, kNow + seconds{4});
  CHECK(placer.by_team["a"] == 6'000);
}

// Guards against a pass whose cost grows with the queue length, which would block the control
// thread.
TEST_CASE("a pass makes a bounded number of attempts") {
  task_queue queue;
  for (int i = 0; i < 20'000; ++i) {
    queue.Push(Task(std::to_string(i), 1'000 + i % 100, "t" + std::to_string(i % 60)));
  }
  pool_placer nothing(queue, 0);
  std::uint32_t attempts = 0;
  for (int tick = 0; tick < 50; ++tick) {
    const auto stats = queue.RunPass(nothing, kNow + milliseconds{20 * tick});
    CHECK(stats.attempts <= 16);
    attempts += stats.attempts;
  }
  CHECK(attempts > 0);
  pool_placer plenty(queue, 1'000'000'000);
  CHECK(queue.RunPass(plenty, kNow + seconds{5}).placed == 64);
}

// Guards against head-of-line blocking by a task that fits on no worker.
TEST_CASE("a task that fits nowhere does not block other tasks") {
  task_queue queue;
  for (int i = 0; i < 100; ++i) queue.Push(Task("big" + std::to_string(i), 9'000));
  queue.Push(Task("small", 1'000, "team", task_kind::batch, kNow + seconds{1}));
  pool_placer placer(queue, 2'000);
  CHECK(queue.RunPass(placer, kNow + seconds{2}).attempts == 2);
  CHECK(placer.placed == std::vector<std::string>{"small"});
}

// Guards against a team with many subqueues that do not fit or exceed its quota and use up all
// attempts, so that other teams, lower tiers or its own placeable tasks starve.
TEST_CASE("a team with many blocked subqueues starves nobody") {
  task_queue queue;
  queue.SetQuota("quota", 1'000);
  for (int i = 0; i < 2'000; ++i) {
    const std::string name = std::to_string(i);
    queue.Push(Task("big" + name, 50'000 + i, "big", task_kind::latency_critical));
    queue.Push(Task("quota" + name, 500 + i % 500, "quota"));
  }
  queue.OnRunning("quota", {1'000, 0, 0});
  const core::mono_time later = kNow + milliseconds{1};
  queue.Push(Task("small", 1'000, "big", task_kind::latency_critical, later));
  queue.Push(Task("batch", 1'000, "other", task_kind::batch, later));
  queue.OnRunning("other", {2'000, 0, 0});
  pool_placer placer(queue, 2'000);
  for (int tick = 0; tick < 1'500 && placer.placed.size() < 2; ++tick) {
    queue.RunPass(placer, later + milliseconds{20 * tick});
    if (tick == 50) CHECK(std::ranges::count(placer.placed, "batch") == 1);
  }
  CHECK(placer.placed.size() == 2);
}

// Guards against batch tasks that starve under a steady stream of latency-critical tasks.
TEST_CASE("an aged batch task competes with latency-critical tasks") {
  task_queue queue;
  queue.SetFleetTotal({16'000, 1, 1});
  queue.Push(Task("batch", 1'000, "batch"));
  int watch = 0;
  bool placed = false;
  for (int second = 0; second < 130 && !placed; ++second) {
    const core::mono_time now = kNow + seconds{second};
    for (int i = 0; i < 3; ++i) {
      queue.Push(
          Task("w" + std::to_string(watch++), 1'000, "watch", task_kind::latency_critical, now));
    }
    pool_placer placer(queue, 1'000);
    queue.RunPass(placer, now);
    placed = placer.placed == std::vector<std::string>{"batch"};
    CHECK((second >= 120 || !placed));
  }
  CHECK(placed);
}

// Guards against lost tasks, double placement and corrupted indexes under any mix of operations.
TEST_CASE("each task leaves the queue exactly once") {
  CHECK(rc::check([] {
    task_queue queue;
    std::map<std::string, int> left;
    std::size_t pushed = 0;
    core::mono_time now = kNow;
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 5));
    for (const int step : steps) {
      now += milliseconds{100};
      const std::string name = std::to_string(pushed);
      if (step <= 1) {
        auto task = Task(name, 500 + 500 * step, "t" + std::to_string(pushed % 3));
        task.submitted = now - milliseconds{*rc::gen::inRange(0, 1'000)};
        RC_ASSERT(queue.Push(task) == core::result_code::ok);
        RC_ASSERT(queue.Push(task) == core::result_code::conflict);
        ++pushed;
      } else if (step == 2 && pushed > 0) {
        const auto victim = std::to_string(*rc::gen::inRange<std::size_t>(0, pushed));
        if (queue.Remove(victim)) ++left[victim];
      } else if (step == 3) {
        pool_placer placer(queue, *rc::gen::inRange(0, 2'500));
        queue.RunPass(placer, now);
        for (const std::string& task : placer.placed) ++left[task];
      }
      RC_ASSERT(queue.size() + left.size() == pushed);
      RC_ASSERT(queue.size(task_tier::batch) == queue.size());
    }
    for (const auto& [task, count] : left) {
      RC_ASSERT(count == 1);
    }
    pool_placer placer(queue, 1'000'000);
    for (int i = 0; i < 10; ++i) queue.RunPass(placer, now + seconds{i});
    RC_ASSERT(queue.size() == 0U);
    RC_ASSERT(placer.placed.size() + left.size() == pushed);
  }));
}

// Guards against an accepted task that is lost because the queue is full when it is requeued.
TEST_CASE("the queue limit applies to new tasks only") {
  queue_options options;
  options.limit = 1;
  task_queue queue(options);
  CHECK(queue.Push(Task("a", 1)) == core::result_code::ok);
  CHECK(queue.Push(Task("b", 1)) == core::result_code::queue_full);
  CHECK(queue.Requeue(Task("c", 1, "team", task_kind::batch, kNow - seconds{9})));
  pool_placer placer(queue, 1);
  queue.RunPass(placer, kNow);
  CHECK(placer.placed == std::vector<std::string>{"c"});
}

}  // namespace
}  // namespace coltsfoot::placement
