#pragma once

#include <cstdint>
#include <string>

#include "wire/messages.h"

namespace coltsfoot::agent {

/// Id of an accepted TCP connection; never reused.
using connection_id = std::uint64_t;

/// Sends messages to entries.
class entry_link {
 public:
  virtual ~entry_link() = default;
  /// Queues a frame.
  /// @return false if the connection has ended or its send queue is full.
  virtual bool SendFrame(connection_id to, std::string frame) = 0;
  /// Sends a datagram without a guarantee of delivery.
  virtual void SendDatagram(const wire::endpoint& to, const std::string& datagram) = 0;
  /// Closes a connection.
  virtual void Close(connection_id connection) = 0;
};

}  // namespace coltsfoot::agent
