#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "metrics/registry.h"

namespace coltsfoot::http {
namespace {

/// @return the number of open sockets of this process that are bound to the port of `target`.
std::size_t AcceptedSockets(const server& target) {
  std::size_t out = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
    sockaddr_in local{};
    socklen_t size = sizeof local;
    const int descriptor = std::stoi(entry.path().filename());
    const bool bound = getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) == 0;
    if (bound && local.sin_family == AF_INET && ntohs(local.sin_port) == target.port()) ++out;
  }
  return out;
}

/// A connection that sends any bytes.
class raw_client {
 public:
  explicit raw_client(const server& target) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), target.port()});
  }

  /// @return false if the server has closed the connection.
  bool Send(std::string_view text) {
    asio::error_code failure;
    asio::write(socket_, asio::buffer(text.data(), text.size()), failure);
    return !failure;
  }

  /// @return the next answer as it was received; what came before the end if the connection ended.
  std::string ReadAnswer() {
    asio::error_code failure;
    const std::size_t header =
        asio::read_until(socket_, asio::dynamic_buffer(text_), "\r\n\r\n", failure);
    if (failure) return std::exchange(text_, {});
    const std::string_view length = "Content-Length: ";
    const std::size_t at = text_.find(length);
    const std::size_t body = at < header ? std::stoul(text_.substr(at + length.size())) : 0;
    while (!failure && text_.size() < header + body) {
      asio::read(socket_, asio::dynamic_buffer(text_),
                 asio::transfer_exactly(header + body - text_.size()), failure);
    }
    std::string out = text_.substr(0, header + body);
    text_.erase(0, out.size());
    return out;
  }

  /// Reads until the server closes the connection.
  std::string ReadToEnd() {
    asio::error_code failure;
    asio::read(socket_, asio::dynamic_buffer(text_), failure);
    return std::exchange(text_, {});
  }

  asio::ip::tcp::socket& socket() { return socket_; }

 private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_{context_};
  std::string text_;
};

request_handler Echo() {
  return [](request received, const responder& respond) {
    respond({200, {}, received.method + " " + received.body});
  };
}

std::string Post(std::string_view body) {
  return "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string InChunks(std::string_view body, std::size_t size) {
  std::string out;
  for (; !body.empty(); body.remove_prefix(std::min(size, body.size()))) {
    const std::string_view piece = body.substr(0, size);
    out += (piece.size() < 10 ? std::to_string(piece.size()) : "a") + "\r\n";
    out.append(piece).append("\r\n");
  }
  return out + "0\r\n\r\n";
}

constexpr std::string_view kChunkedHeader =
    "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

// Guards against a body that is read, or asked for, although its header shows that it is too large.
TEST_CASE("an announced body above the limit is refused before it is sent") {
  server target({.body_limit = 1000}, Echo());
  raw_client client(target);
  REQUIRE(client.Send("POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1001\r\n\r\n"));
  const std::string answer = client.ReadToEnd();
  CHECK(answer.starts_with("HTTP/1.1 413 "));
  CHECK(Contains(answer, "X-Result-Code: 102\r\n"));
  CHECK(Contains(answer, "X-Not-Run: true\r\n"));
  CHECK(Contains(answer, R"("not_run":true)"));
  CHECK(Contains(answer, "Connection: close\r\n"));
}

