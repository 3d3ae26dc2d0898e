#include <doctest/doctest.h>

#include <asio/post.hpp>
#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>

#include "agent/http_target_client.h"
#include "agent/network_link.h"
#include "agent/target_api.h"
#include "fixture.h"
#include "http/server.h"
#include "target_json.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;

/// HTTP client that records calls and returns the result set by the test.
class scripted_client final : public http::client {
 public:
  void Send(http::call request, http::call_handler handler) override {
    calls.push_back(std::move(request));
    handler(next);
  }
  std::vector<http::call> calls;
  http::call_result next;
};

/// Runs single calls of the target client and returns what the callback received.
struct protocol_fixture {
  protocol_fixture() { target->SetTarget({"127.0.0.1", 9000}); }

  service_answer Run(http::call_result answer) {
    via.next = std::move(answer);
    service_answer out;
    target->Run({.id = "entry-1-7-0", .service = "a b", .team = "mills", .body = "in"},
                [&](service_answer result) { out = std::move(result); });
    Drain();
    return out;
  }
  start_result Start(http::call_result answer) {
    via.next = std::move(answer);
    start_result out;
    target->Start({.task = "t", .epoch = 2, .payload = std::string("\0\xff", 2)},
                  [&](start_result result) { out = std::move(result); });
    Drain();
    return out;
  }
  void Drain() {
    context.restart();
    context.run();
  }
  static http::call_result Answer(int status, std::string body, http::header_map headers = {}) {
    return {http::response{status, std::move(headers), std::move(body)}, {result_code::ok, ""}};
  }

  asio::io_context context;
  scripted_client via;
  std::unique_ptr<target_client> target = MakeHttpTargetClient(via, context);
};

/// Target on a real HTTP server that responds at once.
struct live_target {
  http::response Handle(const http::request& received) {
    if (received.path == "/tasks" && received.method == "GET") {
      return http::JsonResponse(200, R"({"instance":"i1","tasks":[]})");
    }
    if (received.path == "/events") return Events(received);
    if (received.path.starts_with("/requests/")) {
      return {200, {{"X-Digest", std::to_string(core::StableHash("answer"))}}, "answer"};
    }
    if (received.path == "/tasks") ended = true;
    return http::JsonResponse(200, "{}");
  }
  http::response Events(const http::request& received) {
    const bool send = ended && received.FindParameter("since") == "0";
    return http::JsonResponse(
        200, send ? R"({"instance":"i1","next":1,"events":[{"id":1,"type":"finished",)"
                    R"("task":"t03-0000000000000001","epoch":1,"result":"b2s="}]})"
                  : R"({"instance":"i1","next":0,"events":[]})");
  }
  std::atomic<bool> ended{false};
  http::server server{{}, [this](const http::request& received, const http::responder& respond) {
                        respond(Handle(received));
                      }};
};

}  // namespace

// Guards against forwarding a corrupt response as complete, and against reporting a request as not
// run although the target may have run it.
TEST_CASE("responses of a service map to result codes") {
  protocol_fixture test;
  const std::string digest = std::to_string(core::StableHash("out"));
  CHECK(test.Run(test.Answer(200, "out", {{"X-Digest", digest}})).code == result_code::ok);
  CHECK(test.via.calls.back().url == "http://127.0.0.1:9000/requests/a%20b");
  CHECK(test.via.calls.back().headers.at("X-Request-Id") == "entry-1-7-0");
  CHECK(test.Run(test.Answer(200, "ou", {{"X-Digest", digest}})).code ==
        result_code::answer_truncated);
  CHECK(test.Run(test.Answer(200, "out")).code == result_code::answer_truncated);
  CHECK(test.Run(test.Answer(503, "")).code == result_code::no_capacity);
  CHECK(test.Run(test.Answer(500, "why")).code == result_code::target_error);
  CHECK_FALSE(test.via.calls.back().at_most_once);
  for (const auto code : {result_code::connect_failed, result_code::connection_lost,
                          result_code::answer_truncated, result_code::deadline_exceeded}) {
    CHECK(test.Run({std::nullopt, {code, ""}}).code == code);
  }
}

