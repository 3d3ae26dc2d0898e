#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/process.h"
#include "harness/relay.h"

namespace coltsfoot::harness {

/// Protocol timings of a test fleet: the defaults of the design page divided by ten, except that
/// the margins stay above the scheduling delay of a busy machine.
struct fleet_timings {
  core::milliseconds heartbeat{500};
  core::milliseconds lease_ttl{1500};
  core::milliseconds lease_margin{300};
  core::milliseconds orphan_grace{6000};
  core::milliseconds store_lease_ttl{1500};
  core::milliseconds commit_interval{20};
  core::milliseconds announce_timeout{3000};
  bool operator==(const fleet_timings&) const = default;

  /// @return time within which the shards of a lost or paused entry get a new owner.
  core::milliseconds TakeoverBound() const { return 2 * store_lease_ttl + kSlack; }
  /// @return time within which a live owner requeues the tasks of a silent worker.
  core::milliseconds ExpiryBound() const { return lease_ttl + lease_margin + heartbeat + kSlack; }
  /// @return same as `ExpiryBound` if the owner of the shard is lost as well.
  core::milliseconds OrphanBound() const { return TakeoverBound() + orphan_grace + ExpiryBound(); }
  /// @return time after which a departed target gets no new work.
  core::milliseconds DepartureBound() const { return announce_timeout + 3 * heartbeat; }
  /// Time for starting processes, scheduling and HTTP on a busy machine.
  static constexpr core::milliseconds kSlack{3000};
};

/// Size and settings of a fleet.
struct fleet_options {
  std::size_t entries = 2;
  std::size_t workers = 3;
  std::size_t regions = 1;  ///< 2: odd entries and workers are in a second, "far" region
  std::vector<std::string> services{"strawline"};
  fleet_timings timings;
  settings_map entry;               ///< additional settings of each entry
  settings_map agent;               ///< additional settings of each agent
  settings_map target;              ///< additional settings of each target
  std::size_t max_descriptors = 0;  ///< hard limit of each entry and agent; 0: that of the test
  bool relayed = false;  ///< puts a relay between agents and entries; always with two regions
};

/// Running fleet: platform, entries, and workers that each have an agent and a target. All
/// processes end with it.
class fleet {
 public:
  /// Starts all processes; `ready` says whether they became ready.
  explicit fleet(fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Waits until each shard has an owner, and each entry is ready and knows `workers` workers with
  /// a target.
  bool WaitReady(core::milliseconds bound = core::milliseconds{15000});

  /// @return base URL of an entry, which stays the same when the entry is restarted.
  std::string Entry(std::size_t index) const { return "http://" + entry_http_[index]; }
  /// @return base URLs of all entries.
  std::vector<std::string> Entries() const;
  /// @return base URL of an agent, which stays the same when the agent is restarted.
  std::string Agent(std::size_t index) const { return "http://" + agent_http_[index]; }
  /// @return base URL of the stand-in for the key-value service.
  const std::string& Store() const { return store_; }
  /// @return "IP:PORT" of the port for peers of an entry or an agent.
  const std::string& EntryTcpEndpoint(std::size_t index) const { return entry_tcp_[index]; }
  const std::string& AgentTcpEndpoint(std::size_t index) const { return agent_tcp_[index]; }
  /// @return "IP:PORT" to which an entry's heartbeats are sent.
  const std::string& EntryUdpEndpoint(std::size_t index) const { return entry_udp_[index]; }
  process& entry_process(std::size_t index) { return *entries_[index]; }
  process& agent_process(std::size_t index) { return *agents_[index]; }
  process& target_process(std::size_t index) { return *targets_[index]; }
  process& platform_process() { return *platform_; }
  /// @return ids such as "entry-0", "worker-0".
  static std::string EntryId(std::size_t index) { return "entry-" + std::to_string(index); }
  static std::string WorkerId(std::size_t index) { return "worker-" + std::to_string(index); }
  /// @return the index in the id of a worker.
  static std::size_t WorkerIndex(const std::string& id);

  /// Starts a process, or starts it again with the ports it had.
  void StartEntry(std::size_t index);
  void StartAgent(std::size_t index);
  void StartTarget(std::size_t index);
  /// Starts one more entry; the agents get its address from the other entries.
  void AddEntry();
  /// Kills a target and records that its work has ended.
  void KillTarget(std::size_t index);
  /// Kills the agent and the target of a worker, as the loss of a host does.
  void KillWorker(std::size_t index);

  /// Sets fault switches of the platform or of a target; `faults` is JSON.
  void PlatformFaults(const std::string& faults);
  void TargetFaults(std::size_t index, const std::string& faults);

  /// Cuts the far region from the other one and from the store, or ends the cut.
  void CutRegions(bool cut);

  /// @return the entry that owns the shard of a task or key, or nothing if there is none.
  std::optional<std::size_t> OwnerOf(std::uint32_t shard);

  caller& calls() { return calls_; }
  history_log& history() { return history_; }
  relay& links() { return relay_; }
  const fleet_timings& timings() const { return options_.timings; }
  /// @return the lines of the targets' ground truth that contain all of `texts`.
  std::vector<std::string> Truth(const std::vector<std::string>& texts) const;
  /// @return what the history checker finds in the ground truth and the callers' history.
  /// `strict_resume` as in history::bounds.
  std::vector<std::string> Violations(bool strict_resume = false) const;
  const std::filesystem::path& directory() const { return directory_; }

 private:
  std::vector<std::string> EntryUdp(std::size_t agent);
  bool IsFar(std::size_t index) const;
  void RelayEntry(std::size_t index);

  fleet_options options_;
  std::filesystem::path directory_;
  history_log history_;
  caller calls_;
  relay relay_;
  std::unique_ptr<process> platform_;
  std::string store_;
  std::vector<std::string> entry_http_, entry_tcp_, entry_udp_;
  std::vector<std::string> agent_http_, agent_tcp_, agent_udp_;
  std::vector<std::vector<std::string>> relayed_udp_;
  std::vector<std::string> target_http_;
  std::vector<std::unique_ptr<process>> entries_, agents_, targets_;
};

}  // namespace coltsfoot::harness
