#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "agent/entry_link.h"
#include "metrics/registry.h"
#include "wire/transport.h"

namespace coltsfoot::agent {

/// Network connections to entries: a TCP listener and a UDP socket for heartbeats. All calls and
/// callbacks run on the context's thread.
class network_link final : public entry_link {
 public:
  struct handlers {
    std::function<void(connection_id, const wire::raw_message&)> on_frame;
    std::function<void(connection_id)> on_disconnected;
    std::function<void(const wire::endpoint& from, const wire::raw_message&)> on_datagram;
  };

  /// @throws std::system_error if an address cannot be bound.
  network_link(asio::io_context& context, const wire::endpoint& tcp, const wire::endpoint& udp,
               metrics::registry& metrics,
               const wire::connection_limits& limits = wire::DefaultConnectionLimits());
  /// Sets the callbacks; call before the context runs.
  void Start(handlers callbacks);

  bool SendFrame(connection_id to, std::string frame) override;
  void SendDatagram(const wire::endpoint& to, const std::string& datagram) override;
  void Close(connection_id connection) override;

  wire::endpoint tcp_endpoint() const { return listener_.local(); }
  wire::endpoint udp_endpoint() const { return udp_.local(); }
  /// @return the number of unsent bytes in the send queues of all connections.
  std::size_t queued_bytes() const;

 private:
  void Accept(std::shared_ptr<wire::tcp_connection> connection);

  handlers handlers_;
  std::map<connection_id, std::shared_ptr<wire::tcp_connection>> connections_;
  connection_id last_id_ = 0;
  metrics::counter& bytes_sent_;
  wire::udp_socket udp_;
  wire::tcp_listener listener_;
};

}  // namespace coltsfoot::agent
