#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a late start that reaches the next incarnation of its target.
TEST_CASE("no task runs twice when targets restart under their names while commands are late") {
  CheckSeeds({.commands = kLateCommands, .targets_crash = true, .targets_keep_names = true});
}

// Guards against polls and starts that go to the next incarnation before its announcement.
TEST_CASE(
    "no task runs twice when targets restart under their names and announce themselves late") {
  CheckSeeds({.commands = kLateCalls,
              .targets_crash = true,
              .targets_keep_names = true,
              .announcement_delay = kLateAnnouncement});
}

// Guards against starts on their way that the processes which sent them no longer know.
TEST_CASE("no task runs twice when agents and coordinators are replaced as well") {
  CheckSeeds({.commands = kLateCalls,
              .agents_restart = true,
              .coordinator_is_replaced = true,
              .targets_crash = true,
              .targets_keep_names = true,
              .announcement_delay = kLateAnnouncement});
}

}  // namespace coltsfoot::simulation
