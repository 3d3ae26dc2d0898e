#include "agent/controller.h"

#include <spdlog/spdlog.h>

#include <limits>
#include <optional>
#include <set>
#include <utility>

#include "admission_gate.h"
#include "agent/capacity_ledger.h"
#include "entry_directory.h"
#include "event_outbox.h"
#include "heartbeat_contacts.h"
#include "heartbeat_log.h"
#include "request_manager.h"
#include "target_monitor.h"
#include "task_manager.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;
using wire::message_type;

// A shutdown waits at most this long beyond the lease time. By then all leases have expired and the
// target has stopped all tasks. The next agent process reads unacknowledged events from the target
// and sends them.
constexpr core::milliseconds kShutdownSlack{5000};
// With 3 heartbeat intervals, the list that an entry sent stays valid when two acks are lost.
constexpr int kListHeartbeats = 3;
// The name is kept for as long as its connection.
constexpr std::size_t kMaxProcessNameBytes = 256;

}  // namespace

class controller::impl {
 public:
  impl(const agent_options& options, const core::clock& time, metrics::registry& metrics,
       target_client& target, entry_link& link)
      : options_(options),
        time_(time),
        metrics_(metrics),
        link_(link),
        heartbeats_(options.lease_ttl),
        entries_(options.entries, options.heartbeat * kListHeartbeats),
        gate_(time, heartbeats_, state_),
        outbox_(time, link, entries_),
        tasks_(time, metrics, options.lease_ttl, ledger_, state_, gate_, entries_, outbox_, target),
        requests_(time, metrics, ledger_, state_, entries_, target, link),
        monitor_(time, metrics, options.announce_timeout, state_, ledger_, tasks_, requests_,
                 target, [this](const target_event& event) { SendUsage(event); }) {
    state_.worker = options.worker;
    state_.incarnation = options.incarnation;
  }

  void OnFrame(connection_id from, const wire::raw_message& message) {
    if (message.type != message_type::hello && entries_.ProcessOf(from).empty()) {
      DropPeer(from, "no_hello");
      return;
    }
    switch (message.type) {
      case message_type::hello:
        HandleDecoded<wire::hello>(from, message, [&](auto value) { HandleHello(from, value); });
        break;
      case message_type::dispatch_request:
        HandleDecoded<wire::dispatch_request>(from, message, [&](auto value) {
          ApplyPolicy(value.policy);
          const auto refusal = gate_.RefusalReason(value.token, value.config);
          requests_.Dispatch(from, std::move(value), refusal);
        });
        break;
      case message_type::cancel_request:
        HandleDecoded<wire::cancel_request>(from, message,
                                            [&](auto value) { requests_.Cancel(from, value); });
        break;
      case message_type::start_task:
        HandleDecoded<wire::start_task>(from, message, [&](auto value) {
          ApplyPolicy(value.policy);
          tasks_.Start(from, value);
        });
        break;
      case message_type::control_task:
        HandleDecoded<wire::control_task>(from, message,
                                          [&](auto value) { tasks_.Control(from, value); });
        break;
      case message_type::adopt_shard:
        HandleDecoded<wire::adopt_shard>(from, message,
                                         [&](auto value) { HandleAdoptShard(from, value); });
        break;
      case message_type::event_ack:
        HandleDecoded<wire::event_ack>(from, message, [&](auto value) { Acknowledge(value); });
        break;
      default:
        DropPeer(from, "unknown_message");
    }
    SendHeartbeatOnChange();
  }

  void OnDisconnected(connection_id connection) {
    if (entries_.ProcessOf(connection).empty()) return;
    spdlog::info("event=entry_disconnected entry={}", entries_.ProcessOf(connection));
    entries_.RemoveConnection(connection);
    requests_.OnDisconnected(connection);
  }

  void OnDatagram(const wire::endpoint& from, const wire::raw_message& message) {
    core::last_error error;
    auto ack = wire::FromRaw<wire::heartbeat_ack>(message, error);
    if (!ack) {
      CountDrop("bad_datagram");
      return;
    }
    if (ack->incarnation != options_.incarnation) {
      CountDrop("other_incarnation");
      return;
    }
    using ack_use = heartbeat_contacts::ack_use;
    const ack_use use = contacts_.OnAck(from, *ack);
    if (use == ack_use::ignored) return;
    if (use == ack_use::send_description) {
      SendDescription(from);
      return;
    }
    ApplyPolicy(ack->policy);
    usage_interval_ = core::milliseconds{ack->usage_interval_ms};
    if (use == ack_use::unknown_lists) {
      CountDrop("unknown_lists");
      SendHeartbeatOnChange();
      return;
    }
    entries_.SetEndpoints(ack->entry, ack->entries, time_.Now());
    const auto lease_until = heartbeats_.LeaseEnd(ack->seq, time_.Now());
    if (lease_until) {
      tasks_.ExtendLeases(ack->entry, ack->shards, *lease_until);
    } else {
      CountDrop("late_ack");
    }
    SendHeartbeatOnChange();
  }

