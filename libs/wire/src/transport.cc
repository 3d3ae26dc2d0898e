#include "wire/transport.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <utility>

#include "endpoints.h"
#include "peer_counts.h"
#include "traffic_counters.h"

namespace coltsfoot::wire {
namespace {

using asio::ip::udp;

constexpr std::size_t kReceiveBufferBytes = 2048;
constexpr int kUdpSocketBufferBytes = 1 << 20;

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
  return messages + bytes + RenderPeerCounts();
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

}  // namespace coltsfoot::wire
