#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/clock.h"

namespace coltsfoot::harness {

/// What a proxy does with the bytes of one direction.
enum class proxy_mode : std::uint8_t {
  pass,
  delay,  ///< bytes arrive later
  hold,   ///< bytes stay in the proxy, in order, until the mode changes; nothing is reset
};

/// Loopback TCP proxy with its own thread, between two programs under test.
class tcp_proxy {
 public:
  /// @param target "IP:PORT" to which connections are forwarded.
  explicit tcp_proxy(const std::string& target);
  ~tcp_proxy();
  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;

  /// @return "127.0.0.1:PORT" on which the proxy listens.
  std::string address() const;
  /// Forwards new connections to another target.
  void SetTarget(const std::string& target);
  /// @param to_target for bytes towards the target; @param to_client for the others.
  void SetModes(proxy_mode to_target, proxy_mode to_client,
                core::milliseconds delay = core::milliseconds{0});
  /// Resets all open connections; new ones work.
  void ResetAll();
  /// Stops forwarding on the connections that are open now, for good; new ones work.
  void SilenceOpen();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::harness
