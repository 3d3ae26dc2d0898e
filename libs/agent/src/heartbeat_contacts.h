#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wire/messages.h"

namespace coltsfoot::agent {

/// What each receiver of heartbeats knows of the worker, and what the agent keeps of its lists.
/// Keeps heartbeats and acks short: neither repeats what the other side has acknowledged.
class heartbeat_contacts {
 public:
  /// What an ack allows.
  enum class ack_use : std::uint8_t {
    valid,          ///< its lists are in force; the kept ones have been filled in if it names them
    unknown_lists,  ///< it names lists that the agent does not keep; its shards are not known
    send_description,  ///< the receiver waits for a described heartbeat
    ignored,           ///< it asks for a description that has been sent since
  };

  /// Starts a round of heartbeats: gives `heartbeat` the version of its description, and forgets
  /// all receivers but `receivers`.
  /// @param heartbeat described heartbeat with its number; described again to each receiver if its
  /// description has changed.
  void BeginRound(wire::agent_heartbeat& heartbeat, const std::set<wire::endpoint>& receivers);
  /// @return true if `heartbeat` has the description of the last round.
  bool HasCurrentDescription(const wire::agent_heartbeat& heartbeat) const;
  /// @return the version of the description of the last round.
  std::uint32_t description() const noexcept { return description_.description; }
  /// @return `heartbeat` as a datagram for `to`: without the description if `to` has acknowledged
  /// it.
  std::string Datagram(wire::agent_heartbeat heartbeat, const wire::endpoint& to);

  /// Applies an ack of this incarnation.
  ack_use OnAck(const wire::endpoint& from, wire::heartbeat_ack& ack);

 private:
  struct contact {
    bool knows_description = false;
    std::uint64_t described_seq = 0;  ///< newest heartbeat with the description
    wire::heartbeat_ack kept_ack;     ///< newest ack with lists to keep; `lists` is 0 without one
  };

  std::map<wire::endpoint, contact> contacts_;
  wire::agent_heartbeat description_;  ///< only the fields of the description are set
  std::uint64_t described_since_ = 0;  ///< first heartbeat with this description
};

}  // namespace coltsfoot::agent
