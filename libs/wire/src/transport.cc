#include "wire/transport.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <deque>
#include <utility>

namespace coltsfoot::wire {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

// Limit of a send queue, so that a slow peer cannot fill the sender's memory. Send fails above it,
// and its caller closes the connection, drops the message or sends it again later.
constexpr std::size_t kMaxQueuedBytes = 8U << 20U;
constexpr std::size_t kReceiveBufferBytes = 2048;
constexpr int kUdpSocketBufferBytes = 1 << 20;

/// Counters behind `traffic_totals`; atomic because sockets of several threads update them.
struct traffic_counters {
  std::atomic<std::uint64_t> messages{0};
  std::atomic<std::uint64_t> bytes{0};

  void Add(std::size_t size) noexcept {
    messages.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(size, std::memory_order_relaxed);
  }
  traffic_count Read() const noexcept {
    return {messages.load(std::memory_order_relaxed), bytes.load(std::memory_order_relaxed)};
  }
};

traffic_counters udp_received;
traffic_counters udp_sent;
traffic_counters tcp_received;
traffic_counters tcp_sent;

template <class Protocol>
typename Protocol::endpoint ToAsio(const endpoint& value) {
  return {asio::ip::make_address(value.ip), value.port};
}

template <class AsioEndpoint>
endpoint FromAsio(const AsioEndpoint& value) {
  return {value.address().to_string(), value.port()};
}

void SetReceiveBuffer(udp::socket& socket) {
  asio::error_code ignored;
  socket.set_option(udp::socket::receive_buffer_size(kUdpSocketBufferBytes), ignored);
}

void SendDatagram(udp::socket& socket, const endpoint& to, const std::string& datagram) {
  if (datagram.empty()) return;
  asio::error_code failure;
  const auto address = asio::ip::make_address(to.ip, failure);
  if (failure) return;
  socket.send_to(asio::buffer(datagram), {address, to.port}, 0, failure);
  if (!failure) udp_sent.Add(datagram.size());
}

void HandleDatagram(std::string_view bytes, const udp::endpoint& sender,
                    const datagram_handler& on_message, const drop_handler& on_drop) {
  udp_received.Add(bytes.size());
  core::last_error error;
  auto message = ParseDatagram(bytes, error);
  if (!message) {
    on_drop(error.reason().code);
    return;
  }
  on_message(FromAsio(sender), std::move(*message));
}

}  // namespace

traffic_totals ProcessTraffic() {
  return {udp_received.Read(), udp_sent.Read(), tcp_received.Read(), tcp_sent.Read()};
}

std::string RenderTraffic() {
  const traffic_totals now = ProcessTraffic();
  std::string messages = "# TYPE coltsfoot_wire_messages_total counter\n";
  std::string bytes = "# TYPE coltsfoot_wire_bytes_total counter\n";
  const auto add = [&](std::string_view protocol, std::string_view direction,
                       const traffic_count& count) {
    const std::string labels = "{protocol=\"" + std::string(protocol) + "\",direction=\"" +
                               std::string(direction) + "\"} ";
    messages += "coltsfoot_wire_messages_total" + labels + std::to_string(count.messages) + "\n";
    bytes += "coltsfoot_wire_bytes_total" + labels + std::to_string(count.bytes) + "\n";
  };
  add("udp", "received", now.udp_received);
  add("udp", "sent", now.udp_sent);
  add("tcp", "received", now.tcp_received);
  add("tcp", "sent", now.tcp_sent);
  return messages + bytes;
}

struct udp_socket::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context, const endpoint& local, datagram_handler on_message,
        drop_handler on_drop)
      : socket(context, ToAsio<udp>(local)),
        message_handler(std::move(on_message)),
        dropped_handler(std::move(on_drop)) {
    SetReceiveBuffer(socket);
  }

  void Receive() {
    socket.async_receive_from(
        asio::buffer(buffer), sender,
        [self = shared_from_this()](asio::error_code failure, std::size_t size) {
          if (failure == asio::error::operation_aborted) return;
          if (self->closed) return;
          if (!failure) {
            HandleDatagram({self->buffer.data(), size}, self->sender, self->message_handler,
                           self->dropped_handler);
          }
          self->Receive();
        });
  }

  udp::socket socket;
  udp::endpoint sender;
  std::array<char, kReceiveBufferBytes> buffer{};
  datagram_handler message_handler;
  drop_handler dropped_handler;
  bool closed = false;
};

udp_socket::udp_socket(asio::io_context& context, const endpoint& local,
                       datagram_handler on_message, drop_handler on_drop)
    : state_(std::make_shared<state>(context, local, std::move(on_message), std::move(on_drop))) {
  state_->Receive();
}

udp_socket::~udp_socket() {
  state_->closed = true;
  asio::error_code ignored;
  state_->socket.close(ignored);
}

endpoint udp_socket::local() const { return FromAsio(state_->socket.local_endpoint()); }

void udp_socket::Send(const endpoint& to, const std::string& datagram) {
  SendDatagram(state_->socket, to, datagram);
}

struct polled_udp_socket::state {
  state(const endpoint& local, datagram_handler on_message, drop_handler on_drop)
      : socket(context, ToAsio<udp>(local)),
        message_handler(std::move(on_message)),
        dropped_handler(std::move(on_drop)) {
    SetReceiveBuffer(socket);
    socket.non_blocking(true);
  }

  asio::io_context context;  ///< never run, since it would wake up for each datagram
  udp::socket socket;
  std::array<char, kReceiveBufferBytes> buffer{};
  datagram_handler message_handler;
  drop_handler dropped_handler;
};

