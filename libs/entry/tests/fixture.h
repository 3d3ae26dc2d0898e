#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "claim_controller.h"
#include "config_controller.h"
#include "memory_store.h"
#include "request_router.h"
#include "task_controller.h"
#include "wire/frame.h"

namespace coltsfoot::entry {

/// Gateway that records the messages to all workers.
class mock_agents final : public agent_gateway {
 public:
  bool Send(const std::string& worker, std::string frame) override {
    if (!connected) return false;
    core::last_error error;
    const auto header = wire::ParseFrameHeader(frame, error);
    sent.emplace_back(worker,
                      wire::raw_message{header->type, frame.substr(wire::kFrameHeaderBytes)});
    return true;
  }

  /// @return the recorded messages of one type with their workers, oldest first.
  template <class Message>
  std::vector<std::pair<std::string, Message>> Sent() const {
    std::vector<std::pair<std::string, Message>> out;
    core::last_error error;
    for (const auto& [worker, raw] : sent) {
      if (raw.type == Message::kType) {
        out.emplace_back(worker, *wire::FromRaw<Message>(raw, error));
      }
    }
    return out;
  }

  bool connected = true;
  std::vector<std::pair<std::string, wire::raw_message>> sent;
};

/// The controllers of one entry with an in-memory store, three workers and a manual clock.
struct fixture : ledger::shard_listener {
  static constexpr core::milliseconds kTick{20};
  static constexpr core::shard_index kShard = 0;
  static constexpr std::uint64_t kIncarnation = 7;

  explicit fixture(ledger::memory_store* shared = nullptr, core::manual_clock* clock = nullptr,
                   const std::string& id = "entry-1")
      : own_store(own_time),
        time(clock != nullptr ? *clock : own_time),
        store(shared != nullptr ? *shared : own_store),
        kv(store),
        options(Options(id)),
        config(kv, time, random, metrics),
        ledger(LedgerOptions(id), kv, time, random, metrics, *this),
        router(
            workers, config, quarantine, agents, [this] { return tasks.scheduler().view(); },
            "zone-a", time, random, metrics),
        tasks(options, ledger, workers, config, quarantine, interference, agents, time, random,
              metrics),
        claims(ledger, router, time, metrics) {}

  static entry_options Options(const std::string& id) {
    entry_options out;
    out.id = id;
    out.shard_count = 1;
    return out;
  }
  static ledger::ledger_options LedgerOptions(const std::string& id) {
    ledger::ledger_options out;
    out.entry = id;
    out.shard_count = 1;
    return out;
  }

  void OnShardOwned(core::shard_index shard) override {
    tasks.OnShardOwned(shard);
    claims.OnShardOwned(shard);
  }
  bool MayHandOver(core::shard_index shard) override { return !claims.IsBusy(shard); }
  void OnShardLost(core::shard_index shard, ledger::shard_loss) override {
    tasks.OnShardLost(shard);
    claims.OnShardLost(shard);
  }
  void OnShardCountMismatch(std::uint32_t) override {}

  void Step() {
    if (advances_clock) time.Advance(kTick);
    store.ExpireLeases();
    kv.Deliver();
    config.Tick();
    ledger.Tick();
    router.Tick();
    claims.Tick();
    tasks.Tick();
    kv.Deliver();
  }
  /// Advances the time in steps of `kTick`; all workers but `silent_worker` send heartbeats.
  void AdvanceTime(core::milliseconds total) {
    for (core::milliseconds done{0}; done < total; done += kTick) {
      if (time.Now() >= next_heartbeat_) SendHeartbeats();
      Step();
    }
  }
  /// Sends one heartbeat of each worker but `silent_worker`.
  void SendHeartbeats() {
    next_heartbeat_ = time.Now() + core::milliseconds{5000};
    seq_ += 1;
    for (const std::string worker : {"w-1", "w-2", "w-3"}) {
      if (silent_worker == worker) continue;
      wire::agent_heartbeat heartbeat;
      heartbeat.worker = worker;
      heartbeat.incarnation = kIncarnation;
      heartbeat.seq = seq_;
      heartbeat.zone = "zone-a";
      heartbeat.rack = worker;
      heartbeat.total = {16000, 60000, 0};
      heartbeat.free = free.value_or(heartbeat.total);
      heartbeat.evictable = evictable;
      heartbeat.slots_total = heartbeat.slots_free = 8;
      heartbeat.connections_total = heartbeat.connections_free = 64;
      heartbeat.config = config.version();
      heartbeat.services = {{"strawline", 0, 0, 1000}};
      workers.OnHeartbeat(heartbeat, time.Now());
    }
  }
  /// Lets the entry read its configuration, acquire its shard and learn the workers.
  void Start() { AdvanceTime(core::milliseconds{1000}); }

