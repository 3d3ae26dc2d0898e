#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <string>
#include <vector>

#include "../tests/fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;

constexpr int kServingImages = 16;
constexpr int kFillingImages = 30;
constexpr std::uint32_t kTasksPerServingJob = 24;
constexpr std::uint32_t kTasksPerFillingJob = 40;
constexpr std::int64_t kServingCpu = 3200;
constexpr std::int64_t kFillingCpu = 1800;
/// Tasks per worker, on average.
constexpr int kServingPerWorker = 4;
constexpr int kFillingPerWorker = 4;

step_spec ServingStep(int image) {
  return {.count = kTasksPerServingJob,
          .need = {kServingCpu, 6000, 0},
          .estimate_ms = 1000,
          .long_running = true,
          .goal_ms = 150,
          .image = fmt::format("serving-{}", image)};
}

step_spec FillingStep(int image) {
  return {.count = kTasksPerFillingJob,
          .need = {kFillingCpu, 2000, 0},
          .estimate_ms = 2700,
          .checkpoints = true,
          .fills = true,
          .image = fmt::format("filling-{}", image)};
}

std::vector<std::string> AgentNames(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int worker = 0; worker < count; ++worker) names.push_back(fmt::format("w{}", worker));
  return names;
}

/// A fleet whose workers run serving and filling tasks while more filling jobs wait.
struct busy_fleet : coordinator_fixture {
  busy_fleet(int workers, int waiting_jobs) {
    spdlog::set_level(spdlog::level::off);
    Begin(AgentNames(workers));
    int job = 0;
    const auto submit = [&](const step_spec& step) {
      Submit(fmt::format("{:016x}", ++job), {step});
    };
    const int serving = workers * kServingPerWorker / static_cast<int>(kTasksPerServingJob);
    for (int each = 0; each < serving; ++each) submit(ServingStep(each % kServingImages));
    RunToSteadyState();
    const int filling = workers * kFillingPerWorker / static_cast<int>(kTasksPerFillingJob);
    for (int each = 0; each < filling; ++each) submit(FillingStep(each % kFillingImages));
    RunToSteadyState();
    for (int each = 0; each < waiting_jobs; ++each) submit(FillingStep(each % kFillingImages));
    RunToSteadyState();
  }

  void RunToSteadyState() {
    for (int round = 0; round < 20; ++round) {
      Tick();
      RunCommands();
      for (auto& [agent, report] : reports) {
        for (running_task& task : report.running) {
          task.progress = 100;
          task.reading = 40;
          task.checkpoint = "00000bb87a21d94b";
        }
      }
    }
    agents.grants.clear();
    agents.commands.clear();
  }
};

void ReportWholeList(benchmark::State& state) {
  busy_fleet fleet(static_cast<int>(state.range(0)), 0);
  auto next = fleet.reports.begin();
  for (auto _ : state) {
    fleet.control.OnReport(next->second);
    if (++next == fleet.reports.end()) next = fleet.reports.begin();
    fleet.agents.grants.clear();
  }
}
BENCHMARK(ReportWholeList)->Arg(60)->Arg(240)->Arg(990);

void EncodeAndDecodeReport(benchmark::State& state) {
  busy_fleet fleet(60, 0);
  const worker_report& report = fleet.reports.begin()->second;
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string encoded = wire::EncodeValue(report);
    bytes = encoded.size();
    core::last_error error;
    benchmark::DoNotOptimize(wire::DecodeValue<worker_report>(encoded, error));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeAndDecodeReport);

/// A tick after the report of one worker.
void Tick(benchmark::State& state) {
  busy_fleet fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  auto next = fleet.reports.begin();
  for (auto _ : state) {
    state.PauseTiming();
    fleet.control.OnReport(next->second);
    if (++next == fleet.reports.end()) next = fleet.reports.begin();
    fleet.agents.grants.clear();
    fleet.agents.commands.clear();
    fleet.time.Advance(milliseconds{1});
    state.ResumeTiming();
    fleet.control.Tick();
  }
}
BENCHMARK(Tick)->ArgsProduct({{60, 240, 990}, {0, 30}});

/// Placing a step of 40 filling tasks on an empty fleet.
void PlaceFillingTasks(benchmark::State& state) {
  const auto workers = static_cast<int>(state.range(0));
  for (auto _ : state) {
    state.PauseTiming();
    coordinator_fixture fleet;
    spdlog::set_level(spdlog::level::off);
    fleet.Begin(AgentNames(workers));
    fleet.Submit("00000000000000aa", {FillingStep(0)});
    state.ResumeTiming();
    fleet.control.Tick();
  }
}
BENCHMARK(PlaceFillingTasks)->Arg(60)->Arg(240)->Arg(990);

}  // namespace
}  // namespace coltsfoot::jobs

BENCHMARK_MAIN();
