#include "agent/options.h"

#include <doctest/doctest.h>

namespace coltsfoot::agent {
namespace {

constexpr std::string_view kGood =
    "id: worker-1\nregion: r\nzone: z\nrack: k\nhttp: 127.0.0.1:0\nudp: 127.0.0.1:0\n"
    "tcp: 127.0.0.1:0\nentries: [\"127.0.0.1:7000\"]\n";

}  // namespace

// Guards against reporting only the first error of a settings file, so that an operator has to find
// them one by one.
TEST_CASE("all errors of the settings are reported together") {
  auto good = settings::reader::FromText(kGood, "a.yaml");
  const agent_options options = ReadOptions(good);
  CHECK(good.Finish().empty());
  CHECK(options.entries == std::vector<wire::endpoint>{{"127.0.0.1", 7000}});
  CHECK(options.lease_ttl == core::milliseconds{15000});
  const std::string text =
      std::string(kGood) + "heartbeat_ms: 9000\nannounce_timeout_ms: x\nlease: 3\n";
  auto bad = settings::reader::FromText(text, "a.yaml");
  ReadOptions(bad);
  CHECK(bad.Finish() == std::vector<std::string>{
                            "a.yaml:9: key 'heartbeat_ms' must be at most half of lease_ttl_ms",
                            "a.yaml:10: key 'announce_timeout_ms' must be a whole number",
                            "a.yaml:11: key 'lease' is not known"});
}

}  // namespace coltsfoot::agent