  void OnAnnounce(const target_announcement& announcement) {
    monitor_.Announce(announcement);
    SendHeartbeatOnChange();
  }

  void OnGoodbye(const std::string& instance) {
    monitor_.Goodbye(instance);
    SendHeartbeatOnChange();
  }

  void Tick() {
    monitor_.Tick();
    tasks_.Tick();
    requests_.Tick();
    outbox_.Tick();
    SendHeartbeatOnChange();
    if (time_.Now() >= next_heartbeat_) SendHeartbeat();
  }

  void BeginShutdown() {
    if (state_.stopping) return;
    state_.stopping = true;
    shutdown_limit_ = time_.Now() + options_.lease_ttl + kShutdownSlack;
    const std::string goodbye =
        wire::ToDatagram(wire::agent_goodbye{options_.worker, options_.incarnation});
    for (const auto& entry : entries_.HeartbeatReceivers(time_.Now())) {
      link_.SendDatagram(entry, goodbye);
    }
    tasks_.EvictAll();
    SendHeartbeatOnChange();
  }

  bool finished() const {
    if (!state_.stopping) return false;
    return (tasks_.idle() && requests_.idle() && outbox_.empty()) || time_.Now() >= shutdown_limit_;
  }

 private:
  /// State whose changes are sent to entries at once, not with the next periodic heartbeat.
  struct reported_state {
    bool recovering = true;
    bool target_live = false;
    bool draining = false;
    std::size_t waiting_for_room = 0;
    bool operator==(const reported_state&) const = default;
  };

  template <class Message, class Handler>
  void HandleDecoded(connection_id from, const wire::raw_message& raw, Handler handle) {
    core::last_error error;
    auto message = wire::FromRaw<Message>(raw, error);
    if (message) {
      handle(std::move(*message));
    } else {
      DropPeer(from, "bad_message");
    }
  }

  void DropPeer(connection_id from, std::string_view reason) {
    CountDrop(reason);
    link_.Close(from);
    OnDisconnected(from);
  }

  void HandleHello(connection_id from, const wire::hello& message) {
    if (message.process.empty() || message.process.size() > kMaxProcessNameBytes) {
      DropPeer(from, "no_hello");
      return;
    }
    // A start_task that is still unread on a former connection must not be read after this
    // connection's adopt_shard, whose report tells the owner that the assignment does not run.
    for (const connection_id former : entries_.ConnectionsOf(message.process)) {
      if (former != from) DropPeer(former, "replaced_connection");
    }
    spdlog::info("event=entry_connected entry={}", message.process);
    entries_.Identify(from, message.process);
    outbox_.ResendTo(from);
  }

  void ApplyPolicy(const std::optional<wire::agent_policy>& policy) {
    const core::config_version before = state_.policy.version;
    gate_.ApplyPolicy(policy);
    if (state_.policy.version == before) return;
    ledger_.SetHeadroom(state_.policy.latency_critical_headroom);
    metrics_.GetGauge("coltsfoot_agent_config_version")
        .Set(static_cast<std::int64_t>(state_.policy.version));
  }

  void HandleAdoptShard(connection_id from, const wire::adopt_shard& message) {
    wire::shard_report report = tasks_.AdoptShard(from, message);
    report.worker = options_.worker;
    report.incarnation = options_.incarnation;
    link_.SendFrame(from, wire::ToFrame(report));
    if (report.code == result_code::ok) outbox_.ResendShard(message.shard);
  }

  void Acknowledge(const wire::event_ack& ack) {
    if (ack.incarnation != options_.incarnation || !outbox_.Acknowledge(ack.event_id)) {
      CountDrop("unknown_ack");
    }
  }

  // Each report is a complete snapshot, so skipping one does not invalidate the others.
  void SendUsage(const target_event& event) {
    const core::mono_time now = time_.Now();
    if (now < last_usage_ + usage_interval_) {
      metrics_.GetCounter("coltsfoot_agent_usage_reports_skipped_total").Add();
      return;
    }
    last_usage_ = now;
    const std::string frame = wire::ToFrame(
        wire::usage_report{options_.worker, event.age_ms, event.samples, ledger_.free()});
    for (const connection_id connection : entries_.Connections()) {
      link_.SendFrame(connection, frame);
    }
  }

  void SendHeartbeatOnChange() {
    const reported_state now{state_.recovering, state_.target_live, state_.draining(),
                             tasks_.waiting_for_room()};
    if (now == reported_) return;
    if (now.draining != reported_.draining) {
      spdlog::info("event={} tasks={}", now.draining ? "draining" : "drain_ended", tasks_.size());
    }
    reported_ = now;
    SendHeartbeat();
  }