  /// Submits a task and waits until it is recorded and assigned.
  std::string SubmitTask(const std::string& task = kTask) {
    ledger::task_spec spec;
    spec.task = task;
    spec.team = "mills";
    spec.task_class = "plan";
    spec.need = {1000, 1000, 0};
    spec.request_digest = 1;
    spec.submitted_wall_ms = time.WallNow().time_since_epoch().count();
    tasks.Submit(kShard, spec, [this](const core::error_reason& reason) { submitted = reason; });
    AdvanceTime(core::milliseconds{400});
    return task;
  }
  wire::start_task LastStart() const { return agents.Sent<wire::start_task>().back().second; }
  std::string LastWorker() const { return agents.Sent<wire::start_task>().back().first; }
  wire::task_event Event(wire::task_event_kind kind) const {
    const wire::start_task start = LastStart();
    wire::task_event out;
    out.worker = LastWorker();
    out.incarnation = kIncarnation;
    out.event_id = 1;
    out.shard = kShard;
    out.task = start.task;
    out.epoch = start.epoch;
    out.kind = kind;
    return out;
  }
  const ledger::task_entry& Entry(const std::string& task = kTask) const {
    return *ledger.Table(kShard)->FindTask(task);
  }

  service_request Request(std::optional<request_outcome>& outcome, bool idempotent = true,
                          const std::string& body = "body") {
    return {.service = "strawline",
            .team = "mills",
            .idempotent = idempotent,
            .deadline = time.Now() + core::milliseconds{1000},
            .body = body,
            .done = [&outcome](request_outcome got) { outcome = std::move(got); }};
  }
  /// Answers a dispatch, selected by its position among all dispatches.
  void Reply(std::size_t position, core::result_code code, const std::string& body = "answer") {
    const auto [worker, dispatch] = agents.Sent<wire::dispatch_request>().at(position);
    wire::request_reply reply;
    reply.request_id = dispatch.request_id;
    reply.attempt = dispatch.attempt;
    reply.code = code;
    reply.body = body;
    reply.digest = core::StableHash(body);
    router.OnReply(worker, reply);
  }
  std::size_t Dispatches() const { return agents.Sent<wire::dispatch_request>().size(); }

  static constexpr const char* kTask = "t00-0000000000000001";
  core::manual_clock own_time;
  ledger::memory_store own_store;
  core::manual_clock& time;
  ledger::memory_store& store;
  bool advances_clock = true;
  std::string silent_worker;            ///< worker that sends no heartbeats
  std::optional<core::resources> free;  ///< free resources of each worker; default: all
  core::resources evictable;            ///< evictable resources of each worker
  ledger::memory_client kv;
  core::seeded_random random{20261204};
  metrics::registry metrics;
  entry_options options;
  config_controller config;
  membership::worker_table workers;
  interference::model interference;
  blame::quarantine quarantine;
  mock_agents agents;
  ledger::shard_manager ledger;
  request_router router;
  task_controller tasks;
  claim_controller claims;
  core::error_reason submitted;

 private:
  core::mono_time next_heartbeat_{};
  std::uint64_t seq_ = 0;
};

}  // namespace coltsfoot::entry
