#include <doctest/doctest.h>

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "http/client.h"

namespace coltsfoot::http {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPiecePeriod{60};
constexpr std::size_t kPieceBytes = 1000;

/// Server that sends its answer in pieces, with a pause before each.
class trickling_server {
 public:
  /// @param pieces of the answer; @param sent number of them that it sends before it goes silent.
  trickling_server(std::size_t pieces, std::size_t sent)
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {
    thread_ = std::thread([this, pieces, sent] {
      asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket);
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * kPieceBytes) +
                        "\r\n\r\n");
      for (std::size_t piece = 0; piece < sent; ++piece) {
        std::this_thread::sleep_for(kPiecePeriod);
        if (!Write(socket, std::string(kPieceBytes, 'x'))) return;
      }
      // Waits until the client closes the connection.
      asio::error_code closed;
      socket.read_some(asio::buffer(request), closed);
    });
  }
  ~trickling_server() { thread_.join(); }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

 private:
  static bool Write(asio::ip::tcp::socket& socket, const std::string& text) {
    asio::error_code failure;
    asio::write(socket, asio::buffer(text), failure);
    return !failure;
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace

// Guards against cutting off an answer that takes longer than the timeout but keeps arriving.
TEST_CASE("a call with a stall timeout waits for an answer that keeps arriving") {
  trickling_server server(8, 8);
  const auto client = MakeCurlClient();
  const call_result result = CallAndWait(
      *client,
      {.url = server.Url(), .timeout = kPiecePeriod * 3, .stall_timeout = kPiecePeriod * 3});
  REQUIRE(result.answer.has_value());
  CHECK(result.answer->body.size() == 8 * kPieceBytes);
}

// Guards against waiting for ever for an answer whose sender has gone silent.
TEST_CASE("an answer that stalls is cut off, and the result tells how much had arrived") {
  trickling_server server(8, 2);
  const auto client = MakeCurlClient();
  const auto started = std::chrono::steady_clock::now();
  const call_result result = CallAndWait(
      *client,
      {.url = server.Url(), .timeout = milliseconds{5000}, .stall_timeout = kPiecePeriod * 3});
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.reason.code == core::result_code::deadline_exceeded);
  CHECK(result.received_bytes == 2 * kPieceBytes);
  CHECK(result.status == 200);
  CHECK(std::chrono::steady_clock::now() - started < milliseconds{4000});
}

// Guards against a call without an answer that is held for the stall timeout or for ever.
TEST_CASE("with a stall timeout, the timeout limits the time until the answer begins") {
  asio::io_context context;
  const asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto client = MakeCurlClient();
  const call_result result = CallAndWait(
      *client, {.url = "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port()) + "/",
                .timeout = milliseconds{100},
                .stall_timeout = milliseconds{60'000}});
  CHECK(result.reason.code == core::result_code::deadline_exceeded);
  CHECK(result.status == 0);
}

// Guards against transferring an answer that the caller cannot use over a slow link.
TEST_CASE("an answer above the body limit is cut off, and the result tells its status") {
  trickling_server server(8, 8);
  const auto client = MakeCurlClient();
  const call_result result =
      CallAndWait(*client, {.url = server.Url(), .body_limit = 2 * kPieceBytes});
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.over_limit);
  CHECK(result.status == 200);
  CHECK(result.reason.code == core::result_code::answer_truncated);
  CHECK(result.received_bytes < 8 * kPieceBytes);
}

}  // namespace coltsfoot::http
