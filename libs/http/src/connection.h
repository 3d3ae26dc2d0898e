#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/ingress.h"
#include "http/message.h"
#include "http/server.h"
#include "request_parser.h"

namespace coltsfoot::http {

/// What the connections of one traffic thread need of their server.
struct connection_context {
  /// Size of the buffer into which all connections of a traffic thread read in turn, so that an
  /// idle connection needs none of its own.
  static constexpr std::size_t kScratchBytes = std::size_t{16} << 10U;

  const server_options* options = nullptr;
  ingress* limits = nullptr;
  const std::atomic<bool>* closing = nullptr;
  std::array<char, kScratchBytes> scratch{};
  /// Passes a request to the handler of the server. The answer returns through
  /// `connection::Answer` with the same number of the request.
  std::function<void(connection_id, std::uint64_t, request)> deliver;
  /// A request that was delivered has been answered, or its connection was closed.
  std::function<void()> on_answered;
  /// The connection ended.
  std::function<void(connection_id)> on_closed;
};

/// One client connection: reads requests, hands them on one after the other and writes the answers.
/// All members are used on the traffic thread that the connection belongs to.
class connection : public std::enable_shared_from_this<connection> {
 public:
  using socket = boost::asio::ip::tcp::socket;

  /// Kernel buffer for input that is not read, in bytes. Hosts count what it holds as memory of the
  /// process, and it fills while an answer is not read.
  static constexpr int kReceiveBufferBytes = 16 << 10;

  /// @param context must outlive all handlers of the connection.
  /// @param hold of the descriptor of `peer`.
  connection(connection_context& context, socket peer, descriptor_hold hold, connection_id id);

  /// Starts reading.
  void Start();
  /// Sends the answer to a request; ignored unless that request waits for it.
  void Answer(std::uint64_t request_number, response answer);
  /// Closes the socket.
  void Close();

 private:
  enum class phase : std::uint8_t { reading, handling, answering, lingering, closed };

  void WaitForInput();
  void OnInput();
  void Parse(std::string_view input);
  void Deliver(std::size_t following_bytes);
  void Refuse(limit_reason reason, response answer, core::result_code code);
  void Send(response answer);
  void Write();
  void OnWritten();
  void Linger();
  void Drain();
  void ReportInput();
  void SendContinue();
  std::size_t HeldBytes() const noexcept;

  connection_context& context_;
  socket socket_;
  descriptor_hold hold_;
  const connection_id id_;
  phase phase_ = phase::reading;
  bool parsing_ = false;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool linger_ = false;     ///< the answer refuses a request that was not read to its end
  bool delivered_ = false;  ///< the handler has a request that is not answered yet
  std::uint64_t request_number_ = 0;
  std::size_t reported_bytes_ = 0;
  std::size_t drained_bytes_ = 0;
  std::size_t written_bytes_ = 0;
  std::unique_ptr<request_parser> parser_;  ///< of an unfinished request
  std::string rest_;                        ///< bytes that arrived and are not parsed yet
  std::string answer_header_;
  std::string answer_body_;
};

}  // namespace coltsfoot::http
