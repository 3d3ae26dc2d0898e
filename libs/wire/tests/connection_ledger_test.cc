#include "wire/connection_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <iterator>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "wire/transport.h"

namespace coltsfoot::wire {
namespace {

using core::milliseconds;

constexpr core::mono_time At(std::int64_t ms) { return core::mono_time{milliseconds{ms}}; }

constexpr std::size_t kMiB = 1U << 20U;

}  // namespace

// The load: silent connections that a stranger opens, one each millisecond. Guards against a crowd
// that keeps a peer out or makes a listener close the connections of its own system.
TEST_CASE("a crowd of silent connections closes its own, and ordinary peers stay") {
  connection_ledger ledger({.connections = 100});
  constexpr std::uint64_t kPeers = 60;
  for (std::uint64_t peer = 1; peer <= kPeers; ++peer) {
    CHECK_FALSE(ledger.OnAccepted(peer, At(0)));
    ledger.OnFrame(peer, At(1));
  }
  std::uint64_t next = 1000;
  for (std::int64_t ms = 10; ms < 3010; ++ms) {
    if (const auto closed = ledger.OnAccepted(next++, At(ms))) {
      CHECK(*closed == next - 1 - (100 - kPeers));
    }
  }
  CHECK(ledger.connections() == 100);
  const std::uint64_t newcomer = next++;
  CHECK(ledger.OnAccepted(newcomer, At(3010)) != newcomer);
  // It speaks within the time in which 39 others connect.
  for (std::int64_t ms = 3011; ms < 3050; ++ms) {
    CHECK(ledger.OnAccepted(next++, At(ms)) != newcomer);
  }
  ledger.OnFrame(newcomer, At(3050));
  for (std::int64_t ms = 3051; ms < 4000; ++ms) CHECK(ledger.OnAccepted(next++, At(ms)) > newcomer);
}

// The load: connections that each sent a valid frame and then nothing, as 100 replaced coordinators
// or a stranger that knows the protocol. Guards against losing the connection in use.
TEST_CASE("among connections that have spoken, the longest silent one not in use is closed") {
  connection_ledger ledger({.connections = 3});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ledger.OnAccepted(id, At(0));
    ledger.OnFrame(id, At(static_cast<std::int64_t>(id)));
  }
  ledger.SetInUse(1, true);
  CHECK(ledger.OnAccepted(4, At(10)) == 2);
  // Bytes of an unfinished frame do not count as speaking.
  ledger.OnFrame(4, At(11));
  ledger.OnUnfinished(3, 100, At(12));
  CHECK(ledger.OnAccepted(5, At(20)) == 3);
  CHECK(ledger.bytes() == 0);
  ledger.OnFrame(5, At(21));
  ledger.SetInUse(4, true);
  ledger.SetInUse(5, true);
  CHECK(ledger.OnAccepted(6, At(30)) == 1);
}

// The load: 100 connections that claim 2 MiB and send all but one byte, while a peer sends reports.
// Guards against memory without bound and against closing the peer instead.
TEST_CASE("unfinished frames stay within the bytes, and the largest is closed first") {
  connection_ledger ledger({.bytes = 32 * kMiB});
  constexpr std::uint64_t kPeer = 1;
  ledger.OnAccepted(kPeer, At(0));
  std::set<std::uint64_t> closed;
  for (std::uint64_t id = 2; id <= 101; ++id) {
    ledger.OnAccepted(id, At(0));
    for (std::size_t held = 4096; held <= 2 * kMiB; held *= 2) {
      if (const auto victim = ledger.OnUnfinished(id, held, At(1))) closed.insert(*victim);
      CHECK(ledger.bytes() <= 32 * kMiB);
      if (const auto victim = ledger.OnUnfinished(kPeer, kMiB, At(2))) closed.insert(*victim);
      ledger.OnFrame(kPeer, At(2));
    }
  }
  CHECK(closed.size() >= 84);
  CHECK_FALSE(closed.contains(kPeer));
}

// Guards against an answer queue of a peer that does not read that is outside the limit.
TEST_CASE("unsent bytes count, and the connection in use is closed last") {
  connection_ledger ledger({.bytes = 10});
  ledger.OnAccepted(1, At(0));
  ledger.OnAccepted(2, At(0));
  ledger.SetInUse(1, true);
  CHECK_FALSE(ledger.OnUnsent(1, 6));
  CHECK_FALSE(ledger.OnUnsent(2, 4));
  CHECK(ledger.OnUnsent(1, 7) == 2);
  CHECK(ledger.OnUnsent(1, 11) == 1);
  CHECK(ledger.bytes() == 0);
  CHECK(ledger.connections() == 0);
}

TEST_CASE("without descriptors only connections that never spoke are closed, the oldest first") {
  connection_ledger ledger({});
  CHECK_FALSE(ledger.OnDescriptorsExhausted());
  for (std::uint64_t id = 1; id <= 3; ++id) {
    ledger.OnAccepted(id, At(static_cast<std::int64_t>(id)));
  }
  ledger.OnFrame(1, At(10));
  CHECK(ledger.OnDescriptorsExhausted() == 2);
  CHECK(ledger.OnDescriptorsExhausted() == 3);
  CHECK_FALSE(ledger.OnDescriptorsExhausted());
}

