#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "jobs/report_stream.h"
#include "runner/runner.h"
#include "store/versioned_store.h"
#include "wire/transport.h"

namespace coltsfoot::runner {

/// Accepts connections of coordinators and keeps the connection of the one with the newest term.
class coordinator_listener final : public coordinator_link {
 public:
  coordinator_listener(asio::io_context& context, const wire::endpoint& local,
                       const wire::connection_limits& limits = wire::DefaultConnectionLimits());
  /// Sets the receiver of messages; call before the context runs.
  void SetRunner(runner& receiver) { runner_ = &receiver; }
  bool Send(const jobs::worker_report& report) override;
  std::size_t queued_bytes() const;

 private:
  void Accept(const std::shared_ptr<wire::tcp_connection>& connection);
  void OnMessage(std::uint64_t connection_id, const wire::raw_message& message);
  void OnHello(std::uint64_t connection_id, const wire::raw_message& message);
  /// Closes a connection that sent a message that cannot be decoded.
  void Reject(std::uint64_t connection_id);

  runner* runner_ = nullptr;
  std::uint64_t next_connection_id_ = 1;
  std::map<std::uint64_t, std::shared_ptr<wire::tcp_connection>> connections_;
  std::uint64_t current_connection_id_ = 0;  ///< of the coordinator; 0: none
  jobs::report_encoder report_encoder_;      ///< state of that connection's report stream
  wire::tcp_listener listener_;
};

/// Publishes the agent's address in the store, where coordinators discover agents. Checks it again
/// when no coordinator has been in contact for some time.
class registration {
 public:
  registration(const core::clock& time, store::versioned_store& storage, std::string agent,
               std::string address);
  /// Call at least every 100 ms.
  /// @param last_contact time of the last message from a coordinator.
  void Tick(core::mono_time last_contact);

 private:
  void VerifyEntry();
  void WriteEntry(store::key_version expected_version);

  const core::clock& time_;
  store::versioned_store& storage_;
  std::string key_;
  std::string address_;
  bool request_in_flight_ = false;
  bool registered_ = false;
  core::mono_time next_check_;
};

}  // namespace coltsfoot::runner
