#include "program/program.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

namespace coltsfoot::program {

// Guards against an entry that cannot connect to all agents under the usual limit of 1,024 files.
TEST_CASE("the soft limit of open files is raised to the hard limit") {
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const rlimit low{128, before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  RaiseOpenFileLimit();
  rlimit after{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &after) == 0);
  CHECK(after.rlim_cur == before.rlim_max);
  setrlimit(RLIMIT_NOFILE, &before);
}

}  // namespace coltsfoot::program
