#include "scenario.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulated_fleet.h"

namespace coltsfoot::simulation {
namespace {

constexpr std::size_t kWorkers = 4;
constexpr milliseconds kFaultPeriod{20'000};
constexpr milliseconds kRecoveryLimit{60'000};

void InjectFault(simulated_fleet& fleet, const fault_mix& mix) {
  core::random_source& random = fleet.random();
  const std::size_t index = random.Below(fleet.workers());
  const milliseconds duration{random.Below(2000)};
  switch (random.Below(6)) {
    case 0:
    case 1:
      if (mix.agents_restart) fleet.RestartAgent(index, duration / 2);
      return;
    case 2:
      if (mix.coordinator_is_replaced) fleet.ReplaceCoordinator(duration);
      return;
    case 3:
      if (!mix.connections_fail) return;
      if (random.Below(2) == 0) {
        fleet.Disconnect(index);
      } else {
        fleet.Cut(index, 4 * duration);
      }
      return;
    case 4:
      if (mix.targets_crash) fleet.target(index).Crash(duration, mix.targets_keep_names);
      if (mix.targets_cut_off) fleet.target(index).CutOff(5 * duration);
      return;
    default:
      if (mix.targets_drain) fleet.target(index).SetDraining(random.Below(2) == 0);
      return;
  }
}

/// Evacuates the zone of a worker or takes that back. Sometimes the view is not confirmed, so that
/// starts on their way expire and no others follow.
void ChangeEvacuation(simulated_fleet& fleet) {
  const std::size_t index = fleet.random().Below(fleet.workers());
  fleet.evacuations().Set(fmt::format("w{}", index), fleet.random().Below(2) == 0);
  if (fleet.random().Below(3) > 0) fleet.evacuations().Confirm(fleet.now());
}

/// @return true if two targets crashed while they ran the same task of the job.
bool MayBeGivenUp(const run_history& history, const std::string& job) {
  std::map<jobs::task_id, int> crashes;
  return std::any_of(history.begin(), history.end(), [&](const run_record& run) {
    return run.run.task.job == job && run.crashed && ++crashes[run.run.task] >= 2;
  });
}

/// A line for each violation.
struct outcome {
  std::vector<std::string> repeated_runs;
  std::vector<std::string> late_effects;
  std::vector<std::string> incomplete_jobs;
};

/// Submits jobs while faults happen, then waits until all jobs that were not cancelled are
/// complete. A job may
/// fail if targets crashed under the same task of it.
/// @return the violations.
outcome Simulate(const fault_mix& mix, std::uint64_t seed) {
  simulated_fleet fleet(kWorkers, seed);
  core::random_source& random = fleet.random();
  std::set<std::string> jobs;
  if (mix.zones_evacuated) fleet.ObserveEvacuations();
  fleet.Pass(milliseconds{2000});
  fleet.SetAnnouncementDelay(mix.announcement_delay);
  for (std::size_t index = 0; index < kWorkers; ++index) {
    fleet.target(index).SetFaults(mix.commands);
  }
  const core::mono_time until = fleet.now() + kFaultPeriod;
  for (int job = 1; fleet.now() < until; ++job) {
    const std::string id = fmt::format("{:016x}", job);
    fleet.Submit(id, 1 + static_cast<std::uint32_t>(random.Below(6)));
    jobs.insert(id);
    fleet.Pass(milliseconds{random.Below(500)});
    if (random.Below(3) == 0) {
      fleet.Cancel(id);
      jobs.erase(id);
    }
    InjectFault(fleet, mix);
    if (mix.zones_evacuated) ChangeEvacuation(fleet);
  }
  for (std::size_t index = 0; index < kWorkers; ++index) {
    fleet.target(index).SetFaults({});
    fleet.target(index).SetDraining(false);
  }
  fleet.evacuations().Replace({});
  const core::mono_time limit = fleet.now() + kRecoveryLimit;
  while (!jobs.empty() && fleet.now() < limit) {
    fleet.evacuations().Confirm(fleet.now());
    fleet.Pass(milliseconds{500});
    std::erase_if(jobs, [&](const std::string& job) {
      const auto state = fleet.StateOf(job);
      return state == jobs::job_state::complete ||
             (state == jobs::job_state::failed && MayBeGivenUp(fleet.history(), job));
    });
  }
  outcome out{.repeated_runs = FindRepeatedRuns(fleet.history())};
  for (std::size_t index = 0; index < kWorkers; ++index) {
    const std::vector<std::string>& late = fleet.target(index).late_effects();
    out.late_effects.insert(out.late_effects.end(), late.begin(), late.end());
  }
  for (const std::string& job : jobs) {
    out.incomplete_jobs.push_back("job " + job + " is not complete");
  }
  return out;
}

void Check(std::uint64_t seed, const std::vector<std::string>& violations) {
  for (const std::string& violation : violations) FAIL_CHECK("seed ", seed, ": ", violation);
}

void PlaySeeds(const fault_mix& mix,
               const std::function<void(std::uint64_t, const outcome&)>& check) {
  const auto read = [](const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
  };
  // COLTSFOOT_SIMULATION_SEEDS sets the number of seeds outside CI; COLTSFOOT_SIMULATION_SEED plays
  // one seed and logs it.
  const std::uint64_t seeds = read("COLTSFOOT_SIMULATION_SEEDS", 100);
  const std::uint64_t only = read("COLTSFOOT_SIMULATION_SEED", 0);
  if (only == 0) spdlog::set_level(spdlog::level::off);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    if (only == 0 || seed == only) check(seed, Simulate(mix, seed));
  }
}

}  // namespace

void CheckSeeds(const fault_mix& mix) {
  PlaySeeds(mix, [](std::uint64_t seed, const outcome& played) {
    Check(seed, played.repeated_runs);
    Check(seed, played.incomplete_jobs);
  });
}

void CheckLateEffects(const fault_mix& mix) {
  PlaySeeds(mix, [](std::uint64_t seed, const outcome& played) {
    Check(seed, played.late_effects);
    Check(seed, played.incomplete_jobs);
  });
}

}  // namespace coltsfoot::simulation
