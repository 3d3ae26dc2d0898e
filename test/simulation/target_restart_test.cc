#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against runs of a target that are taken for those of its earlier incarnation.
TEST_CASE("no task runs twice when targets restart while commands are late") {
  CheckSeeds({.commands = kLateCommands, .targets_crash = true});
}

}  // namespace coltsfoot::simulation
