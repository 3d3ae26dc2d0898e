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

/// Last status that another entry reported.
struct peer_state {
  core::config_version config = 0;
  core::mono_time seen;
  bool operator==(const peer_state&) const = default;
};

/// Links to the other entries. Forwards API calls and exchanges the configuration and the resource
/// usage of teams.
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
  /// Sets the handlers of incoming messages and the source of the usage that is sent; call before
  /// the first tick.
  void SetHandlers(call_function on_call, status_function on_status, usage_function own_usage);

  /// Forwards a call to another entry. The answer has the code `connect_failed` if the call was not
  /// sent, and `connection_lost` or `deadline_exceeded` if its outcome is unknown.
  void Forward(const std::string& entry, const http::request& call, core::mono_time deadline,
               http::responder respond);
  /// @return true if the link to the entry is up.
  bool CanReach(const std::string& entry) const { return links_.is_up(entry); }
  /// Updates the links to the registered entries, sends the status and expires forwarded calls.
  void Tick(const std::vector<ledger::live_entry>& entries);

  /// Sends the queued frames.
  void Flush() { links_.Flush(); }

  const std::map<std::string, peer_state>& peers() const noexcept { return peers_; }

 private:
  struct pending_call {
    std::string link;
    core::mono_time deadline;
    http::responder respond;
  };

  /// Team usage last sent to a peer over the current connection.
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
  std::map<std::string, std::string>
      registered_peers_;  ///< value registered in the key-value service, by entry
  std::map<std::string, sent_usage> sent_usage_;
  bool seeds_open_ = false;
  core::mono_time next_status_{};
};

}  // namespace coltsfoot::entry
