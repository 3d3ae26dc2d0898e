#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config_controller.h"
#include "core/clock.h"
#include "entry/options.h"
#include "http/message.h"
#include "http/server.h"
#include "ledger/shard_manager.h"
#include "link_pool.h"
#include "metrics/registry.h"
#include "wire/messages.h"

namespace coltsfoot::entry {

/// What another entry last said about itself.
struct peer_state {
  core::config_version config = 0;
  core::mono_time seen;
  bool operator==(const peer_state&) const = default;
};

/// Links to the other entries: forwarded calls, exchange of the configuration and of team usage.
class peer_directory {
 public:
  /// Handles a call that another entry forwarded.
  using call_function = std::function<void(http::request, http::responder)>;
  using status_function = std::function<void(const wire::peer_status&)>;
  using usage_function = std::function<std::vector<wire::team_usage>()>;

  peer_directory(const entry_options& options, asio::io_context& traffic, control_queue& control,
                 config_controller& config, const core::clock& time, metrics::registry& metrics);

  /// Accepts links of other entries. Call before the traffic thread starts.
  wire::endpoint Listen();
  /// Sets what handles incoming messages; call before the first tick.
  void SetHandlers(call_function on_call, status_function on_status, usage_function own_usage);

  /// Sends a call to the entry that owns its shard. The answer says `connect_failed` if it was not
  /// sent and `connection_lost` or `deadline_exceeded` if its outcome is unknown.
  void Forward(const std::string& entry, const http::request& call, core::mono_time deadline,
               http::responder respond);
  /// @return true if there is a link to the entry.
  bool CanReach(const std::string& entry) const { return links_.is_up(entry); }
  /// Keeps links to the registered entries, sends the status, expires forwarded calls.
  void Tick(const std::vector<ledger::live_entry>& entries);

  /// Sends what was queued.
  void Flush() { links_.Flush(); }

  const std::map<std::string, peer_state>& peers() const noexcept { return peers_; }

 private:
  struct pending_call {
    std::string link;
    core::mono_time deadline;
    http::responder respond;
  };

  /// Team usage that a peer was sent over the present link.
  struct sent_usage {
    std::vector<wire::team_usage> teams;
    core::mono_time expires;
  };

  link_pool::message_action Decode(const std::string& link, const wire::raw_message& raw);
  void OnCall(const std::string& link, const wire::forward_call& call);
  void OnReply(const wire::forward_reply& reply);
  void OnStatus(const std::string& link, const wire::peer_status& status);
  void OnPull(const std::string& link, const wire::config_pull& pull);
  void OnLinkUp(const std::string& link);
  void OnLinkDown(const std::string& link);
  void UpdateLinks(const std::vector<ledger::live_entry>& entries);
  void SendStatus();

  const entry_options& options_;
  config_controller& config_;
  const core::clock& time_;
  metrics::registry& metrics_;
  link_pool links_;
  call_function on_call_;
  status_function on_status_;
  usage_function own_usage_;
  std::uint64_t next_call_ = 0;
  std::map<std::uint64_t, pending_call> pending_;
  std::map<std::string, peer_state> peers_;
  std::map<std::string, std::string> registered_peers_;  ///< registered value by entry
  std::map<std::string, sent_usage> sent_usage_;
  bool seeds_open_ = false;
  core::mono_time next_status_{};
};

}  // namespace coltsfoot::entry
