#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wire/messages.h"

namespace coltsfoot::agent {

/// Tracks for each receiver of heartbeats whether it knows the worker's description, and caches the
/// lists of its acks. Shortens heartbeats and acks: neither repeats what the other side has
/// acknowledged.
class heartbeat_contacts {
 public:
  /// How the content of an ack may be used.
  enum class ack_use : std::uint8_t {
    valid,          ///< its lists are valid; cached ones have been filled in if it refers to them
    unknown_lists,  ///< it refers to lists that are not cached; its shards are not known
    send_description,  ///< the receiver needs a heartbeat with the description
    ignored,           ///< it asks for a description that was already sent
  };

  /// Starts a round of heartbeats: sets the description version of `heartbeat` and drops the state
  /// of endpoints that are not in `receivers`.
  /// @param heartbeat heartbeat with description and sequence number. If its description has
  /// changed, it is sent to each receiver again.
  void BeginRound(wire::agent_heartbeat& heartbeat, const std::set<wire::endpoint>& receivers);
  /// @return true if the description in `heartbeat` equals that of the last round.
  bool HasCurrentDescription(const wire::agent_heartbeat& heartbeat) const;
  /// @return the description version of the last round.
  std::uint32_t description() const noexcept { return description_.description; }
  /// @return `heartbeat` encoded for `to`, without the description if `to` has acknowledged it.
  std::string Datagram(wire::agent_heartbeat heartbeat, const wire::endpoint& to);

  /// Processes an ack for this incarnation, and fills in cached lists that it refers to.
  ack_use OnAck(const wire::endpoint& from, wire::heartbeat_ack& ack);

 private:
  struct contact {
    bool knows_description = false;
    std::uint64_t described_seq = 0;  ///< number of the newest heartbeat with the description
    wire::heartbeat_ack kept_ack;     ///< newest ack with lists to cache; `lists` is 0 if none
  };

  std::map<wire::endpoint, contact> contacts_;
  wire::agent_heartbeat description_;  ///< only the fields of the description are set
  std::uint64_t described_since_ = 0;  ///< number of the first heartbeat with this description
};

}  // namespace coltsfoot::agent
