#include "peer_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "api_error.h"
#include "core/ids.h"
#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;

constexpr core::milliseconds kStatusInterval{1000};
// Unchanged usage is sent again after this time, because a peer drops the usage of an entry whose
// lease in the key-value service expires even if the link between them stays up.
constexpr core::milliseconds kUsageRefresh{10'000};
// Entries whose status is kept; several times the number of entries of the largest deployment. A
// stranger can send a status under any name.
constexpr std::size_t kMaxPeers = 256;
constexpr std::string_view kSeedLinkPrefix = "seed-";

std::vector<wire::name_value> ToList(const auto& map) {
  std::vector<wire::name_value> out;
  out.reserve(map.size());
  for (const auto& [name, value] : map) out.push_back({name, value});
  return out;
}

}  // namespace

peer_directory::peer_directory(const entry_options& options, asio::io_context& traffic,
                               control_queue& control, config_controller& config,
                               const core::clock& time, metrics::registry& metrics)
    : options_(options),
      config_(config),
      time_(time),
      metrics_(metrics),
      links_(traffic, control, options.id, time, metrics,
             {.decode = [this](const std::string& link,
                               const wire::raw_message& raw) { return Decode(link, raw); },
              .on_up = [this](const std::string& link) { OnLinkUp(link); },
              .on_down = [this](const std::string& link) { OnLinkDown(link); }}) {}

wire::endpoint peer_directory::Listen() {
  return links_.Listen(options_.tcp, options_.peer_limits);
}

void peer_directory::SetHandlers(call_function on_call, status_function on_status,
                                 usage_function own_usage) {
  on_call_ = std::move(on_call);
  on_status_ = std::move(on_status);
  own_usage_ = std::move(own_usage);
}

link_pool::message_action peer_directory::Decode(const std::string& link,
                                                 const wire::raw_message& raw) {
  core::last_error error;
  if (auto call = wire::FromRaw<wire::forward_call>(raw, error)) {
    const bool submits = IsTaskSubmission(call->method, call->path);
    return {[this, link, call = std::move(*call)] { OnCall(link, call); }, submits};
  }
  if (auto reply = wire::FromRaw<wire::forward_reply>(raw, error)) {
    return {[this, reply = std::move(*reply)] { OnReply(reply); }};
  }
  if (auto pull = wire::FromRaw<wire::config_pull>(raw, error)) {
    return {[this, link, pull = *pull] { OnPull(link, pull); }, true};
  }
  if (auto push = wire::FromRaw<wire::config_push>(raw, error)) {
    return {[this, push = std::move(*push)] {
              if (!push.document.empty()) config_.OnPeerConfig(push.document);
            },
            true};
  }
  if (auto status = wire::FromRaw<wire::peer_status>(raw, error)) {
    return {[this, link, status = std::move(*status)] { OnStatus(link, status); }, true};
  }
  return {};
}

void peer_directory::OnCall(const std::string& link, const wire::forward_call& call) {
  http::request received{call.method, call.path, {}, {}, call.body};
  for (const auto& [name, value] : call.query) received.query.emplace(name, value);
  for (const auto& [name, value] : call.headers) received.headers.emplace(name, value);
  on_call_(std::move(received), [this, link, id = call.call_id](const http::response& answer) {
    links_.Send(link, wire::ToFrame(wire::forward_reply{
                          id, static_cast<std::uint16_t>(answer.status), ToList(answer.headers),
                          answer.body, core::StableHash(answer.body)}));
  });
}

void peer_directory::OnReply(const wire::forward_reply& reply) {
  auto node = pending_.extract(reply.call_id);
  if (node.empty()) {
    metrics_.GetCounter("coltsfoot_late_answers_total").Add();
    return;
  }
  if (core::StableHash(reply.body) != reply.digest) {
    node.mapped().respond(ErrorResponse(result_code::answer_truncated, "answer is not whole"));
    return;
  }
  http::response answer{reply.status, {}, reply.body};
  for (const auto& [name, value] : reply.headers) answer.headers.emplace(name, value);
  node.mapped().respond(std::move(answer));
}

void peer_directory::OnStatus(const std::string& link, const wire::peer_status& status) {
  if (!peers_.contains(status.entry) && peers_.size() >= kMaxPeers &&
      !registered_peers_.contains(status.entry)) {
    metrics_.CountRefusal("peer_status", result_code::queue_full);
    return;
  }
  peers_[status.entry] = {status.config, time_.Now()};
  // Pull a newer version from the peer, so that it also spreads while the key-value service is
  // unreachable.
  if (status.config > config_.version()) {
    links_.Send(link, wire::ToFrame(wire::config_pull{config_.version()}));
  }
  on_status_(status);
}

