#include "entry_directory.h"

namespace coltsfoot::agent {
namespace {

/// Largest shard count that the settings of an entry allow. What is recorded of a shard stays for
/// the life of the process.
constexpr core::shard_index kMaxShards = 256;

}  // namespace

void entry_directory::Identify(connection_id connection, const std::string& process) {
  connections_[connection] = process;
}

void entry_directory::RemoveConnection(connection_id connection) { connections_.erase(connection); }

std::string entry_directory::ProcessOf(connection_id connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? "" : found->second;
}

std::vector<connection_id> entry_directory::ConnectionsOf(const std::string& process) const {
  std::vector<connection_id> out;
  for (const auto& [connection, other] : connections_) {
    if (other == process) out.push_back(connection);
  }
  return out;
}

std::optional<connection_id> entry_directory::ConnectionFor(core::shard_index shard) const {
  if (connections_.empty()) return std::nullopt;
  const auto owner = shards_.find(shard);
  if (owner != shards_.end()) {
    for (auto item = connections_.rbegin(); item != connections_.rend(); ++item) {
      if (item->second == owner->second.entry) return item->first;
    }
  }
  return connections_.rbegin()->first;
}

std::vector<connection_id> entry_directory::Connections() const {
  std::map<std::string, connection_id> newest;
  for (const auto& [connection, process] : connections_) newest[process] = connection;
  std::vector<connection_id> out;
  out.reserve(newest.size());
  for (const auto& [process, connection] : newest) out.push_back(connection);
  return out;
}

fence_order entry_directory::ObserveFence(core::shard_index shard, core::fencing_token fence,
                                          const std::string& owner) {
  if (shard >= kMaxShards) return fence_order::stale;
  shard_owner& known = shards_[shard];
  if (fence < known.fence) return fence_order::stale;
  const bool raised = fence > known.fence;
  if (raised || known.entry.empty()) known = {fence, owner};
  return raised ? fence_order::raised : fence_order::current;
}

core::fencing_token entry_directory::FenceOf(core::shard_index shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? 0 : found->second.fence;
}

void entry_directory::SetEndpoints(const std::string& entry, std::vector<wire::endpoint> list,
                                   core::mono_time now) {
  endpoint_list& known = lists_[entry];
  known.expires = now + list_lifetime_;
  // An entry that cannot read the key-value service may send an empty list. Dropping the other
  // entries because of it would stop the renewal of their leases.
  if (!list.empty()) known.endpoints = std::move(list);
}

std::set<wire::endpoint> entry_directory::HeartbeatReceivers(core::mono_time now) {
  std::set<wire::endpoint> out(configured_.begin(), configured_.end());
  std::erase_if(lists_, [now](const auto& item) { return item.second.expires <= now; });
  for (const auto& [entry, list] : lists_) out.insert(list.endpoints.begin(), list.endpoints.end());
  return out;
}

}  // namespace coltsfoot::agent
