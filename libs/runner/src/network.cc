#include "runner/network.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "jobs/records.h"

namespace coltsfoot::runner {
namespace {

constexpr core::milliseconds kRetryDelay{300};
// A coordinator answers twice a second; without one for this long the address may have been
// removed.
constexpr core::milliseconds kMissing{3000};

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

coordinator_listener::coordinator_listener(asio::io_context& context, const wire::endpoint& local)
    : listener_(context, local, [this](const auto& connection) { Accept(connection); }) {}

void coordinator_listener::Accept(const std::shared_ptr<wire::tcp_connection>& connection) {
  const std::uint64_t number = next_++;
  connections_.emplace(number, connection);
  connection->Start(
      {.on_open = [] {},
       .on_message = [this,
                      number](const wire::raw_message& message) { OnMessage(number, message); },
       .on_close =
           [this, number](const core::error_reason&) {
             connections_.erase(number);
             if (current_ != number) return;
             spdlog::info("event=coordinator_lost");
             current_ = 0;
           }});
}

void coordinator_listener::OnMessage(std::uint64_t number, const wire::raw_message& message) {
  if (message.type == wire::message_type::coordinator_hello) {
    OnHello(number, message);
    return;
  }
  // Commands of a coordinator that another one has followed.
  if (number != current_) return;
  if (message.type == wire::message_type::worker_commands) {
    if (const auto commands = Decode<jobs::worker_commands>(message))
      runner_->OnCommands(*commands);
  } else if (message.type == wire::message_type::lease_grant) {
    if (const auto grant = Decode<jobs::lease_grant>(message)) runner_->OnGrant(*grant);
  }
}

void coordinator_listener::OnHello(std::uint64_t number, const wire::raw_message& message) {
  const auto hello = Decode<jobs::coordinator_hello>(message);
  if (!hello) return;
  const auto place = connections_.find(number);
  if (place == connections_.end()) return;
  if (!runner_->OnHello(hello->term)) {
    // Tells the coordinator that it has been followed.
    place->second->Send(wire::ToFrame(jobs::worker_report{.term = runner_->term()}));
    return;
  }
  if (current_ != number) reports_ = {};
  const auto before = connections_.find(std::exchange(current_, number));
  if (before == connections_.end() || before->first == number) return;
  before->second->Close();
  connections_.erase(before);
}

bool coordinator_listener::Send(const jobs::worker_report& report) {
  const auto place = connections_.find(current_);
  if (place == connections_.end()) return false;
  jobs::report_encoder next = reports_;
  // What was not sent must not count as known.
  if (!place->second->Send(wire::ToFrame(next.Encode(report)))) return false;
  reports_ = std::move(next);
  return true;
}

std::size_t coordinator_listener::queued_bytes() const {
  const auto place = connections_.find(current_);
  return place == connections_.end() ? 0 : place->second->queued_bytes();
}

registration::registration(const core::clock& time, store::versioned_store& storage,
                           std::string agent, std::string address)
    : time_(time), storage_(storage), key_(jobs::AgentKey(agent)), address_(std::move(address)) {}

void registration::Tick(core::mono_time last_contact) {
  const core::mono_time now = time_.Now();
  if (busy_ || now < next_check_) return;
  if (confirmed_ && now - last_contact < kMissing) return;
  Check();
}

void registration::Check() {
  busy_ = true;
  next_check_ = time_.Now() + kRetryDelay;
  storage_.Get(key_, [this](const store::get_result& result) {
    busy_ = false;
    if (result.status == store::kv_status::not_found) {
      Write(0);
    } else if (result.status == store::kv_status::ok) {
      if (result.entry->value != address_) {
        Write(result.entry->version);
        return;
      }
      confirmed_ = true;
      next_check_ = time_.Now() + kMissing;
    }
  });
}

void registration::Write(store::key_version present) {
  busy_ = true;
  storage_.Commit({.expect = {{key_, present}}, .puts = {{key_, address_, 0}}, .deletes = {}},
                  [this](const store::commit_result& result) {
                    busy_ = false;
                    if (result.status != store::kv_status::ok) return;
                    confirmed_ = true;
                    next_check_ = time_.Now() + kMissing;
                    spdlog::info("event=agent_registered address={}", address_);
                  });
}

}  // namespace coltsfoot::runner
