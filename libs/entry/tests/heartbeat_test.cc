#include <doctest/doctest.h>

#include "agent_directory.h"
#include "fixture.h"

namespace coltsfoot::entry {
namespace {

constexpr wire::message_type kAck = wire::message_type::heartbeat_ack;

/// An agent directory and the acks that it has sent.
struct directory {
  explicit directory(fixture& test)
      : agents(test.options, traffic, control, test.workers, test.ledger, test.config,
               test.interference, test.time, test.metrics) {
    agents.SetSender([this](const wire::endpoint&, const std::string& datagram) {
      core::last_error error;
      const auto raw = wire::ParseDatagram(datagram, error);
      REQUIRE(raw->type == kAck);
      acks.push_back(*wire::FromRaw<wire::heartbeat_ack>(*raw, error));
    });
  }
  wire::heartbeat_ack SendHeartbeat(std::uint64_t seq, bool described, std::uint64_t lists) {
    wire::agent_heartbeat heartbeat;
    heartbeat.incarnation = 99;
    heartbeat.seq = seq;
    heartbeat.description = 1;
    heartbeat.described = described;
    heartbeat.lists = lists;
    if (described) heartbeat.worker = "w-9";
    heartbeat.recovering = true;
    const std::size_t before = acks.size();
    agents.OnHeartbeat({"127.0.0.1", 7000}, heartbeat);
    REQUIRE(acks.size() == before + 1);
    return acks.back();
  }

  asio::io_context traffic;
  control_queue control{traffic, [] {}};
  agent_directory agents;
  std::vector<wire::heartbeat_ack> acks;
};

}  // namespace

// Guards against a restarted entry that renews leases of a worker that it does not know, and
// against an ack that refers to lists that the agent does not have or that are outdated.
TEST_CASE("acks request a missing description and send lists that the agent does not have") {
  fixture test;
  test.Start();
  directory entry(test);
  const wire::heartbeat_ack asked = entry.SendHeartbeat(1, false, 5);
  CHECK(asked.undescribed);
  CHECK_FALSE(asked.listed);
  CHECK(asked.lists == 0);
  CHECK(test.workers.Find("w-9") == std::nullopt);

  const wire::heartbeat_ack first = entry.SendHeartbeat(1, true, 5);
  CHECK_FALSE(first.undescribed);
  REQUIRE(first.listed);
  CHECK(first.entry == "entry-1");
  CHECK(first.shards.size() == 1);
  CHECK(test.workers.Find("w-9").has_value());
  const wire::heartbeat_ack same = entry.SendHeartbeat(2, false, first.lists);
  CHECK_FALSE(same.listed);
  CHECK(same.lists == first.lists);
  CHECK(same.shards.empty());

  // The entry may no longer renew leases, so the lists of the agent are outdated.
  test.kv.fault_for = [](bool, const std::string&) { return ledger::call_fault::refused; };
  for (int seconds = 0; seconds < 300 && !test.ledger.Grants().empty(); ++seconds) {
    test.AdvanceTime(core::milliseconds{1000});
  }
  REQUIRE(test.ledger.Grants().empty());
  const wire::heartbeat_ack changed = entry.SendHeartbeat(3, false, first.lists);
  CHECK(changed.listed);
  CHECK(changed.shards.empty());
  CHECK(changed.lists != first.lists);
}

}  // namespace coltsfoot::entry
