#include "agent_directory.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

constexpr core::milliseconds kForgetInterval{1000};

}  // namespace

agent_directory::agent_directory(const entry_options& options, asio::io_context& traffic,
                                 control_queue& control, membership::worker_table& workers,
                                 ledger::shard_manager& ledger, config_controller& config,
                                 interference::model& interference, const core::clock& time,
                                 metrics::registry& metrics)
    : workers_(workers),
      ledger_(ledger),
      config_(config),
      interference_(interference),
      time_(time),
      metrics_(metrics),
      self_(options.id),
      links_(traffic, control, options.id, time, metrics,
             {.decode = [this](const std::string& link,
                               const wire::raw_message& raw) { return Decode(link, raw); },
              .on_up =
                  [this](const std::string& worker) {
                    const auto index = workers_.Find(worker);
                    if (!index) return;
                    workers_.Confirm(*index);
                    NotifyIfReachable(worker, *index);
                  },
              .on_down =
                  [this](const std::string& worker) {
                    queried_incarnations_.erase(worker);
                    listeners_.on_link_lost(worker);
                  }}) {}

bool agent_directory::Send(const std::string& worker, std::string frame) {
  return links_.Send(worker, std::move(frame));
}

// Task events and reports can wait for the next tick: the log records that they lead to are
// appended only there.
link_pool::message_action agent_directory::Decode(const std::string& link,
                                                  const wire::raw_message& raw) {
  core::last_error error;
  if (auto reply = wire::FromRaw<wire::request_reply>(raw, error)) {
    return {[this, link, reply = std::move(*reply)] { listeners_.on_reply(link, reply); }};
  }
  if (auto event = wire::FromRaw<wire::task_event>(raw, error)) {
    return {[this, event = std::move(*event)] { listeners_.on_event(event); }, true};
  }
  if (auto report = wire::FromRaw<wire::shard_report>(raw, error)) {
    return {[this, report = std::move(*report)] { listeners_.on_report(report); }, true};
  }
  if (auto usage = wire::FromRaw<wire::usage_report>(raw, error)) {
    const std::size_t bytes = wire::kFrameHeaderBytes + raw.payload.size();
    return {[this, bytes, usage = std::move(*usage)] {
              usage_report_limiter_.Observe(bytes);
              listeners_.on_usage(usage);
            },
            true};
  }
  return {};
}

void agent_directory::OnHeartbeat(const wire::endpoint& from,
                                  const wire::agent_heartbeat& heartbeat) {
  const auto result = workers_.OnHeartbeat(heartbeat, time_.Now());
  metrics_.GetCounter("coltsfoot_heartbeats_total").Add();
  if (result.outcome == membership::heartbeat_outcome::stale) {
    metrics_.GetCounter("coltsfoot_heartbeats_stale_total").Add();
    return;
  }
  if (result.outcome == membership::heartbeat_outcome::refused) {
    metrics_.GetCounter("coltsfoot_heartbeats_refused_total").Add();
    return;
  }
  if (result.outcome == membership::heartbeat_outcome::undescribed) {
    metrics_.GetCounter("coltsfoot_heartbeats_undescribed_total").Add();
    RequestDescription(from, heartbeat);
    return;
  }
  if (result.outcome != membership::heartbeat_outcome::updated) {
    OnNewAgent(result.worker, heartbeat);
  }
  const membership::worker_identity& identity = workers_.identity(result.worker);
  links_.Connect(identity.id, identity.agent_tcp);
  Acknowledge(from, heartbeat, result.worker);
  NotifyIfReachable(identity.id, result.worker);
}

void agent_directory::OnNewAgent(membership::worker_index worker,
                                 const wire::agent_heartbeat& heartbeat) {
  spdlog::info("event=worker_found worker={} zone={} incarnation={}", heartbeat.worker,
               heartbeat.zone, heartbeat.incarnation);
  if (worker >= worker_names_.size()) worker_names_.resize(worker + 1);
  worker_names_[worker] = heartbeat.worker;
  const core::mono_time now = time_.Now();
  interference_.ResetWorker(worker, now);
  for (const auto& service : heartbeat.services) {
    interference_.OnStarted(worker, interference_.FindOrAddClass(service.service, now), now);
  }
  ApplyDrain(worker);
}

