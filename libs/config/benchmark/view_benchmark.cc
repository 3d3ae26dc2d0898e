#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "config/changes.h"
#include "config/resolved_settings.h"

namespace coltsfoot::config {
namespace {

constexpr int kExceptions = 60;

fleet_config_ptr ConfigWithExceptions() {
  fleet_config config;
  core::last_error error;
  for (int index = 0; index < kExceptions; ++index) {
    const std::string team = "team-" + std::to_string(index);
    config = *AddException(
        config, {team, {scope_kind::team, team}, "team.request_share", 2.0, "a", "b", {}},
        {"token", "a", {}}, error);
  }
  return std::make_shared<fleet_config>(config);
}

void ResolveWithoutCache(benchmark::State& state) {
  const auto config = ConfigWithExceptions();
  const subject about{.zone = "pontivy", .service = "planner", .team = "team-30"};
  for ([[maybe_unused]] auto round : state) benchmark::DoNotOptimize(Resolve(*config, about));
}
BENCHMARK(ResolveWithoutCache);

void ViewOfNamedTeam(benchmark::State& state) {
  settings_view view(ConfigWithExceptions());
  const subject about{.zone = "pontivy", .service = "planner", .team = "team-30"};
  for ([[maybe_unused]] auto round : state) benchmark::DoNotOptimize(view.For(about));
}
BENCHMARK(ViewOfNamedTeam);

void ViewOfOtherTeam(benchmark::State& state) {
  settings_view view(ConfigWithExceptions());
  const subject about{.zone = "pontivy", .service = "planner", .team = "other"};
  for ([[maybe_unused]] auto round : state) benchmark::DoNotOptimize(view.For(about));
}
BENCHMARK(ViewOfOtherTeam);

}  // namespace
}  // namespace coltsfoot::config

BENCHMARK_MAIN();
