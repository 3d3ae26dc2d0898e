#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against calls to an earlier incarnation of a target that its next incarnation carries out
// although the agent has reached it.
TEST_CASE("no late call takes effect once the agent has reached the target's next incarnation") {
  SUBCASE("commands are late") { CheckLateEffects(kKeptNames); }
  SUBCASE("and polls and announcements") { CheckLateEffects(kKeptNamesLateAnnouncements); }
  SUBCASE("and agents and coordinators are replaced") {
    CheckLateEffects(kKeptNamesOthersReplaced);
  }
}

}  // namespace coltsfoot::simulation
