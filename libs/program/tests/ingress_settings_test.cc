#include "program/ingress_settings.h"

#include <doctest/doctest.h>

#include <string>

namespace coltsfoot::program {
namespace {

http::ingress_limits Read(const std::string& text, std::size_t errors = 0) {
  settings::reader source = settings::reader::FromText(text, "test.yaml");
  const http::ingress_limits out = ReadIngressLimits(source);
  CHECK(source.Finish().size() == errors);
  return out;
}

constexpr std::size_t kMiB = std::size_t{1} << 20U;

}  // namespace

// Guards against limits that ignore what the platform grants, or what the operator sets.
TEST_CASE("limits on callers follow from the host and can be set") {
  const auto host = Read("memory_mb: 60\nmax_descriptors: 64\n");
  CHECK(host == http::LimitsFor({.memory_bytes = 60 * kMiB, .descriptors = 64}));
  CHECK(Read("memory_mb: 60.5\nmax_descriptors: 64\n").callers.held_bytes >
        host.callers.held_bytes);
  const auto set = Read(
      "memory_mb: 60\nmax_descriptors: 64\nmax_connections: 20\nconnections_per_address: 3\n"
      "request_time_ms: 1500\nmax_requests_in_progress: 7\nheld_request_mb: 2\n");
  CHECK(set.callers ==
        http::ingress_share{.connections = 20, .held_bytes = 2 * kMiB, .requests_in_progress = 7});
  CHECK(set.reserve == host.reserve);
  CHECK(set.connections_per_address == 3);
  CHECK(set.request_time == core::milliseconds{1500});
  CHECK(Read("max_connections: 20\n").callers.requests_in_progress == 15);
  Read("max_connections: 10001\n", 1);
  Read("max_connections: 0\nrequest_time_ms: 1\nheld_request_mb: 0\nmemory_mb: -1\n", 4);
}

// Guards against more connections than the kernel gives the process descriptors for.
TEST_CASE("the kernel's limit of open files holds above the setting") {
  CHECK(Read("max_descriptors: 2147483647\n") == Read(""));
}

}  // namespace coltsfoot::program
