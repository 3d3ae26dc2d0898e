#include <doctest/doctest.h>

#include <string>

#include "scenario.h"
#include "simulated_fleet.h"

namespace coltsfoot::simulation {
namespace {

constexpr std::size_t kWorkers = 4;
constexpr std::uint64_t kSeeds = 100;

void SetFaultsOfAll(simulated_fleet& fleet, const command_faults& faults) {
  for (std::size_t index = 0; index < kWorkers; ++index) fleet.target(index).SetFaults(faults);
}

void RestartAgents(simulated_fleet& fleet) {
  for (std::size_t index = 0; index < kWorkers; ++index) {
    fleet.RestartAgent(index, milliseconds{100});
  }
}

/// Starts a job whose commands are all late, and replaces the coordinator.
void ReplaceCoordinatorOfLateJob(simulated_fleet& fleet) {
  SetFaultsOfAll(fleet,
                 {.delayed = 1, .min_delay = milliseconds{2000}, .max_delay = milliseconds{4000}});
  fleet.Submit("00000000000000aa", kWorkers);
  fleet.Pass(milliseconds{100});
  fleet.ReplaceCoordinator(milliseconds{100});
}

}  // namespace

// Guards against starts of an earlier process of an agent that count as ended.
TEST_CASE("no task runs twice when agents restart while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true});
}

// Guards against starts of an earlier term that a new coordinator does not know.
TEST_CASE("no task runs twice when coordinators and agents are replaced while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true, .coordinator_is_replaced = true});
}

// Guards against a start that a target accepts in the new term without the coordinator's knowledge.
TEST_CASE("no task runs twice when an agent restarts before it has listed a start to a new term") {
  bool reports_are_held_back = false;
  SUBCASE("soon after an earlier restart") {}
  SUBCASE("while reports are held back") { reports_are_held_back = true; }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    simulated_fleet fleet(kWorkers, seed);
    fleet.Pass(milliseconds{(reports_are_held_back ? 8000 : 2000) + fleet.random().Below(1000)});
    ReplaceCoordinatorOfLateJob(fleet);
    if (reports_are_held_back) {
      fleet.Pass(milliseconds{110 + fleet.random().Below(20)});
      for (std::size_t index = 0; index < kWorkers; ++index) fleet.Cut(index, milliseconds{1500});
      fleet.Pass(milliseconds{1000});
    } else {
      fleet.Pass(milliseconds{300 + fleet.random().Below(700)});
    }
    RestartAgents(fleet);
    fleet.Pass(milliseconds{300});
    SetFaultsOfAll(fleet, {});
    fleet.Pass(milliseconds{15'000});
    for (const std::string& violation : FindRepeatedRuns(fleet.history())) {
      FAIL_CHECK("seed ", seed, ": ", violation);
    }
  }
}

}  // namespace coltsfoot::simulation
