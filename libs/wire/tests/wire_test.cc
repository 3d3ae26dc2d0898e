#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <limits>
#include <vector>

#include "core/random_source.h"
#include "wire/frame.h"
#include "wire/transport.h"
#include "wire/usage_report_limiter.h"

namespace coltsfoot::wire {
namespace {

agent_heartbeat SampleHeartbeat() {
  agent_heartbeat sample;
  sample.worker = "worker-3";
  sample.incarnation = 77;
  sample.seq = 9;
  sample.agent_tcp = {"127.0.0.1", 4000};
  sample.zone = "iloilo-a";
  sample.total = {16000, 60000, 2};
  sample.services = {{"strawline", 3, 1, 2500}, {"other", 0, 0, 0}};
  return sample;
}

agent_heartbeat SampleBriefHeartbeat() {
  agent_heartbeat sample;
  sample.incarnation = 77;
  sample.seq = 10;
  sample.described = false;
  sample.services = {{"", 3, 1, 2500}, {"", 0, 0, 0}};
  return sample;
}

heartbeat_ack SampleAck() {
  heartbeat_ack sample;
  sample.incarnation = 77;
  sample.lists = 5;
  sample.entry = "entry-1";
  sample.shards = {{3, 5}, {4, 5}};
  sample.entries = {{"127.0.0.1", 4000}};
  return sample;
}

start_task SampleStart() {
  start_task sample;
  sample.task = "t03-0000000000000001";
  sample.epoch = 4;
  sample.policy = agent_policy{.version = 8, .drain = true};
  sample.need = {1000, 512, 0};
  sample.payload = std::string(300, 'p');
  return sample;
}

}  // namespace

TEST_CASE("messages survive a round trip through frame and datagram") {
  core::last_error error;
  const auto raw = ParseDatagram(ToDatagram(SampleHeartbeat()), error);
  REQUIRE(raw.has_value());
  CHECK(FromRaw<agent_heartbeat>(*raw, error) == SampleHeartbeat());

  CHECK(DecodeValue<agent_heartbeat>(EncodeValue(SampleBriefHeartbeat()), error) ==
        SampleBriefHeartbeat());
  CHECK(DecodeValue<heartbeat_ack>(EncodeValue(SampleAck()), error) == SampleAck());

  const std::string frame = ToFrame(SampleStart());
  const auto header = ParseFrameHeader(frame, error);
  REQUIRE(header.has_value());
  CHECK(header->payload_bytes == frame.size() - kFrameHeaderBytes);
  CHECK(DecodeValue<start_task>(frame.substr(kFrameHeaderBytes), error) == SampleStart());
}

// Guards against a datagram that claims a huge length and makes the process allocate it.
TEST_CASE("a length beyond the message is refused without allocating") {
  core::last_error error;
  std::vector<std::string> claims = {std::string(12, '\xff')};
  for (const std::uint64_t length : {5ULL, 1ULL << 33U, 1ULL << 62U, ~0ULL}) {
    claims.push_back(EncodeValue(length) + "rest");
  }
  for (const std::string& claim : claims) {
    CHECK_FALSE(DecodeValue<std::string>(claim, error).has_value());
    CHECK_FALSE(DecodeValue<std::vector<service_load>>(claim, error).has_value());
    CHECK(error.reason().code == core::result_code::decode_error);
  }
}

namespace {

template <class Number>
void CheckRoundTrip(Number number, std::size_t bytes) {
  core::last_error error;
  CAPTURE(+number);
  const std::string encoded = EncodeValue(number);
  CHECK(encoded.size() == bytes);
  CHECK(DecodeValue<Number>(encoded, error) == number);
}

}  // namespace

// Guards against an integer that changes its value or takes more bytes than it needs.
TEST_CASE("integers of all widths survive a round trip in few bytes") {
  CheckRoundTrip<std::uint64_t>(0, 1);
  CheckRoundTrip<std::uint64_t>(127, 1);
  CheckRoundTrip<std::uint64_t>(128, 2);
  CheckRoundTrip(std::numeric_limits<std::uint64_t>::max(), kMaxVarintBytes);
  CheckRoundTrip(std::numeric_limits<std::uint16_t>::max(), 3);
  CheckRoundTrip<std::int64_t>(-1, 1);
  CheckRoundTrip<std::int64_t>(63, 1);
  CheckRoundTrip<std::int64_t>(-65, 2);
  CheckRoundTrip(std::numeric_limits<std::int64_t>::min(), kMaxVarintBytes);
  CheckRoundTrip(std::numeric_limits<std::int64_t>::max(), kMaxVarintBytes);
  CheckRoundTrip(std::numeric_limits<std::int32_t>::min(), 5);
  CheckRoundTrip<std::uint8_t>(200, 1);
  CheckRoundTrip(true, 1);
  CheckRoundTrip(-0.5, 8);
  CHECK(EncodeValue(event_ack{~0ULL, 1}).size() == 9);
}

// Guards against a corrupt integer that is truncated to its type, shifted out or read past the end.
TEST_CASE("integers that are too long, too large or truncated are refused") {
  core::last_error error;
  const std::string ones(9, '\xff');
  CHECK(DecodeValue<std::uint64_t>(ones + '\x01', error) == ~0ULL);
  CHECK_FALSE(DecodeValue<std::uint64_t>(ones + '\x02', error).has_value());
  CHECK_FALSE(DecodeValue<std::uint64_t>(ones + '\x81' + '\x00', error).has_value());
  CHECK_FALSE(DecodeValue<std::uint64_t>(std::string(10, '\x80') + '\x00', error).has_value());
  CHECK_FALSE(DecodeValue<std::uint64_t>(ones, error).has_value());
  CHECK_FALSE(DecodeValue<std::uint64_t>("", error).has_value());
  CHECK_FALSE(DecodeValue<std::uint16_t>(EncodeValue(std::uint32_t{65'536}), error).has_value());
  CHECK_FALSE(DecodeValue<std::uint32_t>(EncodeValue(std::uint64_t{1} << 32U), error).has_value());
  CHECK_FALSE(DecodeValue<std::int32_t>(EncodeValue(std::int64_t{1} << 31U), error).has_value());
  CHECK_FALSE(
      DecodeValue<std::int32_t>(EncodeValue(-(std::int64_t{1} << 31U) - 1), error).has_value());
  CHECK_FALSE(DecodeValue<bool>("\x02", error).has_value());
  CHECK(error.reason().code == core::result_code::decode_error);
}

// Guards against misreading the messages of a peer that runs another release.
TEST_CASE("a peer of another protocol version is refused") {
  core::last_error error;
  std::string datagram = ToDatagram(SampleHeartbeat());
  datagram[4] = 9;
  CHECK_FALSE(ParseDatagram(datagram, error).has_value());
  CHECK(error.reason().code == core::result_code::version_mismatch);
}

// Guards against a crash or a large allocation on a corrupt message.
TEST_CASE("mutated messages decode or are refused without a crash") {
  core::seeded_random random(20261204);
  core::last_error error;
  const std::vector<std::string> samples = {EncodeValue(SampleHeartbeat()),
                                            EncodeValue(SampleBriefHeartbeat()),
                                            EncodeValue(SampleAck()), EncodeValue(SampleStart())};
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = samples[random.Below(samples.size())];
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t change = 0; change < changes; ++change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    if (random.Below(4) == 0) bytes.resize(random.Below(bytes.size()));
    (void)DecodeValue<agent_heartbeat>(bytes, error);
    (void)DecodeValue<heartbeat_ack>(bytes, error);
    (void)DecodeValue<start_task>(bytes, error);
  }
}

// Guards against a flood of datagrams that blocks the caller of Poll, and against lost datagrams
// when they arrive faster than they are read.
TEST_CASE("a polled socket reads at most the limit and keeps the rest") {
  std::size_t received = 0;
  std::size_t dropped = 0;
  polled_udp_socket to(
      {"127.0.0.1", 0}, [&](const endpoint&, const raw_message&) { ++received; },
      [&](core::result_code) { ++dropped; });
  polled_udp_socket from(
      {"127.0.0.1", 0}, [](const endpoint&, const raw_message&) {}, [](core::result_code) {});
  to.Poll(10);
  CHECK(received == 0);
  for (int count = 0; count < 4; ++count) from.Send(to.local(), ToDatagram(SampleHeartbeat()));
  from.Send(to.local(), "damaged");
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{10};
  while (dropped == 0 && std::chrono::steady_clock::now() < give_up) {
    const std::size_t before = received + dropped;
    to.Poll(2);
    REQUIRE(received + dropped <= before + 2);
  }
  CHECK(received == 4);
  CHECK(dropped == 1);
}

TEST_CASE("a connection delivers frames in both directions and reports when it is closed") {
  asio::io_context context;
  std::shared_ptr<tcp_connection> accepted;
  std::vector<raw_message> at_server;
  std::vector<raw_message> at_client;
  bool closed = false;
  tcp_listener listener(context, {"127.0.0.1", 0}, [&](std::shared_ptr<tcp_connection> incoming) {
    accepted = std::move(incoming);
    accepted->Start({.on_open = {},
                     .on_message =
                         [&](raw_message message) {
                           at_server.push_back(std::move(message));
                           accepted->Send(ToFrame(event_ack{1, 2}));
                         },
                     .on_close = {}});
  });
  auto client = ConnectTcp(context, listener.local());
  client->Start({.on_open = {},
                 .on_message =
                     [&](raw_message message) {
                       at_client.push_back(std::move(message));
                       accepted->Close();
                     },
                 .on_close =
                     [&](core::error_reason reason) {
                       closed = reason.code == core::result_code::connection_lost;
                       context.stop();
                     }});
  CHECK(client->Send(ToFrame(SampleStart())));
  context.run_for(std::chrono::seconds{10});
  REQUIRE(at_server.size() == 1);
  REQUIRE(at_client.size() == 1);
  core::last_error error;
  CHECK(FromRaw<start_task>(at_server[0], error) == SampleStart());
  CHECK(FromRaw<event_ack>(at_client[0], error) == event_ack{1, 2});
  CHECK(closed);
}

// Guards against traffic metrics that omit a protocol or a direction.
TEST_CASE("datagrams are counted where they are sent and received") {
  asio::io_context context;
  const traffic_totals before = ProcessTraffic();
  bool received = false;
  const endpoint any{"127.0.0.1", 0};
  udp_socket to(
      context, any, [&](const endpoint&, const raw_message&) { received = true; },
      [](core::result_code) {});
  udp_socket from(
      context, any, [](const endpoint&, const raw_message&) {}, [](core::result_code) {});
  const std::string datagram = ToDatagram(SampleHeartbeat());
  from.Send(to.local(), datagram);
  while (!received) context.run_one();
  const traffic_totals after = ProcessTraffic();
  CHECK(after.udp_sent.messages == before.udp_sent.messages + 1);
  CHECK(after.udp_sent.bytes == before.udp_sent.bytes + datagram.size());
  CHECK(after.udp_received.messages == before.udp_received.messages + 1);
  CHECK(after.udp_received.bytes == before.udp_received.bytes + datagram.size());
  CHECK(after.tcp_sent == before.tcp_sent);
  CHECK(RenderTraffic().find(R"(coltsfoot_wire_bytes_total{protocol="udp",direction="sent"} )" +
                             std::to_string(after.udp_sent.bytes)) != std::string::npos);
}

// Guards against usage reports that saturate an entry's link in a large fleet, and against a small
// fleet that learns slowly because its reports are limited needlessly.
TEST_CASE("usage reports of any fleet stay within the budget of an entry") {
  usage_report report{.worker = "worker-990"};
  report.samples.resize(10, {.task_class = "plan", .task = "t03-0000000000000001"});
  const double bytes = static_cast<double>(ToFrame(report).size());
  usage_report_limiter limiter;
  CHECK(limiter.Interval(990).count() == 0);
  for (int i = 0; i < 1000; ++i) limiter.Observe(ToFrame(report).size());
  CHECK(limiter.Interval(11).count() == 0);
  const auto interval = limiter.Interval(990);
  CHECK(990 * bytes / (static_cast<double>(interval.count()) / 1000) <=
        kUsageBytesPerSecond * 1.01);
  CHECK(limiter.Interval(1'000'000) == usage_report_limiter::kMaxInterval);
}

}  // namespace coltsfoot::wire
