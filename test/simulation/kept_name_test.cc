#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a late start that reaches the next incarnation of its target.
TEST_CASE("no task runs twice when targets restart under their names while commands are late") {
  CheckSeeds({.commands = kLateCommands, .targets_crash = true, .targets_keep_names = true});
}

}  // namespace coltsfoot::simulation
