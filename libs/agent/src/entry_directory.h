#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/entry_link.h"
#include "core/clock.h"
#include "core/ids.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// How the fencing token of a message compares with the highest one seen for its shard.
enum class fence_order : std::uint8_t { stale, current, raised };

/// Tracks the connections of entries, the shards that they own and the UDP endpoints that receive
/// heartbeats.
class entry_directory {
 public:
  /// @param configured UDP endpoints that are never removed.
  /// @param list_lifetime time for which an entry's list stays valid after its last ack.
  entry_directory(std::vector<wire::endpoint> configured, core::milliseconds list_lifetime)
      : configured_(std::move(configured)), list_lifetime_(list_lifetime) {}

  /// Records the process at the other end of a connection.
  void Identify(connection_id connection, const std::string& process);
  void RemoveConnection(connection_id connection);
  /// @return the process at the other end, or "" if it has not sent its hello yet.
  std::string ProcessOf(connection_id connection) const;
  /// @return all connections of an entry.
  std::vector<connection_id> ConnectionsOf(const std::string& process) const;
  /// @return the newest connection of the owner of `shard`, or else the newest of any entry.
  std::optional<connection_id> ConnectionFor(core::shard_index shard) const;
  /// @return the newest connection of each entry.
  std::vector<connection_id> Connections() const;

  /// Compares `fence` with the highest one seen for `shard`, and records it and its owner if it is
  /// higher.
  /// @param owner id of the owning entry; empty if not known.
  fence_order ObserveFence(core::shard_index shard, core::fencing_token fence,
                           const std::string& owner);
  /// @return the highest fencing token seen for `shard`; 0 if none.
  core::fencing_token FenceOf(core::shard_index shard) const;

  /// Replaces the list of UDP endpoints that `entry` sent and renews its lifetime. An empty list
  /// keeps the endpoints of the previous one.
  void SetEndpoints(const std::string& entry, std::vector<wire::endpoint> list,
                    core::mono_time now);
  /// Removes expired lists.
  /// @return the UDP endpoints that receive heartbeats.
  std::set<wire::endpoint> HeartbeatReceivers(core::mono_time now);

 private:
  struct shard_owner {
    core::fencing_token fence = 0;
    std::string entry;
  };
  struct endpoint_list {
    std::vector<wire::endpoint> endpoints;
    core::mono_time expires;
  };
  std::vector<wire::endpoint> configured_;
  core::milliseconds list_lifetime_;
  std::map<connection_id, std::string> connections_;
  std::map<core::shard_index, shard_owner> shards_;
  std::map<std::string, endpoint_list> lists_;
};

}  // namespace coltsfoot::agent