// Guards against treating a start as refused although it may have taken effect.
TEST_CASE("responses to a start map to outcomes") {
  protocol_fixture test;
  CHECK(test.Start(test.Answer(200, "{}")).outcome == start_outcome::started);
  CHECK(test.via.calls.back().at_most_once);
  const auto body = nlohmann::json::parse(test.via.calls.back().body);
  CHECK(body.at("payload") == "AP8=");
  CHECK(body.at("kind") == "batch");
  CHECK(test.Start(test.Answer(409, "{}")).outcome == start_outcome::epoch_known);
  CHECK(test.Start(test.Answer(422, R"({"reason":"full"})")) ==
        start_result{start_outcome::refused, "full"});
  CHECK(test.Start(test.Answer(500, "")).outcome == start_outcome::unknown);
  CHECK(test.Start({std::nullopt, {result_code::connect_failed, ""}}).outcome ==
        start_outcome::not_sent);
  CHECK(test.Start({std::nullopt, {result_code::deadline_exceeded, ""}}).outcome ==
        start_outcome::unknown);
}

// Guards against a response whose nesting exhausts the stack when a part of it is written out.
TEST_CASE("a deeply nested response of a target is refused") {
  constexpr std::size_t kLevels = 200'000;
  const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  core::last_error error;
  CHECK_FALSE(ParseListing(R"({"instance":)" + nested + R"(,"tasks":[]})", error).has_value());
  CHECK_FALSE(ParseEvents(R"({"instance":"a","next":1,"events":[{"type":"usage","samples":)" +
                              nested + "}]}",
                          error)
                  .has_value());
  CHECK_FALSE(ParseAnnouncement(R"({"target":)" + nested + "}", error).has_value());
}

// Guards against a corrupt response that crashes the agent or loses a lease deadline.
TEST_CASE("lists and events are parsed completely or not at all") {
  core::last_error error;
  const auto listing = ParseListing(
      R"({"instance":3,"tasks":[{"task":"t","epoch":2,"shard":1,"fence":4,"kind":"latency_critical",
          "resources":{"cpu_millis":5},"lease_until_ns":99,"state":"throttled"}]})",
      error);
  REQUIRE(listing.has_value());
  CHECK(listing->instance == "3");
  CHECK(listing->tasks[0].spec.lease_until.time_since_epoch().count() == 99);
  CHECK(listing->tasks[0].spec.kind == core::task_kind::latency_critical);
  CHECK_FALSE(listing->tasks[0].ended);
  CHECK_FALSE(ParseListing(R"({"instance":3,"tasks":[{"task":"t"}]})", error).has_value());
  CHECK_FALSE(ParseEvents(R"({"instance":"a","next":1,"events":[{"type":"finished","task":"t",
                              "epoch":1,"result":"*"}]})",
                          error)
                  .has_value());
  const auto events = ParseEvents(
      R"({"instance":"a","next":4,"events":[{"type":"later"},{"id":3,"type":"usage","age_ms":7,
          "samples":[{"task_class":"c","cpu_millis":2,"slowdown_permille":1300}]}]})",
      error);
  REQUIRE(events.has_value());
  REQUIRE(events->events.size() == 1);
  CHECK(events->events[0].samples[0].slowdown_permille == 1300);
}

// Guards against errors that do not tell the target what is invalid in its announcement.
TEST_CASE("invalid calls of a target are answered with result codes") {
  metrics::registry metrics;
  int announced = 0;
  const auto api = MakeTargetApi({.on_announce = [&](const target_announcement&) { ++announced; },
                                  .on_goodbye = [](const std::string&) {}},
                                 metrics);
  const auto call = [&](std::string method, std::string path, std::string body = "") {
    http::response out;
    api({std::move(method), std::move(path), {}, {}, std::move(body)},
        [&](http::response answer) { out = std::move(answer); });
    return out.FindHeader("X-Result-Code").value_or("0");
  };
  const nlohmann::json good = {
      {"target", "t"},
      {"instance", 5},
      {"address", "127.0.0.1"},
      {"port", 80},
      {"slots", 1},
      {"services", {"a"}},
      {"connections", 1},
      {"resources", {{"cpu_millis", 1}, {"memory_mb", 1}, {"accelerators", 0}}}};
  CHECK(call("POST", "/v1/announce", good.dump()) == "0");
  nlohmann::json bad = good;
  bad["port"] = 70000;
  CHECK(call("POST", "/v1/announce", bad.dump()) == "105");
  bad = good;
  bad["resources"]["cpu_millis"] = -1;
  CHECK(call("POST", "/v1/announce", bad.dump()) == "105");
  bad = good;
  bad["slot"] = 1;
  CHECK(call("POST", "/v1/announce", bad.dump()) == "101");
  CHECK(call("POST", "/v1/announce", "{") == "100");
  CHECK(call("GET", "/v1/announce") == "103");
  CHECK(call("GET", "/v1/other") == "104");
  CHECK(call("POST", "/v1/goodbye") == "0");
  CHECK(call("GET", "/healthz") == "0");
  CHECK(announced == 1);
}

