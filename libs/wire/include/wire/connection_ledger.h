#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace coltsfoot::wire {

/// Limits on the accepted connections of one listener. Connections, bytes and times that processes
/// of one deployment need stay below the defaults: only entries dial, up to 60 of them, and send
/// frames of up to `kMaxFrameBytes`.
struct connection_limits {
  /// Few enough that full receive buffers of the kernel take a quarter of a host of 128 MB.
  std::size_t connections = 256;
  /// Bytes of unfinished received frames and of unsent frames of all connections together.
  std::size_t bytes = 32U << 20U;
  /// Bytes that wait to be sent on one connection.
  std::size_t unsent_bytes = 8U << 20U;
  /// Time from the first byte of a received frame to its last.
  core::milliseconds frame_time{30'000};

  auto operator<=>(const connection_limits&) const = default;
};

/// @return the default limits, with at most a quarter of the descriptors that this process may
/// open and does not need itself, so that a crowd of peers leaves the others to HTTP and to
/// connections of this process.
connection_limits DefaultConnectionLimits();

/// Why a peer connection was closed or refused.
enum class limit_reason : std::uint8_t {
  connections,  ///< number of connections of a listener
  bytes,        ///< bytes of all connections of a listener
  unsent,       ///< unsent bytes of one connection
  frame_time,   ///< a frame was not complete in time
  protocol,     ///< the peer broke the protocol
  descriptors,  ///< the process has no descriptor left to accept a connection
};
inline constexpr std::size_t kLimitReasons = 6;

/// @return the name of `reason` in metrics and logs.
std::string_view ToString(limit_reason reason);

/// Decides which accepted connection of a listener is closed at a limit. Has neither sockets nor a
/// clock. A connection that it names is no longer counted; events of it are ignored.
class connection_ledger {
 public:
  using connection_id = std::uint64_t;

  explicit connection_ledger(const connection_limits& limits) : limits_(limits) {}

  /// Adds a connection.
  /// @return the connection to close, if there are too many: the one that has been silent longest
  /// among those without a complete valid frame, otherwise among all that are not in use. Bytes of
  /// an unfinished frame do not end the silence. Never the new one unless it is the only one.
  std::optional<connection_id> OnAccepted(connection_id connection, core::mono_time now);
  /// A connection holds `bytes` for an unfinished frame, that is the allocated size.
  /// @return the connection to close, if all hold too many bytes: the one that holds most and is
  /// not in use, among equals the one whose frame began first.
  std::optional<connection_id> OnUnfinished(connection_id connection, std::size_t bytes,
                                            core::mono_time now);
  /// `bytes` wait to be sent on a connection. @return as `OnUnfinished`.
  std::optional<connection_id> OnUnsent(connection_id connection, std::size_t bytes);
  /// A frame is complete; the connection holds nothing more of it.
  void OnFrame(connection_id connection, core::mono_time now);
  /// @return the connection to close when the process has no descriptor left: the longest silent
  /// one without a complete valid frame. Connections with one are kept, since other sockets than
  /// those of this listener may hold the descriptors.
  std::optional<connection_id> OnDescriptorsExhausted();
  /// A connection in use is closed at a limit only if all are in use.
  void SetInUse(connection_id connection, bool in_use);
  void OnClosed(connection_id connection);

  std::size_t connections() const noexcept { return connections_.size(); }
  /// @return bytes of unfinished and of unsent frames.
  std::size_t bytes() const noexcept { return bytes_; }

 private:
  struct state {
    core::mono_time heard_at;  ///< end of the last complete frame, otherwise accepted
    core::mono_time frame_began_at;
    std::size_t unfinished = 0;
    std::size_t unsent = 0;
    bool has_spoken = false;
    bool in_use = false;
  };
  using table = std::map<connection_id, state>;

  void SetBytes(std::size_t& field, std::size_t bytes);
  std::optional<connection_id> LimitBytes();
  std::optional<connection_id> Remove(table::iterator victim);

  connection_limits limits_;
  table connections_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfoot::wire
