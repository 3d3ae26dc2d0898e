#pragma once

#include <memory>
#include <set>
#include <string>

#include "wire/messages.h"

namespace coltsfoot::harness {

/// Parses "IP:PORT".
wire::endpoint ToEndpoint(const std::string& text);

/// Relay between agents and entries, and between entries, on its own thread. It rewrites the
/// endpoints in heartbeats and acks, so that all traffic between an agent and an entry passes
/// through it in both directions.
class relay {
 public:
  enum class direction : std::uint8_t { to_entry, to_agent, both };

  relay();
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  /// Adds the link of one agent and one entry.
  /// @param entry_udp the entry's real UDP endpoint.
  /// @return the UDP endpoint that the agent uses in place of the entry's.
  wire::endpoint AddLink(const std::string& agent, const std::string& entry,
                         const wire::endpoint& entry_udp);
  /// Adds the links of other entries to an entry.
  /// @param entry_tcp the entry's real TCP endpoint.
  /// @return the TCP endpoint that the other entries must use in place of the entry's.
  wire::endpoint AddEntry(const std::string& entry, const wire::endpoint& entry_tcp);
  /// Cuts all links between an entry and agents: datagrams are lost, TCP data stalls.
  void Cut(const std::string& entry, direction which);
  /// Ends all cuts of an entry; stalled TCP data is delivered.
  void Heal(const std::string& entry);
  /// Cuts all links between the given agents and entries and all others, and no other links. An
  /// empty set ends the cut; stalled TCP data is delivered.
  void Separate(std::set<std::string> region);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::harness
