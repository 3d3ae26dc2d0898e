#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config_controller.h"
#include "core/clock.h"
#include "entry/options.h"
#include "interference/model.h"
#include "ledger/shard_manager.h"
#include "link_pool.h"
#include "membership/worker_table.h"
#include "metrics/registry.h"
#include "request_router.h"
#include "wire/transport.h"
#include "wire/usage_report_limiter.h"

namespace coltsfoot::entry {

/// Handles the heartbeats of the agents and keeps the links to them.
class agent_directory final : public agent_gateway {
 public:
  /// Handlers of other components for messages from agents and for link changes.
  struct listeners {
    std::function<void(const std::string& worker, const wire::request_reply&)> on_reply;
    std::function<void(const wire::task_event&)> on_event;
    std::function<void(const wire::shard_report&)> on_report;
    std::function<void(const wire::usage_report&)> on_usage;
    std::function<void(const std::string& worker)> on_reachable;
    std::function<void(const std::string& worker)> on_link_lost;
    std::function<void(membership::worker_index)> on_forgotten;
  };
  /// Sends a datagram; called on the control thread.
  using send_function = std::function<void(const wire::endpoint& to, const std::string& datagram)>;

  agent_directory(const entry_options& options, asio::io_context& traffic, control_queue& control,
                  membership::worker_table& workers, ledger::shard_manager& ledger,
                  config_controller& config, interference::model& interference,
                  const core::clock& time, metrics::registry& metrics);

  void SetListeners(listeners use) { listeners_ = std::move(use); }
  void SetSender(send_function send) { send_ = std::move(send); }

  bool Send(const std::string& worker, std::string frame) override;

  /// Sends the queued frames.
  void Flush() { links_.Flush(); }

  void OnHeartbeat(const wire::endpoint& from, const wire::agent_heartbeat& heartbeat);
  void OnGoodbye(const wire::agent_goodbye& goodbye);
  /// Reopens lost links, applies drain settings of the configuration and forgets workers that are
  /// gone.
  void Tick();

 private:
  link_pool::message_action Decode(const std::string& link, const wire::raw_message& raw);
  void RequestDescription(const wire::endpoint& to, const wire::agent_heartbeat& heartbeat);
  void Acknowledge(const wire::endpoint& to, const wire::agent_heartbeat& heartbeat,
                   membership::worker_index worker);
  void UpdateLists();
  void NotifyIfReachable(const std::string& worker, membership::worker_index index);
  void OnNewAgent(membership::worker_index worker, const wire::agent_heartbeat& heartbeat);
  void ApplyDrain(membership::worker_index worker);
  config::subject SubjectOf(membership::worker_index worker) const;

  membership::worker_table& workers_;
  ledger::shard_manager& ledger_;
  config_controller& config_;
  interference::model& interference_;
  const core::clock& time_;
  metrics::registry& metrics_;
  std::string self_;
  link_pool links_;
  listeners listeners_;
  send_function send_;
  /// By worker: the last incarnation that was asked for its assignments.
  std::map<std::string, std::uint64_t> queried_incarnations_;
  std::vector<std::string> worker_names_;  ///< by worker index; empty if forgotten
  wire::usage_report_limiter usage_report_limiter_;
  wire::heartbeat_ack lists_;  ///< current lists and their digest
  std::vector<ledger::lease_grant> listed_grants_;
  std::vector<ledger::live_entry> listed_entries_;
  core::config_version applied_drain_version_ = 0;
  core::mono_time next_forget_{};
};

}  // namespace coltsfoot::entry
