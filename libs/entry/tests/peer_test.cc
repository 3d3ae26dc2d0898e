#include <doctest/doctest.h>

#include "fixture.h"
#include "peer_directory.h"

namespace coltsfoot::entry {

using core::milliseconds;

// Guards against quotas computed from doubled, missing or outdated usage of other entries when a
// status omits unchanged usage.
TEST_CASE("a status carries team usage after a change and at regular intervals") {
  fixture test;
  asio::io_context traffic;
  control_queue control(traffic, [] {});
  entry_options receiver_options = fixture::Options("entry-1");
  receiver_options.tcp = {"127.0.0.1", 0};
  const entry_options sender_options = fixture::Options("entry-2");
  peer_directory receiver(receiver_options, traffic, control, test.config, test.time, test.metrics);
  peer_directory sender(sender_options, traffic, control, test.config, test.time, test.metrics);
  std::vector<wire::peer_status> received;
  std::vector<wire::team_usage> usage{{"mills", {1000, 500, 0}}};
  receiver.SetHandlers({}, [&](const wire::peer_status& status) { received.push_back(status); },
                       {});
  sender.SetHandlers(
      {}, [](const wire::peer_status&) {}, [&] { return usage; });
  const std::vector<ledger::live_entry> entries{
      {"entry-1", wire::EncodeValue(entry_address{{}, receiver.Listen(), {}})}};
  const auto next = [&]() -> std::optional<std::vector<wire::team_usage>> {
    received.clear();
    for (int round = 0; round < 1000 && received.empty(); ++round) {
      test.time.Advance(milliseconds{sender.CanReach("entry-1") ? 1000 : 100});
      sender.Tick(entries);
      sender.Flush();
      if (sender.CanReach("entry-1")) {
        while (received.empty()) {
          traffic.run_one();
          control.Run();
        }
      } else {
        traffic.run_for(milliseconds{5});
      }
    }
    REQUIRE(received.size() == 1);
    return received.front().teams;
  };
  CHECK(next() == usage);
  CHECK_FALSE(next().has_value());
  usage.push_back({"vans", {2000, 500, 0}});
  CHECK(next() == usage);
  CHECK_FALSE(next().has_value());
  usage.clear();
  CHECK(next() == usage);
  int left_out = 0;
  while (!next().has_value()) ++left_out;
  CHECK(left_out == 9);
}

}  // namespace coltsfoot::entry
