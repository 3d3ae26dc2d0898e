#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "agent/controller.h"
#include "wire/frame.h"

namespace coltsfoot::agent {

/// Target that records calls until the test completes them; PushLeases succeeds at once.
class mock_target final : public target_client {
 public:
  void SetTarget(const wire::endpoint& address) override { addresses.push_back(address); }
  void Start(const task_spec& task, std::function<void(start_result)> done) override {
    starts.push_back({task, std::move(done)});
  }
  void List(std::function<void(std::optional<task_listing>)> done) override {
    lists.push_back(std::move(done));
  }
  void Control(const std::string& task, core::epoch_number epoch, target_action action,
               std::function<void(control_result)> done) override {
    controls.push_back({{task, epoch}, action, std::move(done)});
  }
  void PushLeases(const std::vector<lease_deadline>& leases,
                  std::function<void(bool)> done) override {
    pushes.push_back(leases);
    done(true);
  }
  void PollEvents(std::uint64_t, core::milliseconds,
                  std::function<void(std::optional<event_batch>)> done) override {
    polls.push_back(std::move(done));
  }
  void Run(const service_request& request, std::function<void(service_answer)> done) override {
    runs.push_back({request, std::move(done)});
  }

  struct control_call {
    wire::task_ref task;
    target_action action;
    std::function<void(control_result)> done;
  };
  std::vector<wire::endpoint> addresses;
  std::deque<std::pair<task_spec, std::function<void(start_result)>>> starts;
  std::deque<std::function<void(std::optional<task_listing>)>> lists;
  std::deque<control_call> controls;
  std::vector<std::vector<lease_deadline>> pushes;
  std::deque<std::function<void(std::optional<event_batch>)>> polls;
  std::deque<std::pair<service_request, std::function<void(service_answer)>>> runs;
};

/// Link that records the sent messages and the closed connections.
class mock_link final : public entry_link {
 public:
  bool SendFrame(connection_id to, std::string frame) override {
    core::last_error error;
    const auto header = wire::ParseFrameHeader(frame, error);
    frames.push_back({to, {header->type, frame.substr(wire::kFrameHeaderBytes)}});
    return true;
  }
  void SendDatagram(const wire::endpoint& to, const std::string& datagram) override {
    core::last_error error;
    datagrams.push_back({to, *wire::ParseDatagram(datagram, error)});
  }
  void Close(connection_id connection) override { closed.push_back(connection); }

  std::vector<std::pair<connection_id, wire::raw_message>> frames;
  std::vector<std::pair<wire::endpoint, wire::raw_message>> datagrams;
  std::vector<connection_id> closed;
};

/// Agent with one entry and a target that has 4 processors, 2 slots and 4 connections.
struct fixture {
  static constexpr connection_id kEntry = 1;
  static constexpr std::uint64_t kIncarnation = 42;
  const wire::endpoint entry_udp{"127.0.0.1", 7000};

  fixture() { control.OnFrame(kEntry, Raw(wire::hello{"entry-1"})); }

  template <class Message>
  static wire::raw_message Raw(const Message& message) {
    return {Message::kType, wire::EncodeValue(message)};
  }
  static target_announcement Announcement(std::string instance = "i1") {
    return {"target-1", std::move(instance), {"127.0.0.1", 9000}, {"strawline"}, {4000, 8000, 1}, 2,
            4};
  }

