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

/// Answers the first request on a kept-alive connection and closes the connection after it has read
/// the second. Counts the requests that it reads on all connections.
class disconnecting_server {
 public:
  /// @param stops_listening whether it also stops listening, as when the server process dies.
  explicit disconnecting_server(bool stops_listening)
      : stops_listening_(stops_listening), thread_([this] { Run(); }) {}
  ~disconnecting_server() { thread_.join(); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }
  /// Waits until the connection is closed and, unless the server stops listening, for a resend.
  /// @return the number of requests read.
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
      if (stops_listening_) acceptor_.close();
    }
    if (!stops_listening_) WaitForResend();
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

  void WaitForResend() {
    asio::ip::tcp::socket resend_socket(context_);
    acceptor_.async_accept(resend_socket, [&](asio::error_code failure) {
      if (!failure) Read(resend_socket);
    });
    context_.run_for(std::chrono::milliseconds{500});
    acceptor_.close();
    context_.restart();
    context_.run();
  }

  static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  bool stops_listening_;
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

// Guards against key-value keys that are altered by URL encoding between client and server.
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

// Guards against an oversized body that the caller cannot tell from a server failure.
TEST_CASE("an oversized body is answered with its result code") {
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

// Guards against requests that arrive while an entry shuts down and are never answered, because the
// code that answers them ends before the server (scenario cbha-recup trouble-2).
TEST_CASE("a server that stopped accepting connections still answers received requests") {
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

// Guards against a graceful shutdown that drops a request in progress.
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

// Guards against a crash when the server is destroyed before a request is answered, for example a
// pending watch.
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

// Guards against a non-idempotent request that runs twice: libcurl resends a request if a
// kept-alive connection is closed without an answer.
TEST_CASE("an at-most-once call is not resent when the connection is closed") {
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
  // The client opens two connections, whether or not it resends the request.
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

// Guards against "not run" for a request that the server read before it died: when a reused
// connection breaks, libcurl connects again and then reports that it could not connect.
TEST_CASE("a request that was sent on a reused connection never fails with connect_failed") {
  disconnecting_server target(true);
  const auto client = MakeCurlClient();
  const std::string url = target.Url();
  CHECK(CallAndWait(*client, Post(url)).answer.has_value());
  const auto result = CallAndWait(*client, Post(url));
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.reason.code == core::result_code::connection_lost);
  CHECK(target.requests() == 2);
}

// Guards against a non-idempotent request that runs a second time without a retry by the caller.
TEST_CASE("a request is not resent when a reused connection breaks") {
  disconnecting_server target(false);
  const auto client = MakeCurlClient();
  const std::string url = target.Url();
  CHECK(CallAndWait(*client, Post(url)).answer.has_value());
  const auto result = CallAndWait(*client, Post(url));
  CHECK(result.reason.code == core::result_code::connection_lost);
  CHECK(target.requests() == 2);
}

}  // namespace coltsfoot::http
