#include <doctest/doctest.h>

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http/client.h"

namespace coltsfoot::http {
namespace {

/// Server that sends `opening` and then `piece` again and again on each connection, until the
/// client closes it.
class endless_server {
 public:
  /// @param limit bytes to send on each connection; it then stays open and silent.
  endless_server(std::string opening, std::string piece, std::size_t limit)
      : opening_(std::move(opening)),
        piece_(std::move(piece)),
        limit_(limit),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~endless_server() {
    context_.stop();
    thread_.join();
  }
  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

 private:
  struct connection {
    explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::string request;
    std::size_t sent = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](asio::error_code failure, asio::ip::tcp::socket socket) {
      if (failure) return;
      const auto to = std::make_shared<connection>(std::move(socket));
      asio::async_read_until(to->socket, asio::dynamic_buffer(to->request), "\r\n\r\n",
                             [this, to](asio::error_code, std::size_t) { Send(to, opening_); });
      Accept();
    });
  }
  void Send(const std::shared_ptr<connection>& to, const std::string& text) {
    asio::async_write(to->socket, asio::buffer(text),
                      [this, to](asio::error_code failure, std::size_t size) {
                        to->sent += size;
                        if (!failure && to->sent < limit_) Send(to, piece_);
                        if (!failure && to->sent >= limit_) open_.push_back(to);
                      });
  }

  std::string opening_;
  std::string piece_;
  std::size_t limit_;
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<connection>> open_;
  std::thread thread_;
};

constexpr std::size_t kEndless = static_cast<std::size_t>(-1);
constexpr std::chrono::milliseconds kNeverReached{60'000};

constexpr std::string_view kChunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

call_result Call(const endless_server& server, std::size_t body_limit = 0) {
  const auto client = MakeCurlClient();
  return CallAndWait(*client,
                     {.url = server.Url(), .timeout = kNeverReached, .body_limit = body_limit});
}

}  // namespace

// Guards against an answer without a limit from its caller that fills the memory.
TEST_CASE("an endless body is cut off at the default limit") {
  const endless_server server("HTTP/1.1 200 OK\r\n\r\n", std::string(100'000, 'x'), kEndless);
  const call_result result = Call(server);
  CHECK(result.reason.code == core::result_code::answer_truncated);
  CHECK(result.over_limit);
  CHECK(result.received_bytes > kDefaultBodyLimitBytes);
  CHECK(result.received_bytes < kDefaultBodyLimitBytes + 1'000'000);
}

// Guards against a body that passes the limit in pieces too small to notice.
TEST_CASE("an endless body of chunks with one byte each is cut off") {
  std::string chunks;
  for (int i = 0; i < 10'000; ++i) chunks += "1\r\nx\r\n";
  const endless_server server(std::string(kChunkedHeader), chunks, kEndless);
  const call_result result = Call(server, 100'000);
  CHECK(result.reason.code == core::result_code::answer_truncated);
  CHECK(result.over_limit);
}

// Guards against header lines that fill the memory: of the answer, of interim answers and after the
// body.
TEST_CASE("endless header lines are cut off, wherever they are") {
  const std::string lines = "X-Line: " + std::string(1000, 'x') + "\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const auto& server :
       {std::make_unique<endless_server>(status, lines, kEndless),
        std::make_unique<endless_server>(interim, interim, kEndless),
        std::make_unique<endless_server>(std::string(kChunkedHeader) + "0\r\n", lines, kEndless)}) {
    const call_result result = Call(*server);
    CHECK_FALSE(result.answer.has_value());
    CHECK_FALSE(result.over_limit);
    CHECK(result.received_bytes == 0);
  }
}

// The load: answers that are each within the limit of a call, and stay unfinished. Guards against
// more memory than the budget, and against cutting off a small answer in place of a large one.
TEST_CASE("the largest of the unfinished answers is cut off when all exceed the budget") {
  constexpr std::size_t kCalls = 12;
  constexpr std::size_t kEach = kDefaultBodyLimitBytes - 200'000;
  const endless_server large("HTTP/1.1 200 OK\r\n\r\n", std::string(100'000, 'x'), kEach);
  const endless_server small(std::string(kChunkedHeader), "1\r\nx\r\n", 1000);
  // Memory grows in steps, so the budget holds at most 4 of the answers.
  constexpr std::size_t kCutOff = kCalls - kAnswerBudgetBytes / kEach;
  std::promise<void> all_cut_off;
  std::atomic<std::size_t> ended{0};
  std::atomic<bool> small_ended{false};
  const auto client = MakeCurlClient();
  client->Send({.url = small.Url(), .timeout = kNeverReached},
               [&](const call_result&) { small_ended = true; });
  for (std::size_t i = 0; i < kCalls; ++i) {
    client->Send({.url = large.Url(), .timeout = kNeverReached}, [&](const call_result& result) {
      CHECK_FALSE(result.answer.has_value());
      CHECK_FALSE(result.over_limit);
      if (++ended == kCutOff) all_cut_off.set_value();
    });
  }
  REQUIRE(all_cut_off.get_future().wait_for(kNeverReached) == std::future_status::ready);
  CHECK_FALSE(small_ended);
}

// The load: answers that are complete, and exceed the budget together. Guards against an answer
// that was cut off after its last byte and is delivered as a whole one without a body.
TEST_CASE("an answer within the budget is delivered whole or not at all") {
  constexpr std::size_t kCalls = 48;
  constexpr std::size_t kEach = 2'000'000;
  const endless_server server(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kEach) + "\r\n\r\n",
      std::string(kEach, 'x'), kEach);
  std::promise<void> all_ended;
  std::atomic<std::size_t> ended{0};
  std::atomic<std::size_t> whole{0};
  std::atomic<std::size_t> in_part{0};
  const auto client = MakeCurlClient();
  for (std::size_t i = 0; i < kCalls; ++i) {
    client->Send({.url = server.Url(), .timeout = kNeverReached}, [&](const call_result& result) {
      if (result.answer) ++(result.answer->body.size() == kEach ? whole : in_part);
      if (++ended == kCalls) all_ended.set_value();
    });
  }
  REQUIRE(all_ended.get_future().wait_for(kNeverReached) == std::future_status::ready);
  CHECK(whole > 0);
  CHECK(in_part == 0);
}

}  // namespace coltsfoot::http