  /// Announces the target and completes the calls by which the agent recovers.
  void Recover(const std::vector<listed_task>& tasks = {},
               const std::vector<target_event>& events = {}, std::string instance = "i1") {
    control.OnAnnounce(Announcement(instance));
    PopFront(target.lists)(task_listing{instance, tasks});
    PopFront(target.polls)(event_batch{instance, 1, events});
    control.Tick();
  }
  template <class Item>
  static Item PopFront(std::deque<Item>& items) {
    Item out = std::move(items.front());
    items.pop_front();
    return out;
  }
  /// Advances the time in ticks of 100 ms.
  /// @param acked the entry acknowledges the newest heartbeat on each tick.
  /// @param announced the target announces itself on each tick.
  void AdvanceTime(core::milliseconds total, bool acked = true, bool announced = true) {
    for (core::milliseconds done{0}; done < total; done += core::milliseconds{100}) {
      time.Advance(core::milliseconds{100});
      if (announced) control.OnAnnounce(Announcement());
      control.Tick();
      if (acked) Ack();
    }
  }
  std::uint64_t LastSeq() const {
    for (auto item = link.datagrams.rbegin(); item != link.datagrams.rend(); ++item) {
      core::last_error error;
      const auto heartbeat = wire::FromRaw<wire::agent_heartbeat>(item->second, error);
      if (heartbeat) return heartbeat->seq;
    }
    return 0;
  }
  wire::liveness_token Token() const { return {kIncarnation, LastSeq()}; }
  void Ack(core::fencing_token fence = 5) {
    wire::heartbeat_ack ack;
    ack.entry = "entry-1";
    ack.incarnation = kIncarnation;
    ack.seq = LastSeq();
    ack.shards = {{3, fence}};
    control.OnDatagram(entry_udp, Raw(ack));
  }
  wire::start_task StartMessage(core::epoch_number epoch = 1, std::string task = kTask) const {
    wire::start_task out;
    out.shard = 3;
    out.fence = 5;
    out.task = std::move(task);
    out.epoch = epoch;
    out.token = Token();
    out.need = {1000, 1000, 0};
    return out;
  }
  void Send(const wire::start_task& message) { control.OnFrame(kEntry, Raw(message)); }
  /// Starts a task and confirms the start as the target.
  void RunTask(core::epoch_number epoch = 1, const std::string& task = kTask) {
    Send(StartMessage(epoch, task));
    PopFront(target.starts).second({start_outcome::started, ""});
  }
  void Request(std::uint64_t id, std::uint32_t deadline_ms = 1000, std::string body = "") {
    wire::dispatch_request out;
    out.request_id = id;
    out.service = "strawline";
    out.deadline_ms = deadline_ms;
    out.token = Token();
    out.config = version;
    out.body = std::move(body);
    control.OnFrame(kEntry, Raw(out));
  }
  void SetPolicy(wire::agent_policy policy) {
    version = policy.version;
    wire::heartbeat_ack ack;
    ack.entry = "entry-1";
    ack.incarnation = kIncarnation;
    ack.seq = LastSeq();
    ack.policy = policy;
    control.OnDatagram(entry_udp, Raw(ack));
  }
  void TargetEvent(target_event event) {
    if (target.polls.empty()) control.Tick();
    PopFront(target.polls)(event_batch{"i1", 2, {std::move(event)}});
  }

  /// @return the sent messages of one type, oldest first.
  template <class Message>
  std::vector<Message> Sent() const {
    std::vector<Message> out;
    core::last_error error;
    for (const auto& [to, raw] : link.frames) {
      if (raw.type == Message::kType) out.push_back(*wire::FromRaw<Message>(raw, error));
    }
    return out;
  }
  /// @return the code of the last task event sent; nothing if its kind is not `kind`.
  std::optional<core::result_code> LastEvent(wire::task_event_kind kind) const {
    const auto events = Sent<wire::task_event>();
    if (events.empty() || events.back().kind != kind) return std::nullopt;
    return events.back().code;
  }
  std::optional<core::result_code> LastReply() const {
    const auto replies = Sent<wire::request_reply>();
    if (replies.empty()) return std::nullopt;
    return replies.back().code;
  }
  wire::agent_heartbeat LastHeartbeat() const {
    core::last_error error;
    return *wire::FromRaw<wire::agent_heartbeat>(link.datagrams.back().second, error);
  }

  static constexpr const char* kTask = "t03-0000000000000001";
  core::config_version version = 0;
  core::manual_clock time;
  metrics::registry metrics;
  mock_target target;
  mock_link link;
  agent_options options{.worker = "worker-1",
                        .tcp = {"127.0.0.1", 7001},
                        .entries = {entry_udp},
                        .incarnation = kIncarnation};
  controller control{options, time, metrics, target, link};
};

}  // namespace coltsfoot::agent
