#include <doctest/doctest.h>

#include <array>
#include <asio.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"

namespace coltsfoot::http {
namespace {

std::string UrlOf(const server& target, std::string_view path) {
  return "http://127.0.0.1:" + std::to_string(target.port()) + std::string(path);
}

/// Answers the first request on a kept-alive connection, and breaks the connection when it has read
/// the second. Counts the requests it reads, on all connections.
class breaking_server {
 public:
  /// @param goes_away whether it also stops to listen, as a process that dies does.
  explicit breaking_server(bool goes_away) : goes_away_(goes_away), thread_([this] { Run(); }) {}
  ~breaking_server() { thread_.join(); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }
  /// Waits until the connection is broken and, unless the server goes away, for a repetition.
  int requests() {
    done_.get_future().wait();
    return requests_;
  }

 private:
  void Run() {
    {
      asio::ip::tcp::socket socket = acceptor_.accept();
      Read(socket);
      asio::write(socket, asio::buffer(kAnswer.data(), kAnswer.size()));
      Read(socket);
      if (goes_away_) acceptor_.close();
    }
    if (!goes_away_) WaitForRepetition();
    done_.set_value();
  }

  void Read(asio::ip::tcp::socket& socket) {
    std::array<char, 1024> buffer{};
    std::string text;
    asio::error_code failure;
    while (!failure && !text.ends_with("body")) {
      const std::size_t count = socket.read_some(asio::buffer(buffer), failure);
      text.append(buffer.data(), count);
    }
    if (!failure) ++requests_;
  }

  void WaitForRepetition() {
    asio::ip::tcp::socket again(context_);
    acceptor_.async_accept(again, [&](asio::error_code failure) {
      if (!failure) Read(again);
    });
    context_.run_for(std::chrono::milliseconds{500});
    acceptor_.close();
    context_.restart();
    context_.run();
  }

  static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  bool goes_away_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<int> requests_{0};
  std::promise<void> done_;
  std::thread thread_;
};

call Post(const std::string& url) { return {.method = "POST", .url = url, .body = "body"}; }

}  // namespace

// Guards against lost query parameters, headers or bodies between client and server.
TEST_CASE("client and server exchange a request and its answer") {
  server echo({}, [](request received, responder respond) {
    respond({201,
             {{"X-Seen", received.FindHeader("x-token").value_or("")}},
             received.method + received.path + received.FindParameter("a b").value_or("?") +
                 received.body});
  });
  const auto client = MakeCurlClient();
  const call_result result =
      CallAndWait(*client, {.method = "PUT",
                            .url = UrlOf(echo, "/kv/x?" + UrlEncode("a b") + "=1%2F2"),
                            .headers = {{"X-Token", "t"}},
                            .body = "body"});
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->status == 201);
  CHECK(result.answer->body == "PUT/kv/x1/2body");
  CHECK(result.answer->FindHeader("x-seen") == "t");
}

// Guards against keys of the key-value service that differ from those that were sent.
TEST_CASE("an encoded path arrives decoded") {
  server echo({}, [](request received, responder respond) { respond({200, {}, received.path}); });
  const auto client = MakeCurlClient();
  const auto result =
      CallAndWait(*client, {.url = UrlOf(echo, "/kv/" + UrlEncode("log/3/000000000001"))});
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->body == "/kv/log/3/000000000001");
  const auto broken = CallAndWait(*client, {.url = UrlOf(echo, "/kv/%zz")});
  REQUIRE(broken.answer.has_value());
  CHECK(broken.answer->body == "/kv/%zz");
}

// Guards against a caller that cannot tell an oversized body from a fault.
TEST_CASE("an oversized body gets a numbered error") {
  std::promise<core::result_code> refused;
  server target(
      {.body_limit = 10, .on_refused = [&](core::result_code code) { refused.set_value(code); }},
      [](request, responder respond) { respond({}); });
  const auto client = MakeCurlClient();
  const auto result = CallAndWait(
      *client, {.method = "POST", .url = UrlOf(target, "/"), .body = std::string(100, 'x')});
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->status == 413);
  CHECK(result.answer->FindHeader("X-Result-Code") == "102");
  CHECK(refused.get_future().get() == core::result_code::body_too_large);
}