polled_udp_socket::polled_udp_socket(const endpoint& local, datagram_handler on_message,
                                     drop_handler on_drop)
    : state_(std::make_unique<state>(local, std::move(on_message), std::move(on_drop))) {}

polled_udp_socket::~polled_udp_socket() = default;

endpoint polled_udp_socket::local() const { return FromAsio(state_->socket.local_endpoint()); }

void polled_udp_socket::Poll(std::size_t limit) {
  udp::endpoint sender;
  for (std::size_t count = 0; count < limit; ++count) {
    asio::error_code failure;
    const std::size_t size =
        state_->socket.receive_from(asio::buffer(state_->buffer), sender, 0, failure);
    if (failure == asio::error::would_block) return;
    // Other errors belong to datagrams sent before, for example to a closed port.
    if (failure) continue;
    HandleDatagram({state_->buffer.data(), size}, sender, state_->message_handler,
                   state_->dropped_handler);
  }
}

void polled_udp_socket::Send(const endpoint& to, const std::string& datagram) {
  SendDatagram(state_->socket, to, datagram);
}

namespace {

class framed_connection final : public tcp_connection,
                                public std::enable_shared_from_this<framed_connection> {
 public:
  explicit framed_connection(tcp::socket socket) : socket_(std::move(socket)), connected_(true) {
    SetNoDelay();
  }
  framed_connection(asio::io_context& context, endpoint to)
      : socket_(context), remote_(std::move(to)) {}

  void Start(handlers callbacks) override {
    handlers_ = std::move(callbacks);
    if (connected_) {
      ReadHeader();
    } else {
      Connect();
    }
  }

  bool Send(std::string frame) override {
    if (closed_ || queued_bytes_ + frame.size() > kMaxQueuedBytes) return false;
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (connected_ && !writing_) WriteNext();
    return true;
  }

  void Close() override {
    if (closed_) return;
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    // The handlers may own the connection; break the cycle after they have returned.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
  }

  std::size_t queued_bytes() const override { return queued_bytes_; }

 private:
  void SetNoDelay() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void Connect() {
    asio::error_code failure;
    const auto address = asio::ip::make_address(remote_.ip, failure);
    if (failure) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->Fail(core::result_code::connect_failed, "invalid address");
      });
      return;
    }
    socket_.async_connect({address, remote_.port},
                          [self = shared_from_this()](asio::error_code result) {
                            if (self->closed_) return;
                            if (result) {
                              self->Fail(core::result_code::connect_failed, result.message());
                              return;
                            }
                            self->OnConnected();
                          });
  }

  void OnConnected() {
    connected_ = true;
    SetNoDelay();
    if (handlers_.on_open) handlers_.on_open();
    if (closed_) return;
    ReadHeader();
    if (!queue_.empty() && !writing_) WriteNext();
  }

  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](asio::error_code failure, std::size_t) {
                       self->OnHeader(failure);
                     });
  }

  void OnHeader(asio::error_code failure) {
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    core::last_error error;
    const auto header = ParseFrameHeader({header_.data(), header_.size()}, error);
    if (!header) {
      Fail(error.reason().code, error.reason().message);
      return;
    }
    message_ = {header->type, std::string(header->payload_bytes, '\0')};
    asio::async_read(socket_, asio::buffer(message_.payload),
                     [self = shared_from_this()](asio::error_code result, std::size_t) {
                       self->OnPayload(result);
                     });
  }

  void OnPayload(asio::error_code failure) {
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    tcp_received.Add(kFrameHeaderBytes + message_.payload.size());
    if (handlers_.on_message) handlers_.on_message(std::move(message_));
    if (!closed_) ReadHeader();
  }

  void WriteNext() {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(queue_.front()),
                      [self = shared_from_this()](asio::error_code failure, std::size_t) {
                        self->OnWritten(failure);
                      });
  }

  void OnWritten(asio::error_code failure) {
    writing_ = false;
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    tcp_sent.Add(queue_.front().size());
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    if (!queue_.empty()) WriteNext();
  }

  void Fail(core::result_code code, std::string message) {
    if (closed_) return;
    const auto on_close = handlers_.on_close;
    Close();
    if (on_close) on_close({code, std::move(message)});
  }

  tcp::socket socket_;
  endpoint remote_;
  handlers handlers_;
  std::array<char, kFrameHeaderBytes> header_{};
  raw_message message_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool connected_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

}  // namespace

std::shared_ptr<tcp_connection> ConnectTcp(asio::io_context& context, const endpoint& to) {
  return std::make_shared<framed_connection>(context, to);
}

struct tcp_listener::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context, const endpoint& local, accept_handler on_accept)
      : acceptor(context, ToAsio<tcp>(local)), accepted_handler(std::move(on_accept)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](asio::error_code failure, tcp::socket socket) {
          if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) return;
          if (!failure) {
            self->accepted_handler(std::make_shared<framed_connection>(std::move(socket)));
          }
          self->Accept();
        });
  }

  tcp::acceptor acceptor;
  accept_handler accepted_handler;
};

tcp_listener::tcp_listener(asio::io_context& context, const endpoint& local,
                           accept_handler on_accept)
    : state_(std::make_shared<state>(context, local, std::move(on_accept))) {
  state_->Accept();
}

tcp_listener::~tcp_listener() { Close(); }

endpoint tcp_listener::local() const { return FromAsio(state_->acceptor.local_endpoint()); }

void tcp_listener::Close() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
}

}  // namespace coltsfoot::wire
