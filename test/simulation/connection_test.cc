#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against commands that an agent executes after its connection failed.
TEST_CASE("no task runs twice when connections fail while commands are late") {
  CheckSeeds({.commands = kLateCommands, .connections_fail = true});
}

}  // namespace coltsfoot::simulation
