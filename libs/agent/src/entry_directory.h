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

/// How a message's fence compares with the highest one seen of its shard.
enum class fence_order : std::uint8_t { stale, current, raised };

/// What the agent knows about entries: their connections, the shards that they own and the UDP
/// endpoints that get heartbeats.
class entry_directory {
 public:
  /// @param configured UDP endpoints that are never forgotten.
  /// @param list_lifetime how long the list that an entry sent stays in force after its last ack.
  entry_directory(std::vector<wire::endpoint> configured, core::milliseconds list_lifetime)
      : configured_(std::move(configured)), list_lifetime_(list_lifetime) {}

  /// Records the process at the other end of a connection.
  void Identify(connection_id connection, const std::string& process);
  void RemoveConnection(connection_id connection);
  /// @return the process at the other end, or "" before its hello.
  std::string ProcessOf(connection_id connection) const;
  /// @return all connections of an entry.
  std::vector<connection_id> ConnectionsOf(const std::string& process) const;
  /// @return the newest connection of the owner of `shard`, else of any entry.
  std::optional<connection_id> ConnectionFor(core::shard_index shard) const;
  /// @return the newest connection of each entry.
  std::vector<connection_id> Connections() const;

  /// Compares `fence` with the highest one seen of `shard`, and remembers it and its owner if it
  /// is higher.
  /// @param owner id of the owning entry; empty if not known.
  fence_order ObserveFence(core::shard_index shard, core::fencing_token fence,
                           const std::string& owner);
  /// @return the highest fence seen of `shard`; 0 if none.
  core::fencing_token FenceOf(core::shard_index shard) const;

  /// Replaces the list of UDP endpoints that `entry` sent; an empty list keeps the last one.
  void SetEndpoints(const std::string& entry, std::vector<wire::endpoint> list,
                    core::mono_time now);
  /// @return the UDP endpoints that get heartbeats.
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
