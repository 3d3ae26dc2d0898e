#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "http/message.h"
#include "http/server.h"

namespace coltsfoot::review {

/// HTTP/1.1 server with a thread for each connection and the socket buffers of the system, so that
/// large answers take no longer than the network needs. `http::server` is made for small ones.
class web_server {
 public:
  /// Starts listening on a loopback port that the kernel chooses.
  explicit web_server(http::request_handler handler);
  /// Closes all connections.
  ~web_server();
  web_server(const web_server&) = delete;
  web_server& operator=(const web_server&) = delete;

  std::uint16_t port() const noexcept;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::review
