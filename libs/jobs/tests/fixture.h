#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/coordinator.h"
#include "jobs/records.h"
#include "metrics/registry.h"
#include "store/versioned_store.h"
#include "wire/codec.h"

namespace coltsfoot::jobs::testing {

using core::milliseconds;

/// Store in memory. Answers wait until `Pump`, so that tests can act between a call and its answer.
class memory_store final : public store::versioned_store {
 public:
  /// How `Commit` treats writes. In the last two modes its caller gets no answer: with
  /// `answer_lost` the write is applied, with `write_lost` it is not.
  enum class write_mode : std::uint8_t { normal, refused, answer_lost, write_lost };

  void Get(std::string key, handler<store::get_result> done) override {
    Enqueue([this, key = std::move(key), done = std::move(done)] {
      if (down) return done({store::kv_status::unknown, std::nullopt});
      const auto it = entries.find(key);
      if (it == entries.end()) {
        return done({store::kv_status::not_found, std::nullopt, revision});
      }
      done({store::kv_status::ok, it->second, revision});
    });
  }
  void ReadAll(std::string prefix, handler<store::range_result> done) override {
    Enqueue([this, prefix = std::move(prefix), done = std::move(done)] {
      if (down) return done({store::kv_status::unknown, {}, 0});
      store::range_result result{store::kv_status::ok, {}, revision};
      for (const auto& [key, entry] : entries) {
        if (key.starts_with(prefix)) result.entries.push_back(entry);
      }
      done(std::move(result));
    });
  }
  void Commit(store::transaction writes, handler<store::commit_result> done) override {
    ++commits;
    Enqueue([this, writes = std::move(writes), done = std::move(done)] { done(Apply(writes)); });
  }
  void WatchChanges(store::watch_request request, handler<store::change_batch> done) override {
    watches.push_back({std::move(request.prefix), request.since, request.timeout, std::move(done)});
  }
  void GrantLease(milliseconds, handler<store::lease_result> done) override {
    Enqueue([this, done = std::move(done)] {
      done(down ? store::lease_result{store::kv_status::unknown, 0}
                : store::lease_result{store::kv_status::ok, ++last_lease});
    });
  }
  void RenewLease(store::lease_id lease, handler<store::lease_result> done) override {
    Enqueue([this, lease, done = std::move(done)] {
      if (down) return done({store::kv_status::unknown, lease});
      done({lease_expired ? store::kv_status::not_found : store::kv_status::ok, lease});
    });
  }
  void RevokeLease(store::lease_id lease, handler<store::lease_result> done) override {
    ended_leases.push_back(lease);
    Enqueue([lease, done = std::move(done)] { done({store::kv_status::ok, lease}); });
  }

  /// Answers all pending calls, including those that the answers cause.
  void Pump() {
    while (!waiting.empty()) {
      auto next = std::move(waiting.front());
      waiting.pop_front();
      next();
    }
  }

  void Put(const std::string& key, const std::string& value) {
    entries[key] = {key, ++revision, value};
  }

  struct watch {
    std::string prefix;
    std::uint64_t since = 0;
    milliseconds timeout{0};
    handler<store::change_batch> done;
  };

  bool down = false;
  bool lease_expired = false;
  bool hide_present = false;  ///< the answers to conflicts are above their limit
  write_mode mode = write_mode::normal;
  std::uint64_t revision = 10;
  std::uint64_t last_lease = 0;
  int commits = 0;
  std::map<std::string, store::kv_entry> entries;
  std::vector<watch> watches;
  std::vector<store::lease_id> ended_leases;
  std::deque<std::function<void()>> waiting;

 private:
  void Enqueue(std::function<void()> task) { waiting.push_back(std::move(task)); }

  store::commit_result Apply(const store::transaction& writes) {
    if (down || mode == write_mode::write_lost) return {store::kv_status::unknown, 0, {}};
    if (mode == write_mode::refused) return {store::kv_status::refused, 0, {}};
    bool holds = true;
    store::commit_result result{store::kv_status::conflict, 0, {}};
    for (const auto& each : writes.expect) {
      const auto it = entries.find(each.key);
      const store::key_version present = it == entries.end() ? 0 : it->second.version;
      holds = holds && present == each.version;
      if (it != entries.end()) result.present.push_back(it->second);
    }
    if (!holds && hide_present) result.present.clear();
    if (!holds) return result;
    ++revision;
    for (const auto& put : writes.puts) entries[put.key] = {put.key, revision, put.value};
    for (const auto& key : writes.deletes) entries.erase(key);
    if (mode == write_mode::answer_lost) return {store::kv_status::unknown, 0, {}};
    return {store::kv_status::ok, revision, {}};
  }
};

/// Records the messages that a coordinator sends to agents.
class recording_agent_link final : public agent_link {
 public:
  void Connect(const std::string& agent, const std::string& address) override {
    addresses[agent] = address;
  }
  void Forget(const std::string& agent) override { addresses.erase(agent); }
  void ForgetAll() override { addresses.clear(); }
  void Send(const std::string& agent, const lease_grant& message) override {
    grants.emplace_back(agent, message);
  }
  void Send(const std::string& agent, const worker_commands& message) override {
    commands.emplace_back(agent, message);
  }

  /// @return the start commands since the last call, each with its agent. Drops all other commands.
  std::vector<std::pair<std::string, start_command>> TakeStarts() {
    std::vector<std::pair<std::string, start_command>> out;
    for (const auto& [agent, message] : commands) {
      for (const start_command& start : message.starts) out.emplace_back(agent, start);
    }
    commands.clear();
    return out;
  }

