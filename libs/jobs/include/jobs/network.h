#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/clock.h"
#include "jobs/coordinator.h"
#include "jobs/job_service.h"
#include "jobs/messages.h"
#include "jobs/report_stream.h"
#include "metrics/registry.h"
#include "wire/transport.h"

namespace coltsfoot::jobs {

/// Parses "IP:PORT".
/// @return the endpoint, or nothing if `text` has another form.
std::optional<wire::endpoint> ParseAddress(std::string_view text);

/// The coordinator's TCP connections to agents. Reconnects until `Forget` is called.
class agent_connections final : public agent_link {
 public:
  struct handlers {
    std::function<void(const std::string& agent)> on_connected;
    std::function<void(const std::string& agent)> on_disconnected;
    std::function<void(const worker_report&)> on_report;
  };

  agent_connections(asio::io_context& context, const core::clock& time, metrics::registry& metrics);
  void SetHandlers(handlers callbacks) { callbacks_ = std::move(callbacks); }
  /// Sets the term that is sent to agents when a connection opens.
  void SetTerm(std::uint64_t term) { term_ = term; }
  /// Reconnects to agents and closes silent connections; call at least every 100 ms.
  void Tick();

  void Connect(const std::string& agent, const std::string& address) override;
  void Forget(const std::string& agent) override;
  void ForgetAll() override;
  void Send(const std::string& agent, const lease_grant& message) override;
  void Send(const std::string& agent, const worker_commands& message) override;

 private:
  struct peer {
    wire::endpoint address;
    std::shared_ptr<wire::tcp_connection> connection;
    std::uint64_t serial = 0;
    bool open = false;
    core::mono_time dialled_at;
    core::mono_time last_received_at;
    core::mono_time next_dial_at;
    report_decoder reports;
  };
  void Dial(const std::string& agent, peer& to);
  void OnMessage(const std::string& agent, std::uint64_t serial, const wire::raw_message& message);
  /// Applies the changes of a report; closes the connection if they do not apply to the last
  /// report.
  void OnChanges(const std::string& agent, peer& from, const wire::raw_message& message);
  void CloseConnection(const std::string& agent, peer& from);
  peer* Find(const std::string& agent, std::uint64_t serial);
  template <class Message>
  void SendTo(const std::string& agent, const Message& message);

  asio::io_context& context_;
  const core::clock& time_;
  metrics::registry& metrics_;
  handlers callbacks_;
  std::uint64_t term_ = 0;
  std::uint64_t next_serial_ = 1;
  std::map<std::string, peer> peers_;
};

/// Connections between entries: answers queries of other entries and sends queries to the
/// coordinating entry.
class entry_peers final : public coordinator_client {
 public:
  using query_handler = std::function<void(const job_query&, std::function<void(job_answer)>)>;

  /// @param local endpoint on which to accept connections of other entries.
  /// @param leader returns the address of the coordinating entry, empty if there is none. If it is
  /// the own address, queries are answered in this process.
  /// @param answer answers a query; may call back asynchronously.
  /// @param limits of the accepted connections.
  entry_peers(asio::io_context& context, const core::clock& time, const wire::endpoint& local,
              std::function<std::string()> leader, query_handler answer,
              const wire::connection_limits& limits = wire::DefaultConnectionLimits());

  void Query(job_query query, std::function<void(job_answer)> done) override;
  /// Fails queries that timed out and closes a silent connection; call at least every 100 ms.
  void Tick();

 private:
  struct pending_query {
    core::mono_time deadline;
    std::function<void(job_answer)> done;
  };
  void Accept(const std::shared_ptr<wire::tcp_connection>& connection);
  void OnQuery(std::uint64_t connection, const wire::raw_message& message);
  void Answer(std::uint64_t connection, const job_answer& answer);
  bool EnsureConnected(const std::string& address);
  void DropConnection();
  void FailQuery(pending_query& query);
  void OnAnswer(const wire::raw_message& message);

  asio::io_context& context_;
  const core::clock& time_;
  wire::tcp_listener listener_;
  std::string own_address_;
  std::function<std::string()> leader_;
  query_handler query_handler_;
  std::uint64_t next_connection_ = 1;
  std::map<std::uint64_t, std::shared_ptr<wire::tcp_connection>> accepted_;
  /// Queries of other entries without an answer.
  std::shared_ptr<std::size_t> queries_in_progress_ = std::make_shared<std::size_t>(0);
  std::shared_ptr<wire::tcp_connection> connection_;
  std::string connected_to_;
  std::optional<core::mono_time> unanswered_since_;  ///< first query since the last answer
  std::uint64_t serial_ = 0;
  std::uint64_t next_query_ = 1;
  std::map<std::uint64_t, pending_query> pending_;
};

}  // namespace coltsfoot::jobs
