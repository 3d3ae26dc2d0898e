#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::http {

/// What the host grants to a process; 0 if it is not known.
struct host_limits {
  std::size_t memory_bytes = 0;
  std::size_t descriptors = 0;
  auto operator<=>(const host_limits&) const = default;
};

/// Limits of one class of ports.
struct ingress_share {
  std::size_t connections = 0;
  std::size_t held_bytes = 0;            ///< requests, unsent answers and a share per connection
  std::size_t requests_in_progress = 0;  ///< passed to the handler and not yet answered
  auto operator<=>(const ingress_share&) const = default;
};

/// Limits on what the clients of a process may make it hold.
struct ingress_limits {
  ingress_share callers;  ///< ports that anyone may call
  ingress_share reserve;  ///< ports that only machines of the platform call, such as the probe's
  std::size_t connections_per_address = 0;  ///< on callers' ports; 0: as many as overall
  core::milliseconds request_time{30'000};  ///< for a whole request, from its first byte
  core::milliseconds answer_time{30'000};   ///< for an answer whose reader takes nothing
  core::milliseconds idle_time{300'000};    ///< without a request
  core::milliseconds handle_time{600'000};  ///< for the handler to answer
  core::milliseconds linger_time{3'000};    ///< for a client to read the answer that refuses it
  auto operator<=>(const ingress_limits&) const = default;
};

/// @return the limits for a process on a host: a sixth of the memory, at most 24 MiB, and half of
/// the descriptors that the process does not need itself, at most 2,000. Unknown values count as
/// 256 MiB and 1,024 descriptors.
ingress_limits LimitsFor(host_limits host);

/// @return the default limit of requests in progress: three quarters of the connections, so that
/// callers beyond it still get a connection and a refusal.
std::size_t RequestsInProgressFor(std::size_t connections);

/// Number of a connection; unique over all ports of the process.
using connection_id = std::uint64_t;

/// Class of the port that accepted a connection. Each class has a share of its own, so that a crowd
/// on one does not keep the other from its answers.
enum class port_class : std::uint8_t { callers, reserve };

/// Why a connection was closed or a request was refused.
enum class limit_reason : std::uint8_t {
  connections,           ///< number of connections of a class of ports
  address_connections,   ///< number of connections of one address
  held_bytes,            ///< bytes of all connections of a class of ports
  requests_in_progress,  ///< complete requests that are not answered yet
  request_time,          ///< a request was not complete in time
  answer_time,           ///< the client did not read its answer
  idle_time,             ///< no request for long; not a fault of the client
  handle_time,           ///< the handler did not answer
  linger_time,           ///< a refused client did not read its answer or close in time
  descriptors,           ///< the process has no descriptor left to accept a connection
  body_too_large,        ///< the body is above the server's limit
  malformed,             ///< the request is not valid HTTP
};

/// @return the name of the reason as used in metrics and logs.
const char* ToString(limit_reason reason) noexcept;

/// A connection that its server must close now.
struct closure {
  connection_id connection;
  limit_reason reason;
  bool operator==(const closure&) const = default;
};

/// Refusal of a complete request that was not passed to the handler.
struct refusal {
  limit_reason reason;
  std::chrono::seconds retry_after;
  bool operator==(const refusal&) const = default;
};

/// Decides what clients may make a process hold, without sockets, threads or a clock of its own.
///
/// Load that it answers: many connections that stay open, unfinished requests, bodies in tiny
/// chunks, more complete requests than the process can work on, and answers that are not read.
/// Events of connections go in, connections to close and refusals come out. At a limit the
/// connection that takes most is closed and not the newest. At the limit of connections that is one
/// that was refused and lingers, then one of an address that crowds, which has more than a quarter
/// of the connections without a request in progress; then the oldest request that is unfinished for
/// a second or more, then the longest idle connection, of the address with the most connections,
/// then the oldest of those that are younger. At the limit of bytes it is the largest unfinished
/// request or unread answer, first of an address that holds more than a quarter of the bytes with
/// them. A connection whose complete request is in progress is never chosen, since its caller could
/// not know whether the request ran.
///
/// A connection that a call names is forgotten at once; later events of it are ignored.
class ingress_ledger {
 public:
  /// @param limits connections whose fixed shares exceed a fifth of the held bytes are not allowed.
  explicit ingress_ledger(const ingress_limits& limits);

  /// A connection was accepted.
  /// @param closures gets the connections to close, possibly the new one itself if all others have
  /// a request in progress.
  void Open(connection_id id, port_class port, const std::string& address, core::mono_time now,
            std::vector<closure>& closures);
  /// Bytes of an unfinished request arrived.
  /// @param bytes all bytes that the connection holds now.
  void Receive(connection_id id, std::size_t bytes, core::mono_time now,
               std::vector<closure>& closures);
  /// A request is complete.
  /// @param bytes all bytes that the connection holds now.
  /// @return nothing if the request may be passed to the handler.
  std::optional<refusal> Complete(connection_id id, std::size_t bytes, core::mono_time now,
                                  std::vector<closure>& closures);
  /// The socket does not take the rest of an answer at once, or took some more of it.
  /// @param bytes that the connection still holds.
  void Answer(connection_id id, std::size_t bytes, core::mono_time now,
              std::vector<closure>& closures);
  /// The answer was sent.
  void Finish(connection_id id, core::mono_time now);
  /// The connection was refused and stays only until its client has read the answer.
  void Linger(connection_id id, core::mono_time now);
  /// The connection ended.
  void Close(connection_id id);
  /// The process has no descriptor left: names one connection of the callers' ports to close, if
  /// any can be closed.
  void FreeDescriptor(core::mono_time now, std::vector<closure>& closures);
  /// Names the connections that are past one of the limits on time.
  void Tick(core::mono_time now, std::vector<closure>& closures);

  /// @return the number of connections.
  std::size_t connections() const noexcept { return table_.size(); }
  /// @return held bytes, with the share per connection.
  std::size_t held_bytes() const noexcept;
  /// @return the number of requests in progress.
  std::size_t requests_in_progress() const noexcept;
  const ingress_limits& limits() const noexcept { return limits_; }
  /// @return the limits of a class of ports.
  const ingress_share& ShareOf(port_class port) const noexcept;

  /// Fixed share of each connection in the held bytes: its objects and an empty table entry.
  static constexpr std::size_t kConnectionBytes = 2048;

 private:
  enum class phase : std::uint8_t { idle, receiving, in_progress, answering, lingering };
  /// What one address takes; the nodes of the map are stable.
  struct address_use {
    std::size_t connections = 0;
    std::size_t in_progress = 0;     ///< of the connections, those with a request in progress
    std::size_t pressing_bytes = 0;  ///< of unfinished requests and unread answers
  };
  using address_table = std::map<std::pair<port_class, std::string>, address_use>;
  struct connection {
    port_class port = port_class::callers;
    phase state = phase::idle;
    std::size_t bytes = 0;
    core::mono_time since;  ///< start of the phase, or the last progress of an answer
    address_table::iterator address;
  };
  struct usage {
    std::size_t connections = 0;
    std::size_t bytes = 0;
    std::size_t in_progress = 0;
    std::size_t in_progress_bytes = 0;
  };
  using connection_table = std::unordered_map<connection_id, connection>;

  static bool IsPressing(phase state) noexcept {
    return state == phase::receiving || state == phase::answering;
  }
  usage& UsageOf(port_class port) noexcept;
  void Change(connection& entry, phase state, std::size_t bytes);
  void Forget(connection_table::iterator entry);
  void Name(connection_table::iterator entry, limit_reason reason, std::vector<closure>& closures);
  bool CloseForConnections(port_class port, const address_table::const_iterator* only,
                           limit_reason reason, core::mono_time now,
                           std::vector<closure>& closures);
  void CloseForBytes(port_class port, std::vector<closure>& closures);
  std::optional<limit_reason> Overdue(const connection& entry, core::mono_time now) const;

  ingress_limits limits_;
  connection_table table_;
  address_table addresses_;
  usage callers_;
  usage reserve_;
};

}  // namespace coltsfoot::http
