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

// Guards against settings that raise the limits of peer connections above what the host allows.
TEST_CASE("settings lower the limits of peer connections") {
  auto none = settings::reader::FromText("id: a", "s.yaml");
  CHECK(ReadPeerLimits(none) == wire::DefaultConnectionLimits());
  auto lower =
      settings::reader::FromText("max_peer_connections: 7\nmax_peer_bytes_mb: 5", "s.yaml");
  const wire::connection_limits limits = ReadPeerLimits(lower);
  CHECK(limits.connections == 7);
  CHECK(limits.bytes == 5U << 20U);
  CHECK(lower.Finish().empty());
  auto higher = settings::reader::FromText("max_peer_connections: 100000", "s.yaml");
  ReadPeerLimits(higher);
  CHECK(higher.Finish().size() == 1);
}

}  // namespace coltsfoot::program
