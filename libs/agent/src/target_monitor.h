#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "admission_gate.h"
#include "agent/capacity_ledger.h"
#include "agent/target_client.h"
#include "metrics/registry.h"
#include "request_manager.h"
#include "task_manager.h"

namespace coltsfoot::agent {

/// Monitors the worker's target: tracks its liveness and instance, recovers its tasks when the
/// instance changes, and polls its events.
class target_monitor {
 public:
  using usage_handler = std::function<void(const target_event&)>;

  target_monitor(const core::clock& time, metrics::registry& metrics,
                 core::milliseconds announce_timeout, worker_state& state, capacity_ledger& ledger,
                 task_manager& tasks, request_manager& requests, target_client& target,
                 usage_handler on_usage);

  void Announce(const target_announcement& announcement);
  /// @param instance instance that shuts down; empty means the current one.
  void Goodbye(const std::string& instance);
  void Tick();

 private:
  void ChangeInstance(const target_announcement& announcement);
  void AddFormerInstance(const std::string& instance);
  void RecoverTasks();
  void RecoverEvents(const task_listing& listing);
  void Poll();
  void HandleEvents(const event_batch& batch);
  void ScheduleRetry();

  const core::clock& time_;
  metrics::registry& metrics_;
  core::milliseconds announce_timeout_;
  worker_state& state_;
  capacity_ledger& ledger_;
  task_manager& tasks_;
  request_manager& requests_;
  target_client& target_;
  usage_handler on_usage_;
  std::optional<target_announcement> current_;
  core::mono_time last_announced_at_;
  std::deque<std::string> former_instances_;
  std::uint64_t generation_ = 0;
  std::uint64_t next_event_ = 0;
  bool call_in_flight_ = false;
  core::mono_time next_call_;
};

}  // namespace coltsfoot::agent
