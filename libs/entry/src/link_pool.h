#pragma once

#include <asio/io_context.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control_queue.h"
#include "core/clock.h"
#include "dial_schedule.h"
#include "metrics/registry.h"
#include "wire/transport.h"

namespace coltsfoot::entry {

/// Pool of named, persistent TCP links. Outgoing links are named after the peer and reconnect after
/// a loss; incoming links get generated names. Sockets and codecs run on the traffic thread; public
/// functions and callbacks, other than `decode`, run on the control thread.
class link_pool {
 public:
  /// Action on the control thread that a message leads to.
  struct message_action {
    std::function<void()> run;  ///< empty if the message cannot be decoded, which closes the link
    bool deferrable = false;    ///< may wait for the next tick
  };
  /// Decodes a message on the traffic thread.
  using decoder =
      std::function<message_action(const std::string& link, const wire::raw_message& message)>;
  struct callbacks {
    decoder decode;
    std::function<void(const std::string& link)> on_up;
    std::function<void(const std::string& link)> on_down;
  };

  /// @param self id of this process, sent in the first message on each outgoing link.
  link_pool(asio::io_context& traffic, control_queue& control, std::string self,
            const core::clock& time, metrics::registry& metrics, callbacks handlers);
  ~link_pool();
  link_pool(const link_pool&) = delete;
  link_pool& operator=(const link_pool&) = delete;

  /// Opens an outgoing link and keeps it open until `Forget`. A call with another endpoint replaces
  /// the connection.
  void Connect(const std::string& link, const wire::endpoint& to);
  /// Closes a link for good.
  void Forget(const std::string& link);
  /// Queues a frame for the next `Flush`.
  /// @return false if the link is not up; nothing is sent then. True does not guarantee delivery;
  /// `on_down` reports the loss of the link.
  bool Send(const std::string& link, std::string frame);
  /// Hands the queued frames to the traffic thread in one wakeup.
  void Flush();
  /// @return true if the link is up.
  bool is_up(const std::string& link) const;
  /// Accepts incoming links. Call once, before the traffic thread starts.
  /// @return the endpoint that the pool listens on.
  wire::endpoint Listen(const wire::endpoint& local, const wire::connection_limits& limits);
  /// Ends dials that take too long and dials the outgoing links that are due.
  void Tick();

 private:
  struct link_state {
    wire::endpoint to;  ///< empty for an incoming link
    std::uint64_t generation = 0;
    bool up = false;
    std::shared_ptr<wire::tcp_connection> connection;  ///< used on the traffic thread only
  };

  struct queued_frame {
    std::string link;
    std::uint64_t generation = 0;
    std::shared_ptr<wire::tcp_connection> connection;
    std::string frame;
  };

  void DialDue(core::mono_time now);
  void Open(const std::string& link, link_state& state);
  void SendOnTraffic(queued_frame& queued);
  void Adopt(const std::shared_ptr<wire::tcp_connection>& connection);
  void StartOnTraffic(const std::string& link, std::uint64_t generation,
                      const std::shared_ptr<wire::tcp_connection>& connection, bool incoming);
  /// Queues the action of a message for the control thread.
  /// @return false if too many bytes of incoming links wait for it.
  bool Queue(message_action action, std::size_t bytes, bool incoming);
  void OnUp(const std::string& link, std::uint64_t generation);
  void OnDown(const std::string& link, std::uint64_t generation, core::result_code reason);
  void CloseOnTraffic(const std::shared_ptr<wire::tcp_connection>& connection);

  asio::io_context& traffic_;
  control_queue& control_;
  std::string self_;
  const core::clock& time_;
  metrics::registry& metrics_;
  callbacks handlers_;
  std::map<std::string, link_state> links_;
  /// Outgoing links. `Tick` visits only those without a connection: iterating over the links to 990
  /// agents 50 times a second took 45 % of the user CPU time of an entry without tasks.
  dial_schedule dials_;
  std::vector<queued_frame> outbox_;
  std::uint64_t next_generation_ = 0;
  /// Memory of messages from incoming links that wait for the control thread, in bytes. Shared
  /// with the queued actions, which may outlive the pool.
  std::shared_ptr<std::atomic<std::size_t>> waiting_bytes_ =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::unique_ptr<wire::tcp_listener> listener_;
};

}  // namespace coltsfoot::entry