void peer_directory::OnPull(const std::string& link, const wire::config_pull& pull) {
  const bool newer = config_.version() > pull.known;
  links_.Send(link,
              wire::ToFrame(wire::config_push{config_.version(), newer ? config_.Document() : ""}));
}

void peer_directory::Forward(const std::string& entry, const http::request& call,
                             core::mono_time deadline, http::responder respond) {
  const std::uint64_t id = ++next_call_;
  const core::mono_time now = time_.Now();
  wire::forward_call message;
  message.call_id = id;
  message.deadline_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(core::ToMs(deadline - now), 0));
  message.method = call.method;
  message.path = call.path;
  message.query = ToList(call.query);
  message.headers = ToList(call.headers);
  message.body = call.body;
  if (!links_.Send(entry, wire::ToFrame(message))) {
    metrics_.CountRefusal("forward", result_code::connect_failed);
    respond(ErrorResponse(result_code::connect_failed, "no connection to the shard's owner"));
    return;
  }
  pending_.emplace(id, pending_call{entry, deadline, std::move(respond)});
}

void peer_directory::OnLinkUp(const std::string& link) {
  sent_usage_.erase(link);
  links_.Send(link, wire::ToFrame(wire::config_pull{config_.version()}));
}

void peer_directory::OnLinkDown(const std::string& link) {
  std::vector<http::responder> lost;
  std::erase_if(pending_, [&](auto& item) {
    if (item.second.link != link) return false;
    lost.push_back(std::move(item.second.respond));
    return true;
  });
  for (const auto& respond : lost) {
    metrics_.GetCounter("coltsfoot_outcome_unknown_total", {"reason", "connection_lost"}).Add();
    respond(ErrorResponse(result_code::connection_lost,
                          "the connection to the shard's owner was lost"));
  }
}

void peer_directory::Tick(const std::vector<ledger::live_entry>& entries) {
  const core::mono_time now = time_.Now();
  UpdateLinks(entries);
  links_.Tick();
  std::vector<http::responder> expired;
  std::erase_if(pending_, [&](auto& item) {
    if (item.second.deadline > now) return false;
    expired.push_back(std::move(item.second.respond));
    return true;
  });
  for (const auto& respond : expired) {
    metrics_.GetCounter("coltsfoot_outcome_unknown_total", {"reason", "deadline_exceeded"}).Add();
    respond(ErrorResponse(result_code::deadline_exceeded,
                          "the shard's owner did not answer before the deadline"));
  }
  if (now < next_status_) return;
  next_status_ = now + kStatusInterval;
  SendStatus();
}

void peer_directory::UpdateLinks(const std::vector<ledger::live_entry>& entries) {
  std::set<std::string> present;
  core::last_error error;
  for (const auto& peer : entries) {
    if (peer.entry == options_.id) continue;
    present.insert(peer.entry);
    if (registered_peers_[peer.entry] == peer.value) continue;
    registered_peers_[peer.entry] = peer.value;
    if (const auto address = wire::DecodeValue<entry_address>(peer.value, error)) {
      links_.Connect(peer.entry, address->tcp);
    }
  }
  std::erase_if(registered_peers_, [&](const auto& item) {
    if (present.contains(item.first)) return false;
    links_.Forget(item.first);
    peers_.erase(item.first);
    sent_usage_.erase(item.first);
    on_status_({item.first, 0, std::vector<wire::team_usage>{}});
    return true;
  });
  // The peers from the settings are the source of the configuration for a process that cannot read
  // the key-value service.
  const bool want_seeds = !config_.is_known();
  if (want_seeds == seeds_open_) return;
  seeds_open_ = want_seeds;
  for (std::size_t index = 0; index < options_.peers.size(); ++index) {
    const std::string link = std::string(kSeedLinkPrefix) + std::to_string(index);
    if (want_seeds) {
      links_.Connect(link, options_.peers[index]);
    } else {
      links_.Forget(link);
    }
  }
}

void peer_directory::SendStatus() {
  const core::mono_time now = time_.Now();
  const std::vector<wire::team_usage> usage = own_usage_();
  const std::string brief =
      wire::ToFrame(wire::peer_status{options_.id, config_.version(), std::nullopt});
  const std::string whole = wire::ToFrame(wire::peer_status{options_.id, config_.version(), usage});
  for (const auto& [peer, value] : registered_peers_) {
    sent_usage& last = sent_usage_[peer];
    const bool known = last.teams == usage && now < last.expires;
    if (!links_.Send(peer, known ? brief : whole)) {
      sent_usage_.erase(peer);
    } else if (!known) {
      last = {usage, now + kUsageRefresh};
    }
  }
}

}  // namespace coltsfoot::entry