void agent_directory::RequestDescription(const wire::endpoint& to,
                                         const wire::agent_heartbeat& heartbeat) {
  wire::heartbeat_ack ack;
  ack.incarnation = heartbeat.incarnation;
  ack.seq = heartbeat.seq;
  ack.undescribed = true;
  ack.listed = false;
  send_(to, wire::ToDatagram(ack));
}

void agent_directory::Acknowledge(const wire::endpoint& to, const wire::agent_heartbeat& heartbeat,
                                  membership::worker_index worker) {
  wire::heartbeat_ack ack;
  ack.incarnation = heartbeat.incarnation;
  ack.seq = heartbeat.seq;
  ack.config = config_.version();
  if (config_.is_known() && heartbeat.config < config_.version()) {
    ack.policy = config::DeriveAgentPolicy(*config_.current(), SubjectOf(worker));
  }
  UpdateLists();
  ack.lists = lists_.lists;
  ack.listed = ack.lists != heartbeat.lists;
  if (ack.listed) {
    ack.entry = lists_.entry;
    ack.shards = lists_.shards;
    ack.entries = lists_.entries;
  }
  const core::milliseconds usage_interval = usage_report_limiter_.Interval(workers_.size());
  ack.usage_interval_ms = static_cast<std::uint32_t>(usage_interval.count());
  send_(to, wire::ToDatagram(ack));
}

// The shards for which leases may be granted change with time, so they are checked for each ack.
void agent_directory::UpdateLists() {
  std::vector<ledger::lease_grant> grants = ledger_.Grants();
  if (lists_.lists != 0 && grants == listed_grants_ && ledger_.Entries() == listed_entries_) return;
  lists_ = {};
  lists_.entry = self_;
  for (const auto& grant : grants) lists_.shards.push_back({grant.shard, grant.fence});
  core::last_error error;
  for (const auto& peer : ledger_.Entries()) {
    if (const auto address = wire::DecodeValue<entry_address>(peer.value, error)) {
      lists_.entries.push_back(address->udp);
    }
  }
  lists_.lists = wire::DigestOfLists(lists_);
  listed_grants_ = std::move(grants);
  listed_entries_ = ledger_.Entries();
}

void agent_directory::NotifyIfReachable(const std::string& worker, membership::worker_index index) {
  const auto state = workers_.State(index, time_.Now());
  const std::uint64_t incarnation = workers_.identity(index).incarnation;
  if (!links_.is_up(worker) || state == membership::worker_state::recovering) return;
  if (std::exchange(queried_incarnations_[worker], incarnation) == incarnation) return;
  listeners_.on_reachable(worker);
}

void agent_directory::OnGoodbye(const wire::agent_goodbye& goodbye) {
  if (workers_.OnGoodbye(goodbye)) spdlog::info("event=worker_goodbye worker={}", goodbye.worker);
}

config::subject agent_directory::SubjectOf(membership::worker_index worker) const {
  const auto& names = workers_.place_names();
  return {.worker = workers_.identity(worker).id,
          .rack = names.Name(workers_.rack()[worker]),
          .zone = names.Name(workers_.zone()[worker]),
          .region = names.Name(workers_.region()[worker])};
}

void agent_directory::ApplyDrain(membership::worker_index worker) {
  if (!config_.is_known()) return;
  const auto& settings = config_.view().For(SubjectOf(worker));
  workers_.SetOperatorDrain(worker, settings.worker_drain || settings.worker_lost);
}

void agent_directory::Tick() {
  links_.Tick();
  if (applied_drain_version_ != config_.version()) {
    applied_drain_version_ = config_.version();
    for (membership::worker_index worker = 0; worker < workers_.size(); ++worker) {
      if (!workers_.identity(worker).id.empty()) ApplyDrain(worker);
    }
  }
  const core::mono_time now = time_.Now();
  if (now < next_forget_) return;
  next_forget_ = now + kForgetInterval;
  metrics_.GetGauge("coltsfoot_workers")
      .Set(static_cast<std::int64_t>(workers_.CountDispatchable(now)));
  for (const membership::worker_index worker : workers_.Forget(now)) {
    spdlog::info("event=worker_forgotten worker={}", worker_names_[worker]);
    listeners_.on_forgotten(worker);
    links_.Forget(worker_names_[worker]);
    worker_names_[worker].clear();
  }
}

}  // namespace coltsfoot::entry
