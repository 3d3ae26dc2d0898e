#include "runner/network.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "jobs/records.h"

namespace coltsfoot::runner {
namespace {

constexpr core::milliseconds kRetryDelay{300};
// A coordinator answers every 500 ms; after this time without one the address may have been removed
// from the store.
constexpr core::milliseconds kCoordinatorTimeout{3000};

template <class Message>
std::optional<Message> Decode(const wire::raw_message& raw) {
  core::last_error error;
  auto message = wire::FromRaw<Message>(raw, error);
  if (!message) {
    spdlog::warn("event=message_unreadable from=coordinator reason=\"{}\"", error.reason().message);
  }
  return message;
}

}  // namespace

coordinator_listener::coordinator_listener(asio::io_context& context, const wire::endpoint& local,
                                           const wire::connection_limits& limits)
    : listener_(
          context, local, [this](const auto& connection) { Accept(connection); }, limits) {}

void coordinator_listener::Accept(const std::shared_ptr<wire::tcp_connection>& connection) {
  const std::uint64_t connection_id = next_connection_id_++;
  connections_.emplace(connection_id, connection);
  connection->Start(
      {.on_open = [] {},
       .on_message = [this, connection_id](
                         const wire::raw_message& message) { OnMessage(connection_id, message); },
       .on_close =
           [this, connection_id](const core::error_reason&) {
             connections_.erase(connection_id);
             if (current_connection_id_ != connection_id) return;
             spdlog::info("event=coordinator_lost");
             current_connection_id_ = 0;
           }});
}

void coordinator_listener::OnMessage(std::uint64_t connection_id,
                                     const wire::raw_message& message) {
  if (message.type == wire::message_type::coordinator_hello) {
    OnHello(connection_id, message);
    return;
  }
  // Only the current coordinator may send commands; older connections belong to replaced ones. A
  // message of an unknown type from the current one may be that of a newer release.
  if (connection_id != current_connection_id_) {
    const bool is_command = message.type == wire::message_type::worker_commands ||
                            message.type == wire::message_type::lease_grant;
    if (!is_command) Reject(connection_id);
    return;
  }
  if (message.type == wire::message_type::worker_commands) {
    if (const auto batch = Decode<jobs::worker_commands>(message)) runner_->OnCommands(*batch);
  } else if (message.type == wire::message_type::lease_grant) {
    if (const auto grant = Decode<jobs::lease_grant>(message)) runner_->OnGrant(*grant);
  }
}

void coordinator_listener::OnHello(std::uint64_t connection_id, const wire::raw_message& message) {
  const auto hello = Decode<jobs::coordinator_hello>(message);
  if (!hello) {
    Reject(connection_id);
    return;
  }
  const auto place = connections_.find(connection_id);
  if (place == connections_.end()) return;
  if (!runner_->OnHello(hello->term)) {
    // The newer term in the report tells the coordinator that it has been replaced.
    place->second->Send(wire::ToFrame(jobs::worker_report{.term = runner_->term()}));
    return;
  }
  if (current_connection_id_ != connection_id) report_encoder_ = {};
  place->second->SetInUse(true);
  const auto previous = connections_.find(std::exchange(current_connection_id_, connection_id));
  if (previous == connections_.end() || previous->first == connection_id) return;
  previous->second->Close();
  connections_.erase(previous);
}

void coordinator_listener::Reject(std::uint64_t connection_id) {
  auto node = connections_.extract(connection_id);
  if (node) node.mapped()->Reject();
  if (current_connection_id_ == connection_id) current_connection_id_ = 0;
}

bool coordinator_listener::Send(const jobs::worker_report& report) {
  const auto place = connections_.find(current_connection_id_);
  if (place == connections_.end()) return false;
  jobs::report_encoder next = report_encoder_;
  // Reports are encoded as differences: the encoder may only advance if the report was sent.
  if (!place->second->Send(wire::ToFrame(next.Encode(report)))) return false;
  report_encoder_ = std::move(next);
  return true;
}

std::size_t coordinator_listener::queued_bytes() const {
  const auto place = connections_.find(current_connection_id_);
  return place == connections_.end() ? 0 : place->second->queued_bytes();
}

registration::registration(const core::clock& time, store::versioned_store& storage,
                           std::string agent, std::string address)
    : time_(time), storage_(storage), key_(jobs::AgentKey(agent)), address_(std::move(address)) {}

void registration::Tick(core::mono_time last_contact) {
  const core::mono_time now = time_.Now();
  if (request_in_flight_ || now < next_check_) return;
  if (registered_ && now - last_contact < kCoordinatorTimeout) return;
  VerifyEntry();
}

void registration::VerifyEntry() {
  request_in_flight_ = true;
  next_check_ = time_.Now() + kRetryDelay;
  storage_.Get(key_, [this](const store::get_result& result) {
    request_in_flight_ = false;
    if (result.status == store::kv_status::not_found) {
      WriteEntry(0);
    } else if (result.status == store::kv_status::ok) {
      if (result.entry->value != address_) {
        WriteEntry(result.entry->version);
        return;
      }
      registered_ = true;
      next_check_ = time_.Now() + kCoordinatorTimeout;
    }
  });
}

void registration::WriteEntry(store::key_version expected_version) {
  request_in_flight_ = true;
  storage_.Commit(
      {.expect = {{key_, expected_version}}, .puts = {{key_, address_, 0}}, .deletes = {}},
      [this](const store::commit_result& result) {
        request_in_flight_ = false;
        if (result.status != store::kv_status::ok) return;
        registered_ = true;
        next_check_ = time_.Now() + kCoordinatorTimeout;
        spdlog::info("event=agent_registered address={}", address_);
      });
}

}  // namespace coltsfoot::runner
