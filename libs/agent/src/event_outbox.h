#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "agent/entry_link.h"
#include "core/clock.h"
#include "entry_directory.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// Keeps each event that ends an assignment until the shard's owner acknowledges it.
class event_outbox {
 public:
  event_outbox(const core::clock& time, entry_link& link, const entry_directory& entries)
      : time_(time), link_(link), entries_(entries) {}

  /// Sends an event once; for events after which the task goes on.
  void SendOnce(wire::task_event event);
  /// Keeps an event and sends it until it is acknowledged. Sets its number.
  void SendUntilAcknowledged(wire::task_event event);
  /// Forgets an event. @return false if it is not known.
  bool Acknowledge(std::uint64_t event_id);
  /// Sends again what waits for the entry at the other end of a new connection.
  void ResendTo(connection_id connection);
  /// Sends again what waits for a new owner of `shard`.
  void ResendShard(core::shard_index shard);
  /// Sends the event about an assignment again. @return false if none waits.
  bool ResendTask(const wire::task_ref& task);
  /// Sends again what was not acknowledged for long.
  void Tick();

  /// @return assignments of `shard` whose end is not acknowledged.
  std::vector<wire::task_ref> EndedOf(core::shard_index shard) const;
  bool empty() const noexcept { return pending_.empty(); }
  std::size_t size() const noexcept { return pending_.size(); }
  /// @return the bytes of results and checkpoints that wait.
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