// Guards against components that work in isolation but not together over real sockets.
TEST_CASE("an entry runs a request and a task through the agent's sockets") {
  asio::io_context context;
  const core::system_clock time;
  metrics::registry metrics;
  live_target target;
  std::uint64_t seq = 0;
  core::last_error error;
  wire::udp_socket entry_udp(
      context, {"127.0.0.1", 0},
      [&](const wire::endpoint&, const wire::raw_message& message) {
        seq = wire::FromRaw<wire::agent_heartbeat>(message, error)->seq;
      },
      [](result_code) {});
  network_link link(context, {"127.0.0.1", 0}, {"127.0.0.1", 0}, metrics);
  const auto http_client = http::MakeCurlClient();
  const auto via = MakeHttpTargetClient(*http_client, context);
  controller control({.worker = "worker-1",
                      .tcp = link.tcp_endpoint(),
                      .entries = {entry_udp.local()},
                      .incarnation = 9},
                     time, metrics, *via, link);
  link.Start(
      {.on_frame = [&](connection_id from,
                       const wire::raw_message& message) { control.OnFrame(from, message); },
       .on_disconnected = [&](connection_id connection) { control.OnDisconnected(connection); },
       .on_datagram = [&](const wire::endpoint& from,
                          const wire::raw_message& raw) { control.OnDatagram(from, raw); }});
  target_announcement announcement = fixture::Announcement();
  announcement.address.port = target.server.port();
  control.OnAnnounce(announcement);

  std::vector<wire::raw_message> received;
  const auto entry = wire::ConnectTcp(context, link.tcp_endpoint());
  entry->Start(
      {.on_open = {},
       .on_message = [&](wire::raw_message message) { received.push_back(std::move(message)); },
       .on_close = {}});
  entry->Send(wire::ToFrame(wire::hello{"entry-1"}));
  const auto run_until = [&](const std::function<bool()>& done) {
    const core::mono_time limit = time.Now() + std::chrono::seconds{10};
    while (!done() && time.Now() < limit) {
      context.run_one_for(std::chrono::milliseconds{20});
      control.Tick();
    }
    return done();
  };
  REQUIRE(
      run_until([&] { return seq >= 2; }));  // the second one tells that the agent has recovered
  wire::dispatch_request request;
  request.service = "strawline";
  request.deadline_ms = 5000;
  request.token = {9, seq};
  entry->Send(wire::ToFrame(request));
  REQUIRE(run_until([&] { return !received.empty(); }));
  const auto reply = wire::FromRaw<wire::request_reply>(received[0], error);
  REQUIRE(reply.has_value());
  CHECK(reply->code == result_code::ok);
  CHECK(reply->body == "answer");

  wire::start_task start;
  start.shard = 3;
  start.fence = 1;
  start.task = fixture::kTask;
  start.epoch = 1;
  start.token = {9, seq};
  entry->Send(wire::ToFrame(start));
  // The target's event may arrive before the response to the start; then no `started` event is
  // sent.
  std::optional<wire::task_event> last;
  REQUIRE(run_until([&] {
    last = wire::FromRaw<wire::task_event>(received.back(), error);
    return last && last->kind == wire::task_event_kind::finished;
  }));
  CHECK(last->result == "ok");
  entry->Close();
}

}  // namespace coltsfoot::agent
