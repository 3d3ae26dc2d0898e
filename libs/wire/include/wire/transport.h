#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"
#include "wire/connection_ledger.h"
#include "wire/frame.h"
#include "wire/messages.h"

namespace coltsfoot::wire {

/// Number and size of messages, headers included.
struct traffic_count {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  bool operator==(const traffic_count&) const = default;
};

/// Traffic of all sockets of this process since its start. A received TCP message is counted when
/// it is complete, a sent one when it has been passed to the kernel.
struct traffic_totals {
  traffic_count udp_received;
  traffic_count udp_sent;
  traffic_count tcp_received;
  traffic_count tcp_sent;
  bool operator==(const traffic_totals&) const = default;
};

/// @return the traffic of this process. Thread-safe.
traffic_totals ProcessTraffic();
/// @return `ProcessTraffic()` and the counts of peer connections and of those closed at a limit, in
/// the Prometheus text format.
std::string RenderTraffic();

/// Called for each datagram with the sender's endpoint.
using datagram_handler = std::function<void(const endpoint& from, raw_message message)>;
/// Called when a message was dropped; `code` says why.
using drop_handler = std::function<void(core::result_code code)>;

/// Bound UDP socket. All callbacks run on the given context.
class udp_socket {
 public:
  /// @throws std::system_error if the address cannot be bound.
  udp_socket(asio::io_context& context, const endpoint& local, datagram_handler on_message,
             drop_handler on_drop);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  /// @return the endpoint that the socket is bound to.
  endpoint local() const;
  /// Sends one datagram. Errors are ignored, because datagrams may be lost anyway. An empty
  /// datagram is not sent. Call on the context's thread.
  void Send(const endpoint& to, const std::string& datagram);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Bound UDP socket that is read only when its owner polls it, so that datagrams do not wake a
/// thread.
class polled_udp_socket {
 public:
  /// @throws std::system_error if the address cannot be bound.
  polled_udp_socket(const endpoint& local, datagram_handler on_message, drop_handler on_drop);
  ~polled_udp_socket();
  polled_udp_socket(const polled_udp_socket&) = delete;
  polled_udp_socket& operator=(const polled_udp_socket&) = delete;

  /// @return the endpoint that the socket is bound to.
  endpoint local() const;
  /// Calls the callbacks for the datagrams that have arrived.
  /// @param limit maximum number of datagrams per call; the rest stays queued for the next call.
  void Poll(std::size_t limit);
  /// As `udp_socket::Send`; call on the thread that calls `Poll`.
  void Send(const endpoint& to, const std::string& datagram);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Framed TCP connection. All callbacks run on the context's thread; all calls must be made there.
/// The memory for a received frame grows with the bytes that arrive. A frame that is not complete
/// within `connection_limits::frame_time` ends the connection with `deadline_exceeded`, a limit of
/// its listener with `connection_lost`.
class tcp_connection {
 public:
  struct handlers {
    /// Called once when an outgoing connection is established.
    std::function<void()> on_open;
    /// Called for each message.
    std::function<void(raw_message)> on_message;
    /// Called once when the connection has ended, as the last callback. `connect_failed` proves
    /// that no byte was sent.
    std::function<void(core::error_reason)> on_close;
  };

  virtual ~tcp_connection() = default;
  /// Sets the callbacks and starts the connection; call right after its creation.
  virtual void Start(handlers callbacks) = 0;
  /// Queues a frame for sending.
  /// @return false if the connection has ended or its send queue is full; nothing was queued.
  virtual bool Send(std::string frame) = 0;
  /// Closes the connection; `on_close` is not called.
  virtual void Close() = 0;
  /// As `Close`, for a peer that sent a message that cannot be decoded; it is counted.
  virtual void Reject() = 0;
  /// Tells the listener of an accepted connection whether its owner depends on the connection,
  /// which is then closed last at a limit.
  virtual void SetInUse(bool in_use) = 0;
  /// @return the number of bytes that wait to be sent.
  virtual std::size_t queued_bytes() const = 0;
};

/// Creates an outgoing connection, which connects on `Start`.
std::shared_ptr<tcp_connection> ConnectTcp(asio::io_context& context, const endpoint& to);

/// Listening TCP socket. The callback runs on the context's thread for each new connection. At a
/// limit a connection is closed that `connection_ledger` names.
class tcp_listener {
 public:
  using accept_handler = std::function<void(std::shared_ptr<tcp_connection>)>;
  /// @throws std::system_error if the address cannot be bound.
  tcp_listener(asio::io_context& context, const endpoint& local, accept_handler on_accept,
               const connection_limits& limits = DefaultConnectionLimits());
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// @return the endpoint that the socket is bound to.
  endpoint local() const;
  /// Stops accepting; existing connections stay open.
  void Close();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace coltsfoot::wire
