#include "heartbeat_contacts.h"

#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

wire::agent_heartbeat DescriptionOf(const wire::agent_heartbeat& heartbeat) {
  wire::agent_heartbeat out;
  out.worker = heartbeat.worker;
  out.agent_tcp = heartbeat.agent_tcp;
  out.region = heartbeat.region;
  out.zone = heartbeat.zone;
  out.rack = heartbeat.rack;
  out.total = heartbeat.total;
  out.slots_total = heartbeat.slots_total;
  out.connections_total = heartbeat.connections_total;
  for (const wire::service_load& load : heartbeat.services) {
    out.services.emplace_back().service = load.service;
  }
  return out;
}

}  // namespace

bool heartbeat_contacts::HasCurrentDescription(const wire::agent_heartbeat& heartbeat) const {
  wire::agent_heartbeat description = DescriptionOf(heartbeat);
  description.description = description_.description;
  return description == description_;
}

void heartbeat_contacts::BeginRound(wire::agent_heartbeat& heartbeat,
                                    const std::set<wire::endpoint>& receivers) {
  std::erase_if(contacts_, [&](const auto& item) { return !receivers.contains(item.first); });
  if (described_since_ == 0 || !HasCurrentDescription(heartbeat)) {
    const std::uint32_t version = description_.description + 1;
    description_ = DescriptionOf(heartbeat);
    description_.description = version;
    described_since_ = heartbeat.seq;
    for (auto& [to, receiver] : contacts_) receiver.knows_description = false;
  }
  heartbeat.description = description_.description;
}

std::string heartbeat_contacts::Datagram(wire::agent_heartbeat heartbeat,
                                         const wire::endpoint& to) {
  contact& receiver = contacts_[to];
  heartbeat.described = !receiver.knows_description;
  heartbeat.lists = receiver.kept_ack.lists;
  if (heartbeat.described) receiver.described_seq = heartbeat.seq;
  return wire::ToDatagram(heartbeat);
}

heartbeat_contacts::ack_use heartbeat_contacts::OnAck(const wire::endpoint& from,
                                                      wire::heartbeat_ack& ack) {
  const auto found = contacts_.find(from);
  if (ack.undescribed) {
    if (found == contacts_.end() || ack.seq <= found->second.described_seq) return ack_use::ignored;
    found->second.knows_description = false;
    return ack_use::send_description;
  }
  if (found == contacts_.end()) return ack.listed ? ack_use::valid : ack_use::unknown_lists;
  contact& sender = found->second;
  // Heartbeats from `described_since_` on refer to the current description, so an ack of one of
  // them proves that the entry has it. An older ack may come from a former process at the same
  // endpoint.
  if (ack.seq >= described_since_ && ack.seq >= sender.described_seq) {
    sender.knows_description = true;
  }
  if (ack.listed) {
    if (ack.lists != 0 && ack.seq >= sender.kept_ack.seq) sender.kept_ack = ack;
    return ack_use::valid;
  }
  if (ack.lists == 0 || ack.lists != sender.kept_ack.lists) return ack_use::unknown_lists;
  ack.entry = sender.kept_ack.entry;
  ack.shards = sender.kept_ack.shards;
  ack.entries = sender.kept_ack.entries;
  return ack_use::valid;
}

}  // namespace coltsfoot::agent
