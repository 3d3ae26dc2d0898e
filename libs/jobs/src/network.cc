#include "jobs/network.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <utility>
#include <vector>

namespace coltsfoot::jobs {
namespace {

constexpr core::milliseconds kRedialDelay{200};
// A host that freezes or is cut off from the network sends no reset. Agents report twice a second,
// so this is several missed reports.
constexpr core::milliseconds kAgentSilenceTimeout{2000};
constexpr core::milliseconds kDialTimeout{1000};
// After this time the caller is answered from the store instead.
constexpr core::milliseconds kQueryTimeout{300};
// Queries that write to the store may take as long as a call to the store.
constexpr core::milliseconds kStoreQueryTimeout{1500};
// Queries of other entries in progress, several times what the largest fleet has. A peer that sends
// them faster than the store answers would otherwise fill the memory.
constexpr std::size_t kMaxQueriesInProgress = 4096;
// A connection without any answer for this long while queries are pending counts as dead.
constexpr core::milliseconds kCoordinatorSilenceTimeout{1000};

template <class Message>
std::optional<Message> Decode(const wire::raw_message& raw, std::string_view from) {
  core::last_error error;
  auto message = wire::FromRaw<Message>(raw, error);
  if (!message) {
    spdlog::warn("event=message_unreadable from={} reason=\"{}\"", from, error.reason().message);
  }
  return message;
}

}  // namespace

std::optional<wire::endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  wire::endpoint out{std::string(text.substr(0, colon)), 0};
  asio::error_code failure;
  asio::ip::make_address(out.ip, failure);
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, out.port);
  if (failure || error != std::errc{} || parsed != end) return std::nullopt;
  return out;
}

agent_connections::agent_connections(asio::io_context& context, const core::clock& time,
                                     metrics::registry& metrics)
    : context_(context), time_(time), metrics_(metrics) {}

void agent_connections::Connect(const std::string& agent, const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    spdlog::error("event=agent_address_unreadable agent={} address=\"{}\"", agent, address);
    return;
  }
  peer& known = peers_[agent];
  if (known.connection && known.address == *parsed) return;
  if (known.connection) CloseConnection(agent, known);
  known.address = *parsed;
  Dial(agent, known);
}

void agent_connections::Dial(const std::string& agent, peer& to) {
  const std::uint64_t serial = next_serial_++;
  to.serial = serial;
  to.open = false;
  to.reports = {};
  to.dialled_at = time_.Now();
  to.connection = wire::ConnectTcp(context_, to.address);
  to.connection->Start(
      {.on_open =
           [this, agent, serial] {
             peer* opened = Find(agent, serial);
             if (opened == nullptr) return;
             opened->open = true;
             opened->last_received_at = time_.Now();
             opened->connection->Send(wire::ToFrame(coordinator_hello{.term = term_}));
             callbacks_.on_connected(agent);
           },
       .on_message = [this, agent, serial](
                         const wire::raw_message& message) { OnMessage(agent, serial, message); },
       .on_close =
           [this, agent, serial](const core::error_reason&) {
             if (peer* closed = Find(agent, serial)) CloseConnection(agent, *closed);
           }});
}

agent_connections::peer* agent_connections::Find(const std::string& agent, std::uint64_t serial) {
  const auto place = peers_.find(agent);
  return place == peers_.end() || place->second.serial != serial ? nullptr : &place->second;
}

void agent_connections::OnMessage(const std::string& agent, std::uint64_t serial,
                                  const wire::raw_message& message) {
  peer* from = Find(agent, serial);
  if (from == nullptr) return;
  from->last_received_at = time_.Now();
  if (message.type == wire::message_type::worker_changes) {
    OnChanges(agent, *from, message);
  } else if (const auto report = Decode<worker_report>(message, agent)) {
    callbacks_.on_report(*report);
  }
}

void agent_connections::OnChanges(const std::string& agent, peer& from,
                                  const wire::raw_message& message) {
  core::last_error error;
  const auto changes = wire::FromRaw<worker_changes>(message, error);
  const auto report = changes ? from.reports.Decode(*changes, error) : std::nullopt;
  if (report) {
    callbacks_.on_report(*report);
    return;
  }
  metrics_.GetCounter("coltsfoot_reports_out_of_step_total").Add();
  spdlog::warn("event=report_out_of_step agent={} reason=\"{}\"", agent, error.reason().message);
  CloseConnection(agent, from);
}

void agent_connections::CloseConnection(const std::string& agent, peer& from) {
  const bool was_open = std::exchange(from.open, false);
  if (from.connection) from.connection->Close();
  from.connection.reset();
  from.serial = 0;
  from.next_dial_at = time_.Now() + kRedialDelay;
  if (was_open) callbacks_.on_disconnected(agent);
}

void agent_connections::Tick() {
  const core::mono_time now = time_.Now();
  for (auto& [agent, each] : peers_) {
    if (!each.connection) {
      if (now >= each.next_dial_at) Dial(agent, each);
    } else if (each.open ? now - each.last_received_at > kAgentSilenceTimeout
                         : now - each.dialled_at > kDialTimeout) {
      if (each.open) {
        metrics_.GetCounter("coltsfoot_silent_connections_total", {"peer", "agent"}).Add();
        spdlog::warn("event=agent_silent agent={}", agent);
      }
      CloseConnection(agent, each);
    }
  }
}

void agent_connections::Forget(const std::string& agent) {
  const auto place = peers_.find(agent);
  if (place == peers_.end()) return;
  if (place->second.connection) place->second.connection->Close();
  peers_.erase(place);
}

