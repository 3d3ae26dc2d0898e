#include "heartbeat_contacts.h"

#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

wire::agent_heartbeat DescriptionOf(const wire::agent_heartbeat& beat) {
  wire::agent_heartbeat out;
  out.worker = beat.worker;
  out.agent_tcp = beat.agent_tcp;
  out.region = beat.region;
  out.zone = beat.zone;
  out.rack = beat.rack;
  out.total = beat.total;
  out.slots_total = beat.slots_total;
  out.connections_total = beat.connections_total;
  for (const wire::service_load& load : beat.services) {
    out.services.emplace_back().service = load.service;
  }
  return out;
}

}  // namespace

bool heartbeat_contacts::IsCurrent(const wire::agent_heartbeat& beat) const {
  wire::agent_heartbeat description = DescriptionOf(beat);
  description.description = description_.description;
  return description == description_;
}

void heartbeat_contacts::Begin(wire::agent_heartbeat& beat,
                               const std::set<wire::endpoint>& targets) {
  std::erase_if(contacts_, [&](const auto& item) { return !targets.contains(item.first); });
  if (described_since_ == 0 || !IsCurrent(beat)) {
    const std::uint32_t version = description_.description + 1;
    description_ = DescriptionOf(beat);
    description_.description = version;
    described_since_ = beat.seq;
    for (auto& [to, contact] : contacts_) contact.knows_description = false;
  }
  beat.description = description_.description;
}

std::string heartbeat_contacts::Datagram(wire::agent_heartbeat beat, const wire::endpoint& to) {
  contact& receiver = contacts_[to];
  beat.described = !receiver.knows_description;
  beat.lists = receiver.kept.lists;
  if (beat.described) receiver.described_seq = beat.seq;
  return wire::ToDatagram(beat);
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
  // Only a heartbeat from this one on names the present description, so its ack proves that the
  // entry has it. An older ack may come from a former process at the same endpoint.
  if (ack.seq >= described_since_ && ack.seq >= sender.described_seq) {
    sender.knows_description = true;
  }
  if (ack.listed) {
    if (ack.lists != 0 && ack.seq >= sender.kept.seq) sender.kept = ack;
    return ack_use::valid;
  }
  if (ack.lists == 0 || ack.lists != sender.kept.lists) return ack_use::unknown_lists;
  ack.entry = sender.kept.entry;
  ack.shards = sender.kept.shards;
  ack.entries = sender.kept.entries;
  return ack_use::valid;
}

}  // namespace coltsfoot::agent
