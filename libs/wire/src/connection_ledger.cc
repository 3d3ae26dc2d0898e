#include "wire/connection_ledger.h"

#include <algorithm>
#include <tuple>

#include "core/open_files.h"

namespace coltsfoot::wire {
namespace {

constexpr std::size_t kDescriptorShare = 4;
constexpr std::size_t kMinConnections = 16;

}  // namespace

connection_limits DefaultConnectionLimits() {
  connection_limits out;
  const std::size_t descriptors = core::OpenFileLimit();
  if (descriptors == 0) return out;
  const std::size_t share = core::DescriptorsForConnections(descriptors) / kDescriptorShare;
  out.connections = std::clamp(share, kMinConnections, out.connections);
  return out;
}

std::string_view ToString(limit_reason reason) {
  switch (reason) {
    case limit_reason::connections:
      return "connections";
    case limit_reason::bytes:
      return "bytes";
    case limit_reason::unsent:
      return "unsent";
    case limit_reason::frame_time:
      return "frame_time";
    case limit_reason::protocol:
      return "protocol";
    case limit_reason::descriptors:
      return "descriptors";
  }
  return "";
}

std::optional<connection_ledger::connection_id> connection_ledger::OnAccepted(
    connection_id connection, core::mono_time now) {
  connections_.insert_or_assign(connection, state{.heard_at = now, .frame_began_at = now});
  if (connections_.size() <= limits_.connections) return std::nullopt;
  const auto rank = [connection](const table::value_type& each) {
    const auto& [id, known] = each;
    return std::tuple(id == connection, known.in_use, known.has_spoken, known.heard_at, id);
  };
  return Remove(std::min_element(
      connections_.begin(), connections_.end(),
      [&](const auto& left, const auto& right) { return rank(left) < rank(right); }));
}

std::optional<connection_ledger::connection_id> connection_ledger::OnUnfinished(
    connection_id connection, std::size_t bytes, core::mono_time now) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) return std::nullopt;
  if (place->second.unfinished == 0) place->second.frame_began_at = now;
  SetBytes(place->second.unfinished, bytes);
  return LimitBytes();
}

std::optional<connection_ledger::connection_id> connection_ledger::OnUnsent(
    connection_id connection, std::size_t bytes) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) return std::nullopt;
  SetBytes(place->second.unsent, bytes);
  return LimitBytes();
}

void connection_ledger::OnFrame(connection_id connection, core::mono_time now) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) return;
  SetBytes(place->second.unfinished, 0);
  place->second.heard_at = now;
  place->second.has_spoken = true;
}

std::optional<connection_ledger::connection_id> connection_ledger::OnDescriptorsExhausted() {
  auto victim = connections_.end();
  for (auto each = connections_.begin(); each != connections_.end(); ++each) {
    if (each->second.has_spoken || each->second.in_use) continue;
    if (victim == connections_.end() || each->second.heard_at < victim->second.heard_at) {
      victim = each;
    }
  }
  return Remove(victim);
}

void connection_ledger::SetInUse(connection_id connection, bool in_use) {
  const auto place = connections_.find(connection);
  if (place != connections_.end()) place->second.in_use = in_use;
}

void connection_ledger::OnClosed(connection_id connection) {
  Remove(connections_.find(connection));
}

void connection_ledger::SetBytes(std::size_t& field, std::size_t bytes) {
  bytes_ = bytes_ - field + bytes;
  field = bytes;
}

std::optional<connection_ledger::connection_id> connection_ledger::LimitBytes() {
  if (bytes_ <= limits_.bytes) return std::nullopt;
  const auto rank = [](const table::value_type& each) {
    const auto& [id, known] = each;
    return std::tuple(!known.in_use, known.unfinished + known.unsent,
                      -known.frame_began_at.time_since_epoch());
  };
  // The connection in use is named only if the others hold nothing.
  const auto holds_more = [&](const auto& left, const auto& right) {
    return rank(left) < rank(right);
  };
  auto victim = std::max_element(connections_.begin(), connections_.end(), holds_more);
  if (victim->second.unfinished + victim->second.unsent == 0) {
    victim = std::max_element(connections_.begin(), connections_.end(),
                              [](const auto& left, const auto& right) {
                                return left.second.unfinished + left.second.unsent <
                                       right.second.unfinished + right.second.unsent;
                              });
  }
  return Remove(victim);
}

std::optional<connection_ledger::connection_id> connection_ledger::Remove(table::iterator victim) {
  if (victim == connections_.end()) return std::nullopt;
  bytes_ -= victim->second.unfinished + victim->second.unsent;
  const connection_id id = victim->first;
  connections_.erase(victim);
  return id;
}

}  // namespace coltsfoot::wire
