#pragma once

#include <string>
#include <vector>

#include "placement/types.h"

namespace coltsfoot::placement {

/// Fleet of identical workers. Sends heartbeats with the free capacity as the agents know it. Each
/// rack has three workers, and racks alternate between three zones.
class test_fleet {
 public:
  static constexpr core::resources kWorker{16'000, 60'000, 2};
  static constexpr core::mono_time kStart{std::chrono::hours{1}};

  explicit test_fleet(std::uint32_t workers)
      : free_(workers, kWorker), evictable_(workers), load_(workers) {
    names_.reserve(workers);
    for (std::uint32_t i = 0; i < workers; ++i) names_.push_back("w" + std::to_string(i));
    SendHeartbeats(kStart);
  }

  /// Sends a heartbeat from each worker.
  void SendHeartbeats(core::mono_time now) {
    ++seq_;
    for (std::uint32_t i = 0; i < free_.size(); ++i) SendHeartbeat(i, now);
  }
  void SendHeartbeat(std::uint32_t worker, core::mono_time now) {
    table.OnHeartbeat(Heartbeat(worker), now);
  }
  wire::agent_heartbeat Heartbeat(std::uint32_t worker) const {
    wire::agent_heartbeat message;
    message.worker = names_[worker];
    message.incarnation = 1;
    message.seq = seq_;
    message.zone = "zone" + std::to_string(worker / 3 % 3);
    message.rack = "rack" + std::to_string(worker / 3);
    message.total = kWorker;
    message.free = free_[worker];
    message.evictable = evictable_[worker];
    message.running_tasks = 4;
    message.slots_total = 8;
    message.slots_free = 8;
    message.services = {{"planner", load_[worker], 0, service_us_}};
    return message;
  }
  /// Free capacity as the agent of a worker reports it.
  core::resources& free(std::uint32_t worker) { return free_[worker]; }
  /// Evictable capacity as the agent of a worker reports it.
  core::resources& evictable(std::uint32_t worker) { return evictable_[worker]; }
  /// Requests in flight on a worker.
  std::uint32_t& load(std::uint32_t worker) { return load_[worker]; }
  /// Average service time on all workers, in microseconds.
  std::uint32_t& service_us() { return service_us_; }
  placement_view View() const { return {.workers = &table}; }

  membership::worker_table table;

 private:
  std::vector<std::string> names_;
  std::vector<core::resources> free_;
  std::vector<core::resources> evictable_;
  std::vector<std::uint32_t> load_;
  std::uint32_t service_us_ = 1'000;
  std::uint64_t seq_ = 0;
};

/// Builds a task. Its class depends only on `kind`.
inline task_spec MakeTask(const std::string& task, core::task_kind kind, core::resources need,
                          std::string team = "team",
                          core::mono_time submitted = test_fleet::kStart) {
  task_spec spec;
  spec.task = task;
  spec.team = std::move(team);
  spec.task_class = kind == core::task_kind::batch ? "rerun" : "watch";
  spec.kind = kind;
  spec.need = need;
  spec.submitted = submitted;
  return spec;
}

}  // namespace coltsfoot::placement
