#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a refusal that is taken for the outcome of an earlier call without an answer.
TEST_CASE("no task runs twice when targets refuse some commands and execute others late") {
  CheckSeeds({.commands = {.refused = 0.3, .unanswered = 0.1, .delayed = 0.3}});
}

// Guards against starts that count as never sent because their target drains.
TEST_CASE("no task runs twice when targets drain while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true, .targets_drain = true});
}

}  // namespace coltsfoot::simulation
