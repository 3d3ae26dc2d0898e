#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "../tests/fleet.h"
#include "placement/policy.h"
#include "placement/preemption.h"
#include "placement/router.h"
#include "placement/running_table.h"
#include "placement/task_queue.h"

namespace coltsfoot::placement {
namespace {

using core::task_kind;
constexpr core::mono_time kNow = test_fleet::kStart;
constexpr int kTasksPerWorker = 10;
constexpr int kClasses = 20;
constexpr int kTeams = 60;
constexpr int kShapes = 4;

/// Fleet with `kTasksPerWorker` tasks of different classes on each worker and learned estimates.
struct loaded_fleet {
  explicit loaded_fleet(std::uint32_t workers) : fleet(workers) {
    core::seeded_random random(5);
    for (worker_index worker = 0; worker < workers; ++worker) {
      fleet.load(worker) = static_cast<std::uint32_t>(random.Below(8));
      model.OnStarted(worker, model.Class("planner", kNow), kNow);
      for (int i = 0; i < kTasksPerWorker; ++i) AddTask(worker, random);
    }
    fleet.Beat(kNow);
    for (worker_index worker = 0; worker < workers; ++worker) {
      const auto slowdown = static_cast<std::uint32_t>(1'000 + random.Below(500));
      model.OnUsage(worker, {.samples = {{"planner", "", {}, slowdown}}}, kNow);
    }
    view = fleet.View();
    view.running = &running;
    view.interference = &model;
    view.quarantine_states = quarantine_states;
    view.headroom_percent = 20;
  }

  void AddTask(worker_index worker, core::random_source& random) {
    const core::resources need{static_cast<std::int64_t>(500 + random.Below(600)), 3'000, 0};
    auto spec = MakeTask(std::to_string(number++), task_kind::batch, need);
    spec.task_class = "class" + std::to_string(random.Below(kClasses));
    model.OnStarted(worker, model.Class(spec.task_class, kNow), kNow);
    fleet.free(worker) -= need;
    running.Add({.spec = spec, .worker = worker, .state = running_state::running}, fleet.table);
  }

  test_fleet fleet;
  interference::model model;
  running_table running;
  std::vector<blame::quarantine_state> quarantine_states;
  placement_view view;
  int number = 0;
};

void PlaceTask(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  core::seeded_random random(1);
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  auto task = MakeTask("t", task_kind::latency_critical, {1'000, 2'000, 0});
  task.task_class = "class3";
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy->Choose(task, loaded.view, kNow, random, nullptr));
  }
}

// Scans the whole table, since no worker has room.
void PlaceTaskNowhere(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  core::seeded_random random(1);
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  const auto task = MakeTask("t", task_kind::latency_critical, {15'500, 2'000, 0});
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy->Choose(task, loaded.view, kNow, random, nullptr));
  }
}

// Plans room for one urgent task on full workers; ten batch tasks run on each.
void PlanVictims(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  auto task = MakeTask("t", task_kind::latency_critical, {12'000, 20'000, 0});
  task.urgent = true;
  const core::mono_time now = kNow + std::chrono::seconds{3};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        PlanPreemption(task, std::chrono::seconds{3}, 100, loaded.view, {}, now));
  }
}

void RouteRequest(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  core::seeded_random random(1);
  const auto policy = MakeRoutingPolicy(policy_kind::weighted);
  const routing_request request{.service = *loaded.fleet.table.service_names().Find("planner"),
                                .own_zone = *loaded.fleet.table.place_names().Find("zone0")};
  for (auto _ : state) {
    benchmark::DoNotOptimize(policy->Route(request, loaded.view, kNow, random));
  }
}

/// Decides with the weighted policy and does not charge the worker, so that each pass is alike.
class deciding_placer final : public task_placer {
 public:
  explicit deciding_placer(const placement_view& view) : view_(view) {}
  attempt_outcome TryPlace(const task_spec& task) override {
    if (!policy_->Choose(task, view_, kNow, random_, nullptr)) return attempt_outcome::blocked;
    placed.push_back(task);
    return attempt_outcome::placed;
  }
  std::vector<task_spec> placed;

 private:
  const placement_view& view_;
  core::seeded_random random_{1};
  std::unique_ptr<placement_policy> policy_ = MakePlacementPolicy(policy_kind::weighted);
};

void FillQueue(task_queue& queue, std::int64_t length, std::int64_t cpu_millis) {
  for (std::int64_t i = 0; i < length; ++i) {
    queue.Push(MakeTask(std::to_string(i), task_kind::batch, {cpu_millis + i % kShapes, 2'000, 0},
                        "team" + std::to_string(i % kTeams)));
  }
}

// One pass that places its limit of 64 tasks. Arguments: workers, queued tasks.
void QueuePass(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  task_queue queue;
  FillQueue(queue, state.range(1), 500);
  deciding_placer placer(loaded.view);
  for (auto _ : state) {
    queue.RunPass(placer, kNow);
    state.PauseTiming();
    for (task_spec& task : placer.placed) queue.Requeue(std::move(task));
    placer.placed.clear();
    state.ResumeTiming();
  }
}

// Passes on a full fleet, one each 20 ms. A pass scans the whole table for at most 16 heads; lanes
// back off in between.
void QueuePassNowhere(benchmark::State& state) {
  loaded_fleet loaded(static_cast<std::uint32_t>(state.range(0)));
  task_queue queue;
  FillQueue(queue, state.range(1), 15'500);
  deciding_placer placer(loaded.view);
  core::mono_time now = kNow;
  for (auto _ : state) {
    queue.RunPass(placer, now);
    now += std::chrono::milliseconds{20};
  }
}

void Fleets(benchmark::internal::Benchmark* run) {
  for (const std::int64_t workers : {11, 100, 990, 4'000}) run->Arg(workers);
}

void FleetsAndQueues(benchmark::internal::Benchmark* run) {
  run->ArgsProduct({{11, 100, 990, 4'000}, {1'000, 100'000}});
}

BENCHMARK(PlaceTask)->Apply(Fleets);
BENCHMARK(PlaceTaskNowhere)->Apply(Fleets);
BENCHMARK(PlanVictims)->Apply(Fleets);
BENCHMARK(RouteRequest)->Apply(Fleets);
BENCHMARK(QueuePass)->Apply(FleetsAndQueues)->Unit(benchmark::kMicrosecond);
BENCHMARK(QueuePassNowhere)->Apply(FleetsAndQueues)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace coltsfoot::placement

BENCHMARK_MAIN();