namespace {

/// Listener that counts what its owner sees, and a stranger's plain sockets.
struct crowd {
  explicit crowd(const connection_limits& limits)
      : listener(
            context, {"127.0.0.1", 0}, [this](const auto& each) { Accept(each); }, limits) {}

  void Accept(const std::shared_ptr<tcp_connection>& connection) {
    accepted.push_back(connection);
    connection->Start(
        {.on_open = {},
         .on_message =
             [this](const raw_message& message) { sizes.push_back(message.payload.size()); },
         .on_close = [this](const core::error_reason& reason) { reasons.push_back(reason.code); }});
  }
  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), listener.local().port});
    return socket;
  }
  /// Runs the context until the condition holds or 10 s have passed.
  template <class Condition>
  void RunUntil(Condition holds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (!holds() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(milliseconds{10});
      context.restart();
    }
    CHECK(holds());
  }

  asio::io_context context;
  std::vector<std::shared_ptr<tcp_connection>> accepted;
  std::vector<std::size_t> sizes;
  std::vector<core::result_code> reasons;
  tcp_listener listener;
};

}  // namespace

// Guards against a listener that ignores its ledger, and against an owner that is not told.
TEST_CASE("a listener closes the silent connection, and a new peer is heard") {
  crowd load({.connections = 2});
  const auto first = load.Connect();
  const auto second = load.Connect();
  load.RunUntil([&] { return load.accepted.size() == 2; });
  auto peer = load.Connect();
  const std::string frame = MakeFrame(message_type{1}, std::string(kMaxFrameBytes / 2, 'x'));
  asio::async_write(peer, asio::buffer(frame), [](asio::error_code, std::size_t) {});
  load.RunUntil([&] { return load.sizes.size() == 1; });
  CHECK(load.sizes.front() == kMaxFrameBytes / 2);
  CHECK(load.reasons == std::vector{core::result_code::connection_lost});
  CHECK_FALSE(load.accepted[0]->Send("x"));
  CHECK(RenderTraffic().find("coltsfoot_peer_connections 2\n") != std::string::npos);
}

// Guards against memory for what a header claims, and against an unfinished frame that stays.
TEST_CASE("an unfinished frame ends its connection after the time for a frame") {
  crowd load({.bytes = kMiB, .frame_time = milliseconds{100}});
  const std::string claim =
      MakeFrame(message_type{1}, std::string(kMaxFrameBytes, 'x')).substr(0, kFrameHeaderBytes + 1);
  // All together claim 20 times the limit on bytes, which closes none of them.
  std::vector<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 10; ++i) {
    sockets.push_back(load.Connect());
    asio::write(sockets.back(), asio::buffer(claim, i == 0 ? 3 : claim.size()));
  }
  load.RunUntil([&] { return load.reasons.size() == 10; });
  CHECK(load.reasons == std::vector(10, core::result_code::deadline_exceeded));
}

// The load: a crowd, and an owner on another thread that holds the last reference to connections
// that were closed at the limit. Guards against a data race, which the thread sanitizer reports.
TEST_CASE("another thread may release a closed connection") {
  constexpr std::size_t kCrowd = 200;
  constexpr std::size_t kConnections = 8;
  asio::io_context context;
  std::mutex mutex;
  std::vector<std::shared_ptr<tcp_connection>> accepted;
  const tcp_listener listener(
      context, {"127.0.0.1", 0},
      [&](std::shared_ptr<tcp_connection> connection) {
        connection->Start({.on_open = {}, .on_message = {}, .on_close = {}});
        const std::lock_guard lock(mutex);
        accepted.push_back(std::move(connection));
      },
      {.connections = kConnections});
  std::thread traffic([&] { context.run(); });
  asio::io_context crowd_context;
  std::vector<asio::ip::tcp::socket> crowd;
  std::size_t released = 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
  while (released < kCrowd - kConnections && std::chrono::steady_clock::now() < end) {
    if (crowd.size() < kCrowd) {
      crowd.emplace_back(crowd_context);
      crowd.back().connect({asio::ip::make_address("127.0.0.1"), listener.local().port});
    }
    // Declared before the lock, so that it is destroyed without it.
    std::vector<std::shared_ptr<tcp_connection>> closed;
    const std::lock_guard lock(mutex);
    const auto kept = std::partition(accepted.begin(), accepted.end(),
                                     [](const auto& each) { return each.use_count() > 1; });
    closed.assign(std::make_move_iterator(kept), std::make_move_iterator(accepted.end()));
    accepted.erase(kept, accepted.end());
    released += closed.size();
  }
  CHECK(released >= kCrowd - kConnections);
  context.stop();
  traffic.join();
}

}  // namespace coltsfoot::wire
