#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http/ingress_ledger.h"

namespace coltsfoot::metrics {
class gauge;
class registry;
}  // namespace coltsfoot::metrics

namespace coltsfoot::http {

/// Counts the descriptor of a client connection until it is destroyed.
struct descriptor_release {
  void operator()(std::atomic<std::size_t>* open) const noexcept { --*open; }
};
using descriptor_hold = std::unique_ptr<std::atomic<std::size_t>, descriptor_release>;

/// Limits that all HTTP ports of a process share: an `ingress_ledger` with a lock, its metrics
/// (`coltsfoot_ingress_*`) and its log event `ingress_limited`. Thread-safe.
class ingress {
 public:
  /// @param metrics must outlive this object; null for none.
  explicit ingress(const ingress_limits& limits, metrics::registry* metrics = nullptr);
  ~ingress();
  ingress(const ingress&) = delete;
  ingress& operator=(const ingress&) = delete;

  /// @return the limits that hold, with no more connections than their bytes allow.
  const ingress_limits& limits() const noexcept { return ledger_.limits(); }

  /// Closes a connection of a port; called on any thread, without a lock held.
  using closer = std::function<void(connection_id)>;

  /// Adds a port.
  /// @return its number, which is the upper part of the ids of its connections.
  std::uint64_t AddPort(std::string name, port_class kind, closer close);
  /// After the return the closer of the port is not called any more.
  void RemovePort(std::uint64_t port);
  /// @param port the number that `AddPort` returned.
  /// @param number of the connection, unique on its port.
  /// @return the id of the connection.
  static connection_id IdOf(std::uint64_t port, std::uint64_t number) noexcept {
    return (port << kPortShift) | number;
  }

  /// A port asks before it accepts a connection. Connections that are accepted, but not opened here
  /// yet, and those that are named, but not closed yet, wait for their thread and hold descriptors
  /// meanwhile.
  /// @return false if the port must wait until some of them are opened or closed.
  bool MayAccept(std::uint64_t port);
  /// @return the hold for the descriptor of a connection that the port has accepted; this object
  /// must outlive it.
  descriptor_hold HoldDescriptor(std::uint64_t port);

  /// See `ingress_ledger`. Connections to close are closed through their ports.
  /// @return false if the new connection itself must be closed.
  bool Open(connection_id id, const std::string& address, core::mono_time now);
  void Receive(connection_id id, std::size_t bytes, core::mono_time now);
  std::optional<refusal> Complete(connection_id id, std::size_t bytes, core::mono_time now);
  void Answer(connection_id id, std::size_t bytes, core::mono_time now);
  void Finish(connection_id id, core::mono_time now);
  void Linger(connection_id id, core::mono_time now);
  void Close(connection_id id);
  /// Closes one connection of the callers' ports, for its descriptor.
  /// @return false if no connection can be closed.
  bool FreeDescriptor(core::mono_time now);
  /// Closes the connections that are past a limit on time; call it about once a second.
  void Tick(core::mono_time now);
  /// Counts a request that a port refused without asking, such as a body above the limit.
  void CountRefused(connection_id id, limit_reason reason, core::mono_time now);

 private:
  static constexpr unsigned kPortShift = 40;
  struct port;
  struct log_state;
  void Apply(std::unique_lock<std::mutex>& lock, std::vector<closure>& closures,
             core::mono_time now);
  void Count(const port& where, limit_reason reason, bool refused, core::mono_time now);
  void ShowGauges();
  std::atomic<std::size_t>& DescriptorsOf(port_class kind);

  std::array<std::atomic<std::size_t>, 2> descriptors_{};  ///< in use, by `port_class`
  std::mutex mutex_;
  ingress_ledger ledger_;
  metrics::registry* metrics_;
  metrics::gauge* connections_ = nullptr;
  metrics::gauge* held_bytes_ = nullptr;
  metrics::gauge* requests_ = nullptr;
  std::vector<std::shared_ptr<port>> ports_;
  std::optional<core::mono_time> ticked_at_;
  std::unique_ptr<log_state> log_;
};

}  // namespace coltsfoot::http
