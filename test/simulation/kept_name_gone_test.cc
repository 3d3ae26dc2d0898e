#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against a late start in the next incarnation of a target that had counted as gone.
TEST_CASE("no task runs twice when targets restart under their names while they are cut off") {
  CheckSeeds(kKeptNamesCutOff);
}

// Guards against a late start whose repetition was refused in the earlier incarnation.
TEST_CASE("no task runs twice when targets that are cut off refuse commands") {
  CheckSeeds(kKeptNamesCutOffRefusals);
}

}  // namespace coltsfoot::simulation
