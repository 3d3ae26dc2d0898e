#pragma once

#include <memory>
#include <string>

#include "agent/entry_link.h"
#include "agent/options.h"
#include "agent/target_client.h"
#include "core/clock.h"
#include "metrics/registry.h"
#include "wire/frame.h"

namespace coltsfoot::agent {

/// Control logic of an agent. Runs on one thread and uses neither sockets nor the wall clock. The
/// referenced objects must outlive it.
class controller {
 public:
  controller(const agent_options& options, const core::clock& time, metrics::registry& metrics,
             target_client& target, entry_link& link);
  ~controller();
  controller(const controller&) = delete;
  controller& operator=(const controller&) = delete;

  /// Handles a frame received from an entry.
  void OnFrame(connection_id from, const wire::raw_message& message);
  /// Handles the end of a connection.
  void OnDisconnected(connection_id connection);
  /// Handles a datagram received from an entry.
  void OnDatagram(const wire::endpoint& from, const wire::raw_message& message);
  /// Handles an announcement from the target.
  void OnAnnounce(const target_announcement& announcement);
  /// Handles the message by which the target announces its shutdown.
  /// @param instance instance that shuts down; empty means the current one.
  void OnGoodbye(const std::string& instance);
  /// Runs timers and retries; must be called every 20 ms.
  void Tick();

  /// Says goodbye to the entries, refuses new work and evicts the tasks.
  void BeginShutdown();
  /// @return true after BeginShutdown once nothing runs and all events are acknowledged, or once
  /// the time limit of the shutdown has passed.
  bool finished() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::agent
