#include "jobs/network.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;

/// A coordinating entry that answers late or not at all.
struct slow_coordinator {
  explicit slow_coordinator(asio::io_context& io) : context(io) {}

  void Accept(const std::shared_ptr<wire::tcp_connection>& connection) {
    connections.push_back(connection);
    connection->Start({.on_open = [] {},
                       .on_message =
                           [this, connection](const wire::raw_message& message) {
                             core::last_error error;
                             const auto query = wire::FromRaw<job_query>(message, error);
                             if (query && !mute) AnswerLater(connection, query->number);
                           },
                       .on_close = [](const core::error_reason&) {}});
  }

  void AnswerLater(const std::shared_ptr<wire::tcp_connection>& to, std::uint64_t number) {
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, to, number](asio::error_code) {
      to->Send(wire::ToFrame(job_answer{.number = number, .outcome = query_outcome::found}));
    });
  }

  asio::io_context& context;
  milliseconds delay{400};
  bool mute = false;
  std::vector<std::shared_ptr<wire::tcp_connection>> connections;
  wire::tcp_listener listener{
      context, {"127.0.0.1", 0}, [this](const auto& each) { Accept(each); }};
};

struct querying_entry {
  explicit querying_entry(asio::io_context& io, std::string leader)
      : context(io),
        peers(
            io, time, {"127.0.0.1", 0}, [leader = std::move(leader)] { return leader; },
            [](const job_query&, const std::function<void(job_answer)>&) {}) {}

  /// Sends a query every 100 ms for `duration`, as an entry with many callers does.
  void SendQueriesFor(milliseconds duration) {
    const core::mono_time end = time.Now() + duration;
    core::mono_time next = time.Now();
    while (time.Now() < end) {
      if (time.Now() >= next) {
        next += milliseconds{100};
        peers.Query({.kind = query_kind::show, .job = "a"}, [this](const job_answer& answer) {
          answer.outcome == query_outcome::lost ? ++lost : ++found;
        });
      }
      context.run_for(milliseconds{10});
      context.restart();
      peers.Tick();
    }
  }

  asio::io_context& context;
  core::boot_clock time;
  entry_peers peers;
  int lost = 0;
  int found = 0;
};

std::string AddressOf(const slow_coordinator& coordinator) {
  return "127.0.0.1:" + std::to_string(coordinator.listener.local().port);
}

}  // namespace

// Guards against reconnecting after each late answer, which adds load to a busy coordinator: at 300
// hosts (malolos-straw-large) it got 27 new connections a second.
TEST_CASE("a coordinator that answers late keeps its connections") {
  asio::io_context context;
  slow_coordinator coordinator(context);
  querying_entry entry(context, AddressOf(coordinator));
  entry.SendQueriesFor(milliseconds{1500});
  CHECK(coordinator.connections.size() == 1);
  // Callers do not wait for late answers.
  CHECK(entry.lost >= 10);
}

// Guards against sending queries forever on a connection that is dead.
TEST_CASE("a connection without any answer is replaced") {
  asio::io_context context;
  slow_coordinator coordinator(context);
  coordinator.delay = milliseconds{1};
  coordinator.mute = true;
  querying_entry entry(context, AddressOf(coordinator));
  entry.SendQueriesFor(milliseconds{1300});
  CHECK(coordinator.connections.size() >= 2);
  coordinator.mute = false;
  entry.SendQueriesFor(milliseconds{300});
  CHECK(entry.found > 0);
}

// The load: a peer that sends queries which the store does not answer. Guards against callbacks
// without bound, and against a limit that stays reached after the queries have ended.
TEST_CASE("queries beyond those in progress are refused as not executed") {
  constexpr std::uint64_t kLimit = 4096;
  asio::io_context context;
  const core::boot_clock time;
  wire::endpoint at{"127.0.0.1", 0};
  {
    const wire::tcp_listener free_port(context, at, [](const auto&) {});
    at = free_port.local();
  }
  std::vector<std::function<void(job_answer)>> waiting;
  const entry_peers peers(
      context, time, at, [] { return std::string{}; },
      [&](const job_query&, std::function<void(job_answer)> done) {
        waiting.push_back(std::move(done));
      });
  std::vector<std::uint64_t> refused;
  const auto peer = wire::ConnectTcp(context, at);
  peer->Start({.on_open = {},
               .on_message =
                   [&](const wire::raw_message& message) {
                     core::last_error error;
                     const auto answer = wire::FromRaw<job_answer>(message, error);
                     REQUIRE(answer);
                     CHECK(answer->outcome == query_outcome::not_coordinator);
                     refused.push_back(answer->number);
                   },
               .on_close = {}});
  const auto query = [&](std::uint64_t number) {
    CHECK(peer->Send(wire::ToFrame(job_query{.number = number, .kind = query_kind::show})));
  };
  const auto run_until = [&](auto holds) {
    const core::mono_time end = time.Now() + std::chrono::seconds{20};
    while (!holds() && time.Now() < end) {
      context.run_one_for(milliseconds{10});
      context.restart();
    }
    CHECK(holds());
  };
  for (std::uint64_t number = 1; number <= kLimit + 2; ++number) query(number);
  run_until([&] { return refused.size() == 2; });
  CHECK(refused == std::vector<std::uint64_t>{kLimit + 1, kLimit + 2});
  CHECK(waiting.size() == kLimit);
  waiting.clear();
  query(kLimit + 3);
  run_until([&] { return waiting.size() == 1; });
  peer->Close();
}

}  // namespace coltsfoot::jobs
