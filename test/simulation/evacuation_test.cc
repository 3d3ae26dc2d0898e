#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a start that counts as refused since it expired, although the target executes it.
TEST_CASE("no task runs twice when starts expire while commands are late") {
  CheckSeeds({.commands = kLateCommands, .agents_restart = true, .zones_evacuated = true});
}

// Guards against starts that expire while they are commanded again by the next coordinator or on
// the next connection.
TEST_CASE("no task runs twice when starts expire on replaced connections") {
  CheckSeeds({.commands = {.refused = 0.2, .unanswered = 0.1, .delayed = 0.3},
              .coordinator_is_replaced = true,
              .connections_fail = true,
              .targets_drain = true,
              .zones_evacuated = true});
}

}  // namespace coltsfoot::simulation