// Bench, cbha-recup trouble-2: requests that arrived while an entry was shutting down were never
// answered, because what answers them had ended before the server.
TEST_CASE("a server that accepts no more can still answer what it received") {
  std::promise<responder> received;
  server target({}, [&](request, responder respond) { received.set_value(std::move(respond)); });
  CHECK(target.idle());
  const auto client = MakeCurlClient();
  std::promise<call_result> answered;
  client->Send({.url = UrlOf(target, "/")},
               [&](call_result result) { answered.set_value(std::move(result)); });
  responder respond = received.get_future().get();
  target.BeginClose();
  target.StopAccepting();
  CHECK_FALSE(target.idle());
  respond({200, {}, "late"});
  const call_result result = answered.get_future().get();
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->body == "late");
  CHECK(result.answer->FindHeader("Connection") == "close");
}

// Guards against a planned stop that cuts off a request in progress.
TEST_CASE("a graceful shutdown answers the request in progress") {
  std::promise<responder> received;
  server target({}, [&](request, responder respond) { received.set_value(std::move(respond)); });
  const auto client = MakeCurlClient();
  std::promise<call_result> answered;
  client->Send({.url = UrlOf(target, "/")},
               [&](call_result result) { answered.set_value(std::move(result)); });
  responder respond = received.get_future().get();
  std::thread stopper([&] { target.ShutDown(std::chrono::seconds{10}); });
  respond({200, {}, "late"});
  stopper.join();
  const call_result result = answered.get_future().get();
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->body == "late");
}

// Guards against a crash when a request is still unanswered at the end of the server, for example a
// waiting watch.
TEST_CASE("a responder may outlive its server") {
  std::promise<responder> received;
  auto target = std::make_unique<server>(
      server_options{}, [&](request, responder respond) { received.set_value(respond); });
  const auto client = MakeCurlClient();
  std::promise<call_result> ended;
  client->Send({.url = UrlOf(*target, "/")},
               [&](call_result result) { ended.set_value(std::move(result)); });
  const responder respond = received.get_future().get();
  target.reset();
  respond({});
  CHECK_FALSE(ended.get_future().get().answer.has_value());
}

// Guards against a refused connection that is reported as an unknown outcome.
TEST_CASE("a call to a closed port fails with connect_failed") {
  std::uint16_t port = 0;
  {
    server closed({}, [](request, responder respond) { respond({}); });
    port = closed.port();
  }
  const auto client = MakeCurlClient();
  const auto result =
      CallAndWait(*client, {.url = "http://127.0.0.1:" + std::to_string(port) + "/"});
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.reason.code == core::result_code::connect_failed);
}

// Guards against a non-idempotent request that runs twice: libcurl sends a request again if a
// kept-alive connection is closed without an answer.
TEST_CASE("an at-most-once call is not sent again when the connection is closed") {
  std::atomic<int> received{0};
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t port = acceptor.local_endpoint().port();
  // Answers the first request and closes the connection of each other one without an answer.
  const auto serve = [&received](asio::ip::tcp::socket peer) {
    asio::error_code failure;
    std::string text;
    while (asio::read_until(peer, asio::dynamic_buffer(text), "\r\n\r\n", failure) != 0) {
      text.clear();
      if (++received != 1) return;
      asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    }
  };
  // With and without a repetition the client opens two connections.
  std::vector<std::thread> servers;
  servers.reserve(2);
  for (int connection = 0; connection < 2; ++connection) {
    servers.emplace_back([&] { serve(acceptor.accept()); });
  }
  auto client = MakeCurlClient();
  const call request{.method = "POST",
                     .url = "http://127.0.0.1:" + std::to_string(port) + "/",
                     .at_most_once = true};
  CHECK(CallAndWait(*client, request).answer.has_value());
  CHECK(CallAndWait(*client, request).reason.code == core::result_code::connection_lost);
  CHECK(received == 2);
  client.reset();
  for (auto& thread : servers) thread.join();
}

// Guards against "not run" for a request that the server had read before it died: libcurl tries a
// reused connection again, and then reports that it could not connect.
TEST_CASE("a request that was sent on a reused connection never fails with connect_failed") {
  breaking_server target(true);
  const auto client = MakeCurlClient();
  const std::string url = target.Url();
  CHECK(CallAndWait(*client, Post(url)).answer.has_value());
  const auto result = CallAndWait(*client, Post(url));
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.reason.code == core::result_code::connection_lost);
  CHECK(target.requests() == 2);
}

// Guards against a second run of a non-idempotent request that nobody asked for.
TEST_CASE("a request is not sent again when a reused connection breaks") {
  breaking_server target(false);
  const auto client = MakeCurlClient();
  const std::string url = target.Url();
  CHECK(CallAndWait(*client, Post(url)).answer.has_value());
  const auto result = CallAndWait(*client, Post(url));
  CHECK(result.reason.code == core::result_code::connection_lost);
  CHECK(target.requests() == 2);
}

}  // namespace coltsfoot::http
