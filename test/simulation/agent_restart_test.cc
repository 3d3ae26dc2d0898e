#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against starts of an earlier process of an agent that count as ended.
TEST_CASE("no task runs twice when agents restart while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true});
}

// Guards against starts of an earlier term that a new coordinator does not know.
TEST_CASE("no task runs twice when coordinators and agents are replaced while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true, .coordinator_is_replaced = true});
}

}  // namespace coltsfoot::simulation
