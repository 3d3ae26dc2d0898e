#include <doctest/doctest.h>

#include "scenario.h"

namespace coltsfoot::simulation {

// Guards against starts on their way that the processes which sent them no longer know.
TEST_CASE("no task runs twice when agents and coordinators are replaced as well") {
  CheckSeeds(kKeptNamesOthersReplaced);
}

}  // namespace coltsfoot::simulation
