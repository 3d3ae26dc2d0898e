#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_queue.h"
#include "fixture.h"
#include "jobs/coordinator.h"
#include "metrics/registry.h"
#include "runner/runner.h"
#include "simulated_target.h"

namespace coltsfoot::simulation {

/// A coordinator, its store, and workers that each have an agent and a target. Messages between
/// coordinator and agents arrive in order while their connection lasts.
class simulated_fleet {
 public:
  simulated_fleet(std::size_t workers, std::uint64_t seed);
  ~simulated_fleet();

  std::size_t workers() const noexcept { return workers_.size(); }
  core::random_source& random() noexcept { return random_; }
  core::mono_time now() const { return time_.Now(); }
  simulated_target& target(std::size_t index) { return *workers_[index]->target; }
  const run_history& history() const noexcept { return history_; }

  void Submit(const std::string& job, std::uint32_t tasks);
  void Cancel(const std::string& job);
  /// @return the state that the coordinator shows, or nothing while there is none.
  std::optional<jobs::job_state> StateOf(const std::string& job) const;
  /// Ends the agent's process; the next one starts after `downtime`.
  void RestartAgent(std::size_t index, milliseconds downtime);
  /// Closes the connection between the coordinator and the agent.
  void Disconnect(std::size_t index);
  /// Holds back all messages between the coordinator and the agent; they arrive after `duration`.
  void Cut(std::size_t index, milliseconds duration);
  /// Replaces the coordinator; the next term begins after `downtime`.
  void ReplaceCoordinator(milliseconds downtime);
  /// From now on the coordinator starts tasks by `evacuations()` only.
  void ObserveEvacuations();
  jobs::zone_evacuations& evacuations() noexcept { return evacuations_; }
  /// From now on the first announcement of an incarnation comes up to this long after its start.
  void SetAnnouncementDelay(milliseconds most) { announcement_delay_ = most; }
  void Pass(milliseconds duration);

 private:
  class agent_process;
  struct worker {
    std::string name;
    std::unique_ptr<simulated_target> target;
    std::unique_ptr<agent_process> agent;
    std::uint64_t agent_starts = 0;
    bool wanted = false;           ///< the coordinator wants a connection
    std::uint64_t connection = 0;  ///< number of the open connection; 0: none
    core::mono_time next_dial_at;
    core::mono_time cut_until;
    core::mono_time next_announcement_at;
    std::uint64_t announced_incarnation = 0;
  };
  class connections;

  // Short, so that many starts expire while calls get no answer.
  static constexpr milliseconds kEvacuationBound{2000};

  void BeginTerm();
  void Step();
  milliseconds DrawAnnouncementDelay();
  void Dial(worker& each);
  /// Runs `deliver` when a message that is sent now arrives, if the connection is still open.
  void Deliver(worker& each, std::function<void()> deliver);
  worker& Find(const std::string& name);

  core::manual_clock time_;
  event_queue events_{time_};
  core::seeded_random random_;
  metrics::registry metrics_;
  jobs::testing::memory_store storage_;
  jobs::testing::fixed_authority authority_;
  run_history history_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::unique_ptr<connections> connections_;
  std::unique_ptr<jobs::coordinator> coordinator_;
  jobs::zone_evacuations evacuations_{kEvacuationBound, metrics_};
  bool observes_evacuations_ = false;
  milliseconds announcement_delay_{0};
  std::uint64_t term_ = 0;
  std::uint64_t next_connection_ = 1;
  core::mono_time next_tick_at_;
};

}  // namespace coltsfoot::simulation