// Guards against an answer that is lost because the connection is reset while the client sends.
TEST_CASE("a client that sends its whole body first can still read why it was refused") {
  server target({.body_limit = 1000}, Echo());
  const std::string body(std::size_t{3} << 20U, 'x');
  raw_client announced(target);
  announced.Send(Post(body));
  CHECK(announced.ReadAnswer().starts_with("HTTP/1.1 413 "));
  raw_client chunked(target);
  chunked.Send(kChunkedHeader);
  chunked.Send(InChunks(body.substr(0, 100'000), 4));
  CHECK(chunked.ReadAnswer().starts_with("HTTP/1.1 413 "));
}

// Guards against requests inside the limits that fail because of how they arrive.
TEST_CASE("requests pass in single bytes, in chunks of one byte and after an expectation") {
  server target({.body_limit = 1000}, Echo());
  raw_client client(target);
  const std::string body(1000, 'b');
  for (const char symbol : Post(body)) REQUIRE(client.Send(std::string_view(&symbol, 1)));
  CHECK(client.ReadAnswer().ends_with("\r\n\r\nPOST " + body));
  REQUIRE(client.Send(kChunkedHeader));
  REQUIRE(client.Send(InChunks(body, 1)));
  CHECK(client.ReadAnswer().ends_with("\r\n\r\nPOST " + body));
  REQUIRE(client.Send("POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"));
  CHECK(client.ReadAnswer() == "HTTP/1.1 100 Continue\r\n\r\n");
  REQUIRE(client.Send("late"));
  CHECK(client.ReadAnswer().ends_with("\r\n\r\nPOST late"));
}

// Guards against answers in another order than the requests of a connection.
TEST_CASE("pipelined requests are answered one after the other") {
  std::mutex mutex;
  std::vector<std::thread> answering;
  std::atomic<int> in_progress{0};
  std::atomic<int> most{0};
  {
    server target({.threads = 2}, [&](request received, responder respond) {
      most = std::max<int>(most, ++in_progress);
      const std::lock_guard lock(mutex);
      answering.emplace_back([&in_progress, respond = std::move(respond), body = received.body] {
        --in_progress;
        respond({200, {}, body});
      });
    });
    raw_client client(target);
    std::string all;
    for (int index = 0; index < 300; ++index) all += Post("n" + std::to_string(index));
    REQUIRE(client.Send(all));
    for (int index = 0; index < 300; ++index) {
      CHECK(client.ReadAnswer().ends_with("\r\n\r\nn" + std::to_string(index)));
    }
    CHECK(most == 1);
  }
  for (std::thread& thread : answering) thread.join();
}

// Guards against requests whose end two servers see at different places, and against malformed ones
// that take memory or reach the handler.
TEST_CASE("ambiguous and malformed requests are refused and the connection is closed") {
  std::atomic<int> handled{0};
  server target({}, [&](const request&, const responder& respond) {
    ++handled;
    respond({});
  });
  const std::string both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  const std::string swapped = "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n";
  std::vector<std::string> cases{
      "POST / HTTP/1.1\r\n" + both,
      "POST / HTTP/1.1\r\n" + swapped,
      "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
      "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "PLEASE / HTTP/1.1\r\n\r\n",
      "GET /" + std::string(9000, 'u') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(60'000, 'v'),
      std::string(kChunkedHeader) + "4;e=" + std::string(60'000, 'w'),
      std::string(kChunkedHeader) + "0\r\nX: " + std::string(60'000, 't')};
  std::string fields = "GET / HTTP/1.1\r\n";
  for (int index = 0; index < 101; ++index) fields += "X" + std::to_string(index) + ": 1\r\n";
  cases.push_back(fields + "\r\n");
  std::string parameters = "GET /?";
  for (int index = 0; index < 101; ++index) parameters += "x" + std::to_string(index) + "&";
  cases.push_back(parameters + " HTTP/1.1\r\n\r\n");
  for (const std::string& text : cases) {
    CAPTURE(text.substr(0, 60));
    raw_client client(target);
    client.Send(text);
    CHECK(client.ReadToEnd().starts_with("HTTP/1.1 400 "));
  }
  CHECK(handled == 0);
}

// Guards against memory that grows with a crowd of unfinished bodies, and against ordinary callers
// that get no answer meanwhile.
TEST_CASE("a crowd of unfinished bodies is limited and ordinary callers are answered") {
  metrics::registry metrics;
  ingress_limits limits = LimitsFor({});
  limits.callers = {.connections = 60, .held_bytes = 1U << 20U, .requests_in_progress = 100};
  server target({.limits = std::make_shared<ingress>(limits, &metrics)}, Echo());
  const auto client = MakeCurlClient();
  const std::string part = InChunks(std::string(60'000, 'c'), 4);
  std::vector<std::unique_ptr<raw_client>> crowd;
  for (int index = 0; index < 100; ++index) {
    crowd.push_back(std::make_unique<raw_client>(target));
    crowd.back()->Send(kChunkedHeader);
    crowd.back()->Send(part.substr(0, part.size() - 5));
    const auto result =
        CallAndWait(*client, {.method = "POST",
                              .url = "http://127.0.0.1:" + std::to_string(target.port()) + "/",
                              .body = "ordinary"});
    REQUIRE(result.answer.has_value());
    CHECK(result.answer->body == "POST ordinary");
    CHECK(metrics.GetGauge("coltsfoot_ingress_held_bytes").value() <= (1 << 20));
    CHECK(metrics.GetGauge("coltsfoot_ingress_connections").value() <= 60);
  }
  CHECK(Contains(metrics.Render(),
                 R"(coltsfoot_ingress_limited_total{port="http",reason="held_bytes"})"));
}

// Guards against requests and answers without end, and against kept connections that end with them.
TEST_CASE("an unfinished request and an unread answer end with their time") {
  ingress_limits limits = LimitsFor({});
  limits.request_time = core::milliseconds{50};
  limits.answer_time = core::milliseconds{50};
  server target({.limits = std::make_shared<ingress>(limits)},
                [](const request& received, const responder& respond) {
                  const std::size_t size = received.method == "GET" ? std::size_t{8} << 20U : 1;
                  respond({200, {}, std::string(size, 'a')});
                });
  raw_client kept(target);
  kept.Send(Post("1"));
  CHECK(kept.ReadAnswer().starts_with("HTTP/1.1 200 "));
  raw_client half(target);
  half.Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nab");
  CHECK(half.ReadToEnd().empty());
  raw_client slow(target);
  slow.socket().set_option(asio::socket_base::receive_buffer_size(4096));
  slow.Send("GET / HTTP/1.1\r\n\r\n");
  raw_client probe(target);
  probe.Send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nab");
  CHECK(probe.ReadToEnd().empty());
  while (!target.idle()) std::this_thread::sleep_for(core::milliseconds{10});
  kept.Send(Post("2"));
  CHECK(kept.ReadAnswer().starts_with("HTTP/1.1 200 "));
  CHECK(slow.ReadToEnd().size() < (std::size_t{8} << 20U));
}

// Guards against a refusal of a request that was run, and against one that does not say when to
// come back.
TEST_CASE("a request above the limit in progress is refused and was never run") {
  ingress_limits limits = LimitsFor({});
  limits.callers.requests_in_progress = 1;
  std::promise<responder> first;
  std::atomic<int> handled{0};
  core::result_code refused = core::result_code::ok;
  server target({.on_refused = [&](core::result_code code) { refused = code; },
                 .limits = std::make_shared<ingress>(limits)},
                [&](const request&, responder respond) {
                  if (++handled == 1) {
                    first.set_value(std::move(respond));
                  } else {
                    respond({});
                  }
                });
  raw_client holder(target);
  holder.Send(Post("1"));
  const responder respond = first.get_future().get();
  raw_client other(target);
  other.Send(Post("2"));
  const std::string answer = other.ReadAnswer();
  CHECK(answer.starts_with("HTTP/1.1 503 "));
  CHECK(Contains(answer, "Retry-After: 1\r\n"));
  CHECK(Contains(answer, "X-Not-Run: true\r\n"));
  CHECK(Contains(answer, R"("name":"overloaded")"));
  CHECK(handled == 1);
  respond({200, {}, "done"});
  CHECK(holder.ReadAnswer().ends_with("done"));
  // The refused client stays connected and is served once there is room.
  other.Send(Post("3"));
  CHECK(other.ReadAnswer().starts_with("HTTP/1.1 200 "));
  CHECK(refused == core::result_code::overloaded);
}

// Guards against descriptors that run out, because connections are accepted faster than the thread
// that is to open them takes them over.
TEST_CASE("no more connections are accepted than the limit allows while a thread is busy") {
  constexpr std::size_t kConnections = 16;
  constexpr std::size_t kClients = 100;
  ingress_limits limits = LimitsFor({});
  limits.callers.connections = kConnections;
  std::promise<void> busy;
  std::promise<void> released;
  std::atomic<int> handled{0};
  server target({.threads = 2, .limits = std::make_shared<ingress>(limits)},
                [&](const request&, const responder& respond) {
                  if (++handled == 1) {
                    busy.set_value();
                    released.get_future().wait();
                  }
                  respond({});
                });
  raw_client first(target);
  first.Send(Post("1"));
  busy.get_future().wait();
  std::vector<std::unique_ptr<raw_client>> crowd;
  while (crowd.size() < kClients) crowd.push_back(std::make_unique<raw_client>(target));
  std::size_t most = 0;
  for (int sample = 0; sample < 50; ++sample) {
    most = std::max(most, AcceptedSockets(target));
    std::this_thread::sleep_for(core::milliseconds{10});
  }
  CHECK(most < 2 * kConnections);
  released.set_value();
  CHECK(first.ReadAnswer().starts_with("HTTP/1.1 200 "));
  raw_client ordinary(target);
  ordinary.Send(Post("2"));
  CHECK(ordinary.ReadAnswer().starts_with("HTTP/1.1 200 "));
}

// Guards against HTTP/1.0 clients that wait for the end of a connection that is kept open.
TEST_CASE("the connection is kept or closed as the version and the headers ask") {
  server target({}, Echo());
  raw_client old(target);
  old.Send("GET / HTTP/1.0\r\n\r\n");
  CHECK(Contains(old.ReadToEnd(), "Connection: close\r\n"));
  raw_client kept(target);
  kept.Send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  CHECK(Contains(kept.ReadAnswer(), "Connection: keep-alive\r\n"));
  kept.Send("\r\nGET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(kept.ReadToEnd().ends_with("GET "));
}

// Guards against requests that are lost while a process drains, and against new connections that
// are accepted then.
TEST_CASE("after StopAccepting open connections are answered, also a body that is still arriving") {
  server target({.threads = 2}, Echo());
  raw_client open(target);
  open.Send(Post("1"));
  CHECK(open.ReadAnswer().ends_with("POST 1"));
  raw_client arriving(target);
  arriving.Send("POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  CHECK(arriving.ReadAnswer() == "HTTP/1.1 100 Continue\r\n\r\n");
  arriving.Send("la");
  target.StopAccepting();
  const auto client = MakeCurlClient();
  const call fresh{.method = "GET",
                   .url = "http://127.0.0.1:" + std::to_string(target.port()) + "/"};
  // The traffic thread closes the listening socket soon after the call has returned.
  while (CallAndWait(*client, fresh).answer) std::this_thread::sleep_for(core::milliseconds{1});
  arriving.Send("te");
  const std::string late = arriving.ReadToEnd();
  CHECK(Contains(late, "Connection: close\r\n"));
  CHECK(late.ends_with("POST late"));
  open.Send(Post("2"));
  CHECK(open.ReadToEnd().ends_with("POST 2"));
  CHECK(target.idle());
}

// Guards against responders that use a server that has ended, and against a shared ledger that
// still counts its connections.
TEST_CASE("answers after the end of a server are ignored, and its connections are not counted") {
  const auto limits = std::make_shared<ingress>(LimitsFor({}));
  std::vector<std::promise<responder>> received(4);
  std::atomic<std::size_t> handled{0};
  std::vector<responder> kept;
  {
    server target({.threads = 2, .limits = limits}, [&](const request&, responder respond) {
      received[handled++].set_value(std::move(respond));
    });
    std::vector<std::unique_ptr<raw_client>> clients;
    for (auto& each : received) {
      clients.push_back(std::make_unique<raw_client>(target));
      clients.back()->Send(Post("x"));
      kept.push_back(each.get_future().get());
    }
    CHECK_FALSE(target.idle());
    target.ShutDown(core::milliseconds{1});
    CHECK(target.idle());
    kept.front()({});
  }
  for (const responder& respond : kept) respond({});
  // Fails if the ledger still counts a connection.
  CHECK_FALSE(limits->FreeDescriptor(std::chrono::steady_clock::now()));
}

}  // namespace coltsfoot::http
