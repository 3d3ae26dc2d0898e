#include <doctest/doctest.h>

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http/client.h"

namespace coltsfoot::http {
namespace {

using std::chrono::milliseconds;

/// Server whose open connections can go silent: it reads from them and answers nothing, without a
/// reset. It keeps new connections open as well.
class silencing_server {
 public:
  /// @param together number of requests that are answered at the same time at the beginning, so
  /// that the client opens as many connections.
  explicit silencing_server(std::size_t together) : together_(together) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~silencing_server() {
    context_.stop();
    thread_.join();
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }
  void SilenceOpenConnections() {
    Run([this] {
      for (connection& each : connections_) each.silent = each.socket.is_open();
      return connections_.size();
    });
  }
  /// @return the number of requests that arrived on silent connections.
  std::size_t unanswered() {
    return Run([this] { return unanswered_; });
  }
  std::size_t connection_count() {
    return Run([this] { return connections_.size(); });
  }

 private:
  struct connection {
    explicit connection(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    std::string received;
    bool silent = false;
  };

  /// Runs `function` on the server's thread.
  std::size_t Run(std::function<std::size_t()> function) {
    return asio::post(context_, asio::use_future(std::move(function))).get();
  }

  void Accept() {
    connection& next = connections_.emplace_back(context_);
    acceptor_.async_accept(next.socket, [this, &next](asio::error_code failure) {
      if (failure) return;
      Read(next);
      Accept();
    });
  }

  void Read(connection& from) {
    asio::async_read_until(from.socket, asio::dynamic_buffer(from.received), "\r\n\r\n",
                           [this, &from](asio::error_code failure, std::size_t) {
                             if (failure) return;
                             from.received.clear();
                             OnRequest(from);
                             Read(from);
                           });
  }

  void OnRequest(connection& from) {
    if (from.silent) {
      ++unanswered_;
      return;
    }
    waiting_.push_back(&from);
    if (waiting_.size() < together_) return;
    together_ = 1;
    for (connection* each : waiting_) {
      asio::write(each->socket, asio::buffer(kAnswer.data(), kAnswer.size()));
    }
    waiting_.clear();
  }

  static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::size_t together_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  std::list<connection> connections_;
  std::vector<connection*> waiting_;
  std::size_t unanswered_ = 0;
  std::thread thread_;
};

/// Makes `count` calls at the same time and waits for their results.
void CallTogether(client& via, const call& request, std::size_t count) {
  std::vector<std::future<call_result>> results;
  for (std::size_t index = 0; index < count; ++index) {
    auto promise = std::make_shared<std::promise<call_result>>();
    results.push_back(promise->get_future());
    via.Send(request, [promise](call_result result) { promise->set_value(std::move(result)); });
  }
  for (auto& result : results) CHECK(result.get().answer.has_value());
}

}  // namespace

// Guards against one timeout for each idle connection when all of them have gone silent.
TEST_CASE("after a timeout on a reused connection no other idle one to that server is used") {
  silencing_server silent(4);
  silencing_server other(2);
  const auto client = MakeCurlClient();
  const call request{.url = silent.Url(), .timeout = milliseconds{5000}};
  CallTogether(*client, request, 4);
  CallTogether(*client, {.url = other.Url()}, 2);
  silent.SilenceOpenConnections();
  call hasty = request;
  hasty.timeout = milliseconds{100};
  CHECK(CallAndWait(*client, hasty).reason.code == core::result_code::deadline_exceeded);
  CHECK(CallAndWait(*client, request).answer.has_value());
  CHECK(CallAndWait(*client, request).answer.has_value());
  CHECK(silent.unanswered() == 1);
  // Each server has one connection more that it waits to accept.
  CHECK(silent.connection_count() == 4 + 1 + 1);
  CHECK(CallAndWait(*client, {.url = other.Url()}).answer.has_value());
  CHECK(other.connection_count() == 2 + 1);
}

// Guards against calls that end with their connections, or new ones that are discarded again.
TEST_CASE("timeouts of calls made together discard the idle connections once") {
  silencing_server target(6);
  const auto client = MakeCurlClient();
  const call request{.url = target.Url(), .timeout = milliseconds{5000}};
  CallTogether(*client, request, 6);
  target.SilenceOpenConnections();
  std::vector<std::future<call_result>> results;
  for (const int timeout_ms : {100, 300}) {
    auto promise = std::make_shared<std::promise<call_result>>();
    results.push_back(promise->get_future());
    client->Send({.url = target.Url(), .timeout = milliseconds{timeout_ms}},
                 [promise](call_result result) { promise->set_value(std::move(result)); });
  }
  CHECK(results[0].get().reason.code == core::result_code::deadline_exceeded);
  CHECK(CallAndWait(*client, request).answer.has_value());
  CHECK(results[1].get().reason.code == core::result_code::deadline_exceeded);
  CHECK(CallAndWait(*client, request).answer.has_value());
  CHECK(target.unanswered() == 2);
  CHECK(target.connection_count() == 6 + 1 + 1);
}

}  // namespace coltsfoot::http
