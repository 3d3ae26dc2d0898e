#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/result_code.h"
#include "http/ingress.h"
#include "http/message.h"

namespace coltsfoot::http {

/// Sends the answer to one request. May be called from any thread, once; later calls, and calls
/// after the end of the server, are ignored.
using responder = std::function<void(response)>;

/// Handles one request on a traffic thread. It must not block; it answers through `responder`,
/// immediately or later.
using request_handler = std::function<void(request, responder)>;

/// Options of a server.
struct server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0 lets the kernel choose
  std::size_t threads = 1;
  std::size_t body_limit = 1U << 20U;  ///< bytes; a larger body is answered with `body_too_large`
  /// Called on a traffic thread for each request that the server itself refuses; may be empty.
  std::function<void(core::result_code)> on_refused;
  /// Limits that this server shares with the other ports of the process; null: its own, with
  /// `LimitsFor` an unknown host.
  std::shared_ptr<ingress> limits;
  std::string port_name = "http";              ///< in metrics and logs of the limits
  port_class port_kind = port_class::callers;  ///< whose share of the limits it uses
};

/// HTTP/1.1 server with its own traffic threads. Requests of one connection are handled one after
/// the other. docs/design/ingress-limits.md describes what clients may make it hold.
class server {
 public:
  /// Starts listening.
  /// @throws std::exception if the address cannot be bound.
  server(server_options options, request_handler handler);
  /// Closes all connections immediately, without waiting for requests in progress.
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// @return the port that the server listens on.
  std::uint16_t port() const noexcept;

  /// Closes each connection after its next answer, for a graceful shutdown during which the owner
  /// continues to answer requests.
  void BeginClose();
  /// Stops accepting connections; requests in progress can still be answered.
  void StopAccepting();
  /// @return true if no request is in progress.
  bool idle() const;

  /// Stops accepting connections, waits until each request in progress has been answered, then
  /// closes the connections and joins the threads.
  /// @param limit maximum time to wait for the answers.
  void ShutDown(std::chrono::milliseconds limit);

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace coltsfoot::http