  /// @return a heartbeat with the current state and the description, without its sequence number.
  wire::agent_heartbeat ComposeHeartbeat() {
    wire::agent_heartbeat heartbeat;
    heartbeat.worker = options_.worker;
    heartbeat.incarnation = options_.incarnation;
    heartbeat.agent_tcp = options_.tcp;
    heartbeat.region = options_.region;
    heartbeat.zone = options_.zone;
    heartbeat.rack = options_.rack;
    heartbeat.total = ledger_.total();
    heartbeat.free = ledger_.free();
    heartbeat.evictable = tasks_.Evictable();
    heartbeat.slots_total = ledger_.slots_total();
    heartbeat.slots_free = ledger_.slots_free();
    heartbeat.connections_total = ledger_.connections_total();
    heartbeat.connections_free = ledger_.connections_free();
    heartbeat.running_tasks = static_cast<std::uint32_t>(tasks_.size());
    heartbeat.config = state_.policy.version;
    heartbeat.recovering = state_.recovering;
    heartbeat.draining = state_.draining();
    if (state_.target_live) heartbeat.services = requests_.Loads();
    // The largest values, so that the datagram also fits with the numbers that are set later.
    heartbeat.seq = heartbeat.description = std::numeric_limits<std::uint32_t>::max();
    while (!heartbeat.services.empty() && wire::ToDatagram(heartbeat).empty()) {
      CountDrop("service_not_announced");
      heartbeat.services.pop_back();
    }
    return heartbeat;
  }

  void SendHeartbeat() {
    SetGauges();
    wire::agent_heartbeat heartbeat = ComposeHeartbeat();
    heartbeat.seq = last_seq_ = heartbeats_.Add(time_.Now());
    next_heartbeat_ = time_.Now() + options_.heartbeat;
    const std::set<wire::endpoint> receivers = entries_.HeartbeatReceivers(time_.Now());
    contacts_.BeginRound(heartbeat, receivers);
    for (const wire::endpoint& entry : receivers) {
      link_.SendDatagram(entry, contacts_.Datagram(heartbeat, entry));
    }
  }

  // Reuses the sequence number of the last round, which this entry has ignored. A new number would
  // make the other entries assume that a heartbeat interval has passed.
  void SendDescription(const wire::endpoint& to) {
    wire::agent_heartbeat heartbeat = ComposeHeartbeat();
    if (!contacts_.HasCurrentDescription(heartbeat)) {
      SendHeartbeat();
      return;
    }
    heartbeat.seq = last_seq_;
    heartbeat.description = contacts_.description();
    link_.SendDatagram(to, contacts_.Datagram(heartbeat, to));
  }

  void SetGauges() {
    const auto set = [this](std::string_view name, std::size_t value) {
      metrics_.GetGauge(name).Set(static_cast<std::int64_t>(value));
    };
    set("coltsfoot_agent_tasks", tasks_.size());
    set("coltsfoot_agent_requests_queued", requests_.queued());
    set("coltsfoot_agent_events_waiting", outbox_.size());
    set("coltsfoot_agent_event_bytes_waiting", outbox_.bytes());
    set("coltsfoot_agent_slots_free", ledger_.slots_free());
    metrics_.GetGauge("coltsfoot_agent_cpu_committed_millis").Set(ledger_.committed().cpu_millis);
    metrics_.GetGauge("coltsfoot_agent_memory_committed_mb").Set(ledger_.committed().memory_mb);
  }

  void CountDrop(std::string_view reason) {
    metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", reason}).Add();
  }

  const agent_options options_;
  const core::clock& time_;
  metrics::registry& metrics_;
  entry_link& link_;
  worker_state state_;
  heartbeat_log heartbeats_;
  heartbeat_contacts contacts_;
  std::uint64_t last_seq_ = 0;
  capacity_ledger ledger_;
  entry_directory entries_;
  admission_gate gate_;
  event_outbox outbox_;
  task_manager tasks_;
  request_manager requests_;
  target_monitor monitor_;
  reported_state reported_;
  core::mono_time next_heartbeat_;
  core::mono_time last_usage_;
  core::milliseconds usage_interval_{0};
  core::mono_time shutdown_limit_;
};

controller::controller(const agent_options& options, const core::clock& time,
                       metrics::registry& metrics, target_client& target, entry_link& link)
    : impl_(std::make_unique<impl>(options, time, metrics, target, link)) {}

controller::~controller() = default;

void controller::OnFrame(connection_id from, const wire::raw_message& message) {
  impl_->OnFrame(from, message);
}

void controller::OnDisconnected(connection_id connection) { impl_->OnDisconnected(connection); }

void controller::OnDatagram(const wire::endpoint& from, const wire::raw_message& message) {
  impl_->OnDatagram(from, message);
}

void controller::OnAnnounce(const target_announcement& announcement) {
  impl_->OnAnnounce(announcement);
}

void controller::OnGoodbye(const std::string& instance) { impl_->OnGoodbye(instance); }

void controller::Tick() { impl_->Tick(); }

void controller::BeginShutdown() { impl_->BeginShutdown(); }

bool controller::finished() const { return impl_->finished(); }

}  // namespace coltsfoot::agent
