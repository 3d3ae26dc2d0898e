#include "event_outbox.h"

#include <algorithm>

#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

// Resending is needed because an entry that lost ownership may drop an event without closing the
// connection. The delay doubles so that a long outage of the key-value service does not flood the
// network with resent events.
constexpr core::milliseconds kFirstResend{5000};
constexpr core::milliseconds kMaxResend{60000};

std::size_t SizeOf(const wire::task_event& event) {
  return event.result.size() + event.checkpoint.size();
}

}  // namespace

void event_outbox::SendOnce(wire::task_event event) {
  event.event_id = ++last_id_;
  const auto connection = entries_.ConnectionFor(event.shard);
  if (connection) link_.SendFrame(*connection, wire::ToFrame(event));
}

void event_outbox::SendUntilAcknowledged(wire::task_event event) {
  event.event_id = ++last_id_;
  bytes_ += SizeOf(event);
  pending_event& item = pending_[event.event_id];
  item.event = std::move(event);
  Send(item);
}

void event_outbox::Send(pending_event& item) {
  item.delay = item.delay.count() == 0 ? kFirstResend : std::min(item.delay * 2, kMaxResend);
  item.next_send = time_.Now() + item.delay;
  const auto connection = entries_.ConnectionFor(item.event.shard);
  if (connection) link_.SendFrame(*connection, wire::ToFrame(item.event));
}

bool event_outbox::Acknowledge(std::uint64_t event_id) {
  const auto found = pending_.find(event_id);
  if (found == pending_.end()) return false;
  bytes_ -= SizeOf(found->second.event);
  pending_.erase(found);
  return true;
}

void event_outbox::ResendTo(connection_id connection) {
  for (auto& [id, item] : pending_) {
    if (entries_.ConnectionFor(item.event.shard) != connection) continue;
    item.delay = {};
    Send(item);
  }
}

void event_outbox::ResendShard(core::shard_index shard) {
  for (auto& [id, item] : pending_) {
    if (item.event.shard != shard) continue;
    item.delay = {};
    Send(item);
  }
}

bool event_outbox::ResendTask(const wire::task_ref& task) {
  for (auto& [id, item] : pending_) {
    if (item.event.task != task.task || item.event.epoch != task.epoch) continue;
    Send(item);
    return true;
  }
  return false;
}

void event_outbox::Tick() {
  const core::mono_time now = time_.Now();
  for (auto& [id, item] : pending_) {
    if (item.next_send <= now) Send(item);
  }
}

std::vector<wire::task_ref> event_outbox::EndedOf(core::shard_index shard) const {
  std::vector<wire::task_ref> out;
  for (const auto& [id, item] : pending_) {
    if (item.event.shard == shard) out.push_back({item.event.task, item.event.epoch});
  }
  return out;
}

}  // namespace coltsfoot::agent
