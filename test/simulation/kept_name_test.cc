#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a late start that reaches the next incarnation of its target.
TEST_CASE("no task runs twice when targets restart under their names while commands are late") {
  CheckSeeds(kKeptNames);
}

// Guards against polls and starts that go to the next incarnation before its announcement.
TEST_CASE(
    "no task runs twice when targets restart under their names and announce themselves late") {
  CheckSeeds(kKeptNamesLateAnnouncements);
}

}  // namespace coltsfoot::simulation
