#include "agent/network_link.h"

#include <utility>

namespace coltsfoot::agent {

network_link::network_link(asio::io_context& context, const wire::endpoint& tcp,
                           const wire::endpoint& udp, metrics::registry& metrics,
                           const wire::connection_limits& limits)
    : bytes_sent_(metrics.GetCounter("coltsfoot_agent_bytes_sent_total")),
      udp_(
          context, udp,
          [this](const wire::endpoint& from, const wire::raw_message& message) {
            handlers_.on_datagram(from, message);
          },
          [&metrics](core::result_code code) {
            metrics
                .GetCounter("coltsfoot_drops_total", {"where", "agent"},
                            {"reason", core::ToString(code)})
                .Add();
          }),
      listener_(
          context, tcp,
          [this](std::shared_ptr<wire::tcp_connection> connection) {
            Accept(std::move(connection));
          },
          limits) {}

void network_link::Start(handlers callbacks) { handlers_ = std::move(callbacks); }

void network_link::Accept(std::shared_ptr<wire::tcp_connection> connection) {
  const connection_id id = ++last_id_;
  connections_[id] = connection;
  connection->Start(
      {.on_open = {},
       .on_message = [this, id](wire::raw_message message) { handlers_.on_frame(id, message); },
       .on_close =
           [this, id](const core::error_reason&) {
             connections_.erase(id);
             handlers_.on_disconnected(id);
           }});
}

bool network_link::SendFrame(connection_id to, std::string frame) {
  const auto found = connections_.find(to);
  if (found == connections_.end()) return false;
  bytes_sent_.Add(frame.size());
  return found->second->Send(std::move(frame));
}

void network_link::SendDatagram(const wire::endpoint& to, const std::string& datagram) {
  bytes_sent_.Add(datagram.size());
  udp_.Send(to, datagram);
}

void network_link::Close(connection_id connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second->Close();
  connections_.erase(found);
}

std::size_t network_link::queued_bytes() const {
  std::size_t out = 0;
  for (const auto& [id, connection] : connections_) out += connection->queued_bytes();
  return out;
}

}  // namespace coltsfoot::agent