  std::map<std::string, std::string> addresses;
  std::vector<std::pair<std::string, lease_grant>> grants;
  std::vector<std::pair<std::string, worker_commands>> commands;
};

/// Authority whose answers the test sets.
class fixed_authority final : public term_authority {
 public:
  bool MayStart() const override { return may_start; }
  bool MayExtend() const override { return may_extend; }
  void OnDeposed() override { deposed = true; }

  bool may_start = true;
  bool may_extend = true;
  bool deposed = false;
};

inline queue_config TestQueue() {
  return {.name = "q",
          .host = "h.example",
          .prefix = "/q/",
          .service = "svc",
          .priority = 0,
          .attempts = 2,
          .stretch = 2.0,
          .objective_ms = 500};
}

inline step_spec TestStep(std::uint32_t count, std::int64_t cpu_millis = 1000) {
  return {.count = count, .need = {cpu_millis, 100, 0}, .estimate_ms = 1000};
}

/// Bound of run numbers in the store when a `coordinator_fixture` begins.
inline constexpr std::uint32_t kRunBound = 1000;

/// A coordinator in its first term. The test sends the reports of the workers.
struct coordinator_fixture {
  coordinator_fixture() {
    storage.Put(std::string(kRunBoundKey), wire::EncodeValue(run_bound_record{kRunBound}));
    storage.Put(std::string(kLeaderKey), "leader");
    term = storage.revision;
    control.SetQueues(std::make_shared<queue_catalogue>(
        1, std::vector<queue_config>{TestQueue()}, std::vector<service_config>{{"svc", false}}));
  }

  /// Begins a term in which these agents are connected and have reported.
  void Begin(const std::vector<std::string>& agents) {
    for (const std::string& agent : agents) storage.Put(AgentKey(agent), "10.0.0.1:7000");
    BeginFromStore();
    for (const std::string& agent : agents) {
      control.OnAgentConnected(agent);
      Report(agent);
    }
  }

  /// Begins a term with the contents of the store.
  void BeginFromStore() {
    std::vector<store::kv_entry> inbox;
    std::vector<store::kv_entry> progress;
    for (const auto& [key, entry] : storage.entries) {
      if (key.starts_with(kInboxPrefix)) inbox.push_back(entry);
      if (key.starts_with(kProgressPrefix)) progress.push_back(entry);
    }
    control.BeginTerm(term, inbox, progress);
  }

  void Submit(const std::string& id, std::vector<step_spec> steps) {
    const job_record record{.queue = "q",
                            .service = "svc",
                            .attempts = 2,
                            .accepted_wall_ms = time.WallNow().time_since_epoch().count(),
                            .spec = {"payload", std::move(steps)}};
    storage.Put(JobKey(id), wire::EncodeValue(record));
    control.OnInboxChange({JobKey(id), storage.entries.at(JobKey(id))});
  }

  void Cancel(const std::string& id) {
    storage.Put(CancelKey(id), "1");
    control.OnInboxChange({CancelKey(id), storage.entries.at(CancelKey(id))});
  }

  /// @return the next report of a worker, for the test to change.
  worker_report& Worker(const std::string& agent) {
    const auto [it, added] = reports.try_emplace(agent);
    if (added) {
      it->second = {.agent = agent,
                    .agent_incarnation = 1,
                    .term = term,
                    .sent_ms = 5,
                    .commands_seen = 1'000'000,
                    .state = target_state::ready,
                    .incarnation = {"target-" + agent, 1},
                    .service = "svc",
                    .zone = "z",
                    .labels = {},
                    .capacity = {16'000, 64'000, 0},
                    .listed = true};
    }
    return it->second;
  }

  void Report(const std::string& agent) { control.OnReport(Worker(agent)); }

  /// Executes all commands on the workers, then sends the report of each worker.
  void RunCommands() {
    for (const auto& [agent, message] : agents.commands) {
      for (const start_command& start : message.starts) {
        Worker(agent).running.push_back({.task = start.facts.run.task, .run = start.facts.run.run});
      }
      for (const run_id& stop : message.stops) End(agent, stop, end_reason::stopped);
    }
    agents.commands.clear();
    for (const auto& [agent, report] : reports) Report(agent);
  }

  /// Ends a run on a worker. The end is part of the worker's next report.
  void End(const std::string& agent, const run_id& run, end_reason reason,
           const std::string& checkpoint = "") {
    worker_report& worker = Worker(agent);
    std::erase_if(worker.running, [&](const running_task& each) {
      return each.task == run.task && each.run == run.run;
    });
    worker.ended.push_back({.number = ++last_end,
                            .task = run.task,
                            .run = run.run,
                            .reason = reason,
                            .checkpoint = checkpoint});
  }

  /// Advances the clock, ticks, answers all calls of the store and ticks again.
  void Tick(milliseconds step = milliseconds{10}) {
    time.Advance(step);
    control.Tick();
    storage.Pump();
    control.Tick();
  }

  core::manual_clock time;
  metrics::registry metrics;
  memory_store storage;
  recording_agent_link agents;
  fixed_authority authority;
  std::uint64_t term = 0;
  std::uint64_t last_end = 0;
  std::map<std::string, worker_report> reports;
  coordinator control{{}, time, metrics, agents, storage, authority};
};

}  // namespace coltsfoot::jobs::testing
