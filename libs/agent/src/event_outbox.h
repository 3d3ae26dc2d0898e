#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "agent/entry_link.h"
#include "core/clock.h"
#include "entry_directory.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// Sends task events to the owners of their shards. Events that end an assignment are kept and
/// resent until the owner acknowledges them.
class event_outbox {
 public:
  event_outbox(const core::clock& time, entry_link& link, const entry_directory& entries)
      : time_(time), link_(link), entries_(entries) {}

  /// Sends an event once, for events that do not end the assignment. Sets its id.
  void SendOnce(wire::task_event event);
  /// Keeps an event and resends it until it is acknowledged. Sets its id.
  void SendUntilAcknowledged(wire::task_event event);
  /// Removes an event.
  /// @return false if it is not known.
  bool Acknowledge(std::uint64_t event_id);
  /// Resends the events for the entry at the other end of a new connection.
  void ResendTo(connection_id connection);
  /// Resends the events of `shard` to its new owner.
  void ResendShard(core::shard_index shard);
  /// Resends the event of an assignment.
  /// @return false if there is none.
  bool ResendTask(const wire::task_ref& task);
  /// Resends events whose resend delay has passed.
  void Tick();

  /// @return the assignments of `shard` whose end is not yet acknowledged.
  std::vector<wire::task_ref> EndedOf(core::shard_index shard) const;
  bool empty() const noexcept { return pending_.empty(); }
  std::size_t size() const noexcept { return pending_.size(); }
  /// @return the total size in bytes of the kept results and checkpoints.
  std::size_t bytes() const noexcept { return bytes_; }

 private:
  struct pending_event {
    wire::task_event event;
    core::mono_time next_send;
    core::milliseconds delay{0};
  };
  void Send(pending_event& item);

  const core::clock& time_;
  entry_link& link_;
  const entry_directory& entries_;
  std::uint64_t last_id_ = 0;
  std::size_t bytes_ = 0;
  std::map<std::uint64_t, pending_event> pending_;
};

}  // namespace coltsfoot::agent
