#include <doctest/doctest.h>
#include <signal.h>

#include <asio/io_context.hpp>

#include "harness/caller.h"
#include "harness/fleet.h"
#include "harness/process.h"
#include "harness/relay.h"
#include "wire/frame.h"
#include "wire/transport.h"

namespace coltsfoot::harness {
namespace {

constexpr core::milliseconds kBound{10000};

process_spec Platform() {
  return {"fake-platform", "harness-platform", {}, std::filesystem::temp_directory_path()};
}

}  // namespace

// Guards against failure tests whose signals do not reach the program.
TEST_CASE("a program is started, paused, continued and stopped") {
  process platform(Platform());
  const std::string url = "http://" + platform.Endpoint("http") + "/admin/stats";
  const auto client = http::MakeCurlClient();
  const auto answers = [&](int timeout_ms) {
    const http::call call{.url = url, .timeout = core::milliseconds{timeout_ms}};
    return http::CallAndWait(*client, call).answer.has_value();
  };
  CHECK(answers(5000));
  platform.Signal(SIGSTOP);
  CHECK_FALSE(answers(300));
  platform.Signal(SIGCONT);
  CHECK(answers(5000));
  platform.Signal(SIGTERM);
  CHECK(platform.WaitForExit(kBound) == 0);
  CHECK_FALSE(platform.running());
}

TEST_CASE("the exit code of a killed program names the signal") {
  process platform(Platform());
  CHECK_FALSE(platform.Endpoint("http").empty());
  platform.Kill();
  CHECK(platform.WaitForExit(kBound) == 128 + SIGKILL);
  CHECK_FALSE(platform.WaitForLine("never logged", kBound).has_value());
}

// Guards against a wait for a task that spends its bound in one call to an entry that is paused, or
// that delays the answer while a shard changes its owner.
TEST_CASE("a wait for a task tries the next entry when one does not answer") {
  fleet running({.entries = 1, .workers = 1});
  REQUIRE(running.WaitReady());
  process silent(Platform());
  const std::vector<std::string> entries{running.Entry(0), "http://" + silent.Endpoint("http")};
  silent.Signal(SIGSTOP);
  const auto id = running.calls().Submit(entries[0], {.key = "task", .work_ms = 60000});
  REQUIRE(id.has_value());
  const task_view view = running.calls().WaitForRun(entries, *id, 0, fleet_timings::kSlack);
  CHECK(view.state == "running");
}

// Guards against connections that stay open because a program started later has inherited them.
TEST_CASE("an entry connects to a restarted agent through the relay") {
  fleet running({.entries = 1, .workers = 2, .relayed = true});
  REQUIRE(running.WaitReady());
  running.agent_process(0).Kill();
  running.StartAgent(0);
  CHECK(running.agent_process(0).WaitForLine("entry_connected", kBound).has_value());
}

// Guards against agents and entries that receive addresses which bypass the relay, so that a cut
// has no effect.
TEST_CASE("the relay carries all traffic under its own endpoints and can be cut one way") {
  asio::io_context context;
  relay links;
  core::last_error error;
  const wire::endpoint any{"127.0.0.1", 0};
  const auto drop = [](core::result_code) {};
  std::vector<wire::agent_heartbeat> at_entry;
  std::vector<wire::heartbeat_ack> at_agent;
  std::vector<wire::raw_message> tcp_at_agent;
  std::vector<std::shared_ptr<wire::tcp_connection>> accepted;
  std::unique_ptr<wire::udp_socket> entry;
  entry = std::make_unique<wire::udp_socket>(
      context, any,
      [&](const wire::endpoint& from, wire::raw_message message) {
        at_entry.push_back(wire::FromRaw<wire::agent_heartbeat>(message, error).value());
        wire::heartbeat_ack ack;
        ack.entries = {entry->local()};
        entry->Send(from, wire::ToDatagram(ack));
      },
      drop);
  wire::udp_socket agent(
      context, any,
      [&](const wire::endpoint&, wire::raw_message message) {
        at_agent.push_back(wire::FromRaw<wire::heartbeat_ack>(message, error).value());
      },
      drop);
  wire::tcp_listener agent_tcp(context, any, [&](std::shared_ptr<wire::tcp_connection> incoming) {
    accepted.push_back(incoming);
    incoming->Start(
        {.on_open = {},
         .on_message = [&](wire::raw_message message) { tcp_at_agent.push_back(message); },
         .on_close = {}});
  });
  const auto run_until = [&](auto condition) {
    return WaitUntil(kBound, [&] {
      context.restart();
      context.run_for(core::milliseconds{20});
      return condition();
    });
  };

  const wire::endpoint relay_endpoint = links.AddLink("a", "e", entry->local());
  wire::agent_heartbeat heartbeat;
  heartbeat.agent_tcp = agent_tcp.local();
  agent.Send(relay_endpoint, wire::ToDatagram(heartbeat));
  CHECK(run_until([&] { return at_agent.size() == 1; }));
  CHECK(at_agent[0].entries == std::vector{relay_endpoint});
  CHECK(at_entry[0].agent_tcp != agent_tcp.local());

  const auto connection = wire::ConnectTcp(context, at_entry[0].agent_tcp);
  connection->Start({});
  links.Cut("e", relay::direction::to_agent);
  connection->Send(wire::ToFrame(wire::event_ack{1, 2}));
  agent.Send(relay_endpoint, wire::ToDatagram(heartbeat));
  CHECK(run_until([&] { return at_entry.size() == 2 && accepted.size() == 1; }));
  CHECK(tcp_at_agent.empty());
  CHECK(at_agent.size() == 1);
  links.Heal("e");
  CHECK(run_until([&] { return tcp_at_agent.size() == 1; }));
}

}  // namespace coltsfoot::harness