void agent_connections::ForgetAll() {
  for (auto& [agent, each] : peers_) {
    if (each.connection) each.connection->Close();
  }
  peers_.clear();
}

template <class Message>
void agent_connections::SendTo(const std::string& agent, const Message& message) {
  const auto place = peers_.find(agent);
  if (place == peers_.end() || !place->second.open) return;
  // The send queue is full if the agent does not read. Such an agent does not report either, so
  // `Tick` closes its connection.
  if (!place->second.connection->Send(wire::ToFrame(message))) {
    metrics_.GetCounter("coltsfoot_messages_dropped_total", {"peer", "agent"}).Add();
  }
}

void agent_connections::Send(const std::string& agent, const lease_grant& message) {
  SendTo(agent, message);
}

void agent_connections::Send(const std::string& agent, const worker_commands& message) {
  SendTo(agent, message);
}

entry_peers::entry_peers(asio::io_context& context, const core::clock& time,
                         const wire::endpoint& local, std::function<std::string()> leader,
                         query_handler answer, const wire::connection_limits& limits)
    : context_(context),
      time_(time),
      listener_(
          context, local, [this](const auto& connection) { Accept(connection); }, limits),
      own_address_(local.ip + ":" + std::to_string(local.port)),
      leader_(std::move(leader)),
      query_handler_(std::move(answer)) {}

void entry_peers::Accept(const std::shared_ptr<wire::tcp_connection>& connection) {
  const std::uint64_t number = next_connection_++;
  accepted_.emplace(number, connection);
  connection->Start(
      {.on_open = [] {},
       .on_message = [this, number](const wire::raw_message& message) { OnQuery(number, message); },
       .on_close = [this, number](const core::error_reason&) { accepted_.erase(number); }});
}

void entry_peers::OnQuery(std::uint64_t connection, const wire::raw_message& message) {
  const auto query = Decode<job_query>(message, "entry");
  if (!query) {
    auto node = accepted_.extract(connection);
    if (node) node.mapped()->Reject();
    return;
  }
  if (*queries_in_progress_ >= kMaxQueriesInProgress) {
    Answer(connection, {.number = query->number, .outcome = query_outcome::not_coordinator});
    return;
  }
  ++*queries_in_progress_;
  // Counts down when the callback is destroyed, since it may never be called.
  const std::shared_ptr<std::size_t> in_progress(
      queries_in_progress_.get(), [count = queries_in_progress_](std::size_t*) { --*count; });
  query_handler_(*query,
                 [this, connection, number = query->number, in_progress](job_answer answer) {
                   answer.number = number;
                   Answer(connection, answer);
                 });
}

void entry_peers::Answer(std::uint64_t connection, const job_answer& answer) {
  const auto place = accepted_.find(connection);
  if (place == accepted_.end() || place->second->Send(wire::ToFrame(answer))) return;
  // The other entry does not read its answers. It counts its queries as lost when the connection
  // ends.
  place->second->Close();
  accepted_.erase(connection);
}

void entry_peers::Query(job_query query, std::function<void(job_answer)> done) {
  const std::string address = leader_();
  if (address == own_address_) {
    asio::post(context_, [this, query = std::move(query), done = std::move(done)] {
      query_handler_(query, done);
    });
    return;
  }
  query.number = next_query_++;
  if (address.empty() || !EnsureConnected(address) || !connection_->Send(wire::ToFrame(query))) {
    asio::post(context_, [done = std::move(done)] { done({}); });
    return;
  }
  const bool stores = query.kind == query_kind::store_job || query.kind == query_kind::store_cancel;
  const core::mono_time now = time_.Now();
  if (!unanswered_since_) unanswered_since_ = now;
  pending_.emplace(query.number, pending_query{now + (stores ? kStoreQueryTimeout : kQueryTimeout),
                                               std::move(done)});
}

bool entry_peers::EnsureConnected(const std::string& address) {
  if (connection_ && connected_to_ == address) return true;
  DropConnection();
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return false;
  connected_to_ = address;
  connection_ = wire::ConnectTcp(context_, *endpoint);
  const std::uint64_t serial = ++serial_;
  connection_->Start({.on_open = [] {},
                      .on_message =
                          [this, serial](const wire::raw_message& message) {
                            if (serial == serial_) OnAnswer(message);
                          },
                      .on_close =
                          [this, serial](const core::error_reason&) {
                            if (serial == serial_) DropConnection();
                          }});
  return true;
}

void entry_peers::DropConnection() {
  ++serial_;
  unanswered_since_.reset();
  if (connection_) connection_->Close();
  connection_.reset();
  auto waiting = std::exchange(pending_, {});
  for (auto& [number, query] : waiting) FailQuery(query);
}

void entry_peers::FailQuery(pending_query& query) {
  asio::post(context_, [done = std::move(query.done)] { done({.outcome = query_outcome::lost}); });
}

void entry_peers::OnAnswer(const wire::raw_message& message) {
  unanswered_since_.reset();
  const auto answer = Decode<job_answer>(message, connected_to_);
  if (!answer) return;
  auto node = pending_.extract(answer->number);
  if (node) node.mapped().done(*answer);
}

void entry_peers::Tick() {
  const core::mono_time now = time_.Now();
  for (auto each = pending_.begin(); each != pending_.end();) {
    if (now < each->second.deadline) {
      ++each;
      continue;
    }
    FailQuery(each->second);
    each = pending_.erase(each);
  }
  // A single late answer means that the coordinator is busy, and reconnecting would add to its
  // load.
  if (unanswered_since_ && now - *unanswered_since_ > kCoordinatorSilenceTimeout) DropConnection();
}

}  // namespace coltsfoot::jobs
