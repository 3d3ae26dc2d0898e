#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "wire/messages.h"

namespace coltsfoot::capacity {

/// Sends the heartbeats of many workers to entries, evenly spread over the heartbeat period, and
/// accepts the entries' connections. It ignores all messages on them. Entries must not place
/// work on these workers, because they have no target. Runs on its own thread.
class heartbeat_load {
 public:
  /// @param entries UDP endpoints of the entries.
  heartbeat_load(std::vector<wire::endpoint> entries, std::size_t workers,
                 core::milliseconds period);
  ~heartbeat_load();
  heartbeat_load(const heartbeat_load&) = delete;
  heartbeat_load& operator=(const heartbeat_load&) = delete;

  /// @return the number of heartbeats sent, counted per entry.
  std::uint64_t sent() const;
  /// @return the number of acks received.
  std::uint64_t acks() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::capacity
