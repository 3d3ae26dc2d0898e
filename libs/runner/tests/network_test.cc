#include "runner/network.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "runner_fixture.h"
#include "wire/frame.h"

namespace coltsfoot::runner {

// The load: connections that each send a command, as a stranger that knows the protocol, while the
// coordinator is silent. Guards against a runner that loses its coordinator to them, and against
// one that keeps a connection whose hello cannot be decoded.
TEST_CASE("the coordinator's connection outlives a crowd at the limit of connections") {
  asio::io_context context;
  wire::endpoint at{"127.0.0.1", 0};
  {
    const wire::tcp_listener free_port(context, at, [](const auto&) {});
    at = free_port.local();
  }
  testing::runner_fixture fixture;
  coordinator_listener listener(context, at, {.connections = 3});
  listener.SetRunner(fixture.agent);
  const auto run_until = [&](auto holds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (!holds() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(std::chrono::milliseconds{10});
      context.restart();
    }
    CHECK(holds());
  };
  std::size_t closed = 0;
  std::size_t reports = 0;
  const auto connect = [&](std::string frame) {
    auto out = wire::ConnectTcp(context, at);
    out->Start({.on_open = {},
                .on_message = [&](const wire::raw_message&) { ++reports; },
                .on_close = [&](const core::error_reason&) { ++closed; }});
    CHECK(out->Send(std::move(frame)));
    return out;
  };
  const auto coordinator = connect(wire::ToFrame(jobs::coordinator_hello{.term = 6}));
  run_until([&] { return listener.Send({.term = 6}); });
  std::vector<std::shared_ptr<wire::tcp_connection>> crowd;
  for (std::size_t i = 0; i < 10; ++i) {
    crowd.push_back(connect(wire::ToFrame(jobs::lease_grant{.term = 6})));
  }
  run_until([&] { return closed == 8; });
  crowd.push_back(connect(wire::MakeFrame(jobs::coordinator_hello::kType, "")));
  run_until([&] { return closed == 10; });
  reports = 0;
  CHECK(listener.Send({.term = 6}));
  run_until([&] { return reports == 1; });
  coordinator->Close();
  for (const auto& each : crowd) each->Close();
}

}  // namespace coltsfoot::runner
