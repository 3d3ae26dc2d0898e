#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/resources.h"

namespace coltsfoot::agent {

/// Tracks the committed processors, memory, accelerators, slots and connections of a worker; no
/// other class commits them. A reservation is made before the work starts and released only when
/// the work is known to have stopped.
class capacity_ledger {
 public:
  /// Sets the capacity that the target offers. Existing reservations are kept even if they no
  /// longer fit.
  void SetTotal(const core::resources& total, std::uint32_t slots, std::uint32_t connections);
  /// Sets the percent of the processors that batch tasks must leave free; 0 lets them use all.
  void SetHeadroom(std::uint32_t percent);

  /// Reserves `need` for a task.
  /// @return false, without any effect, if `need` is invalid or does not fit, or if the task
  /// already has a reservation or a hold.
  bool ReserveTask(const std::string& task, const core::resources& need, core::task_kind kind);
  /// Commits the resources of a task that was found running, even beyond the total. If they exceed
  /// it, nothing else fits until the task has ended.
  void CommitRunningTask(const std::string& task, const core::resources& need);
  /// Releases the reservation of a task, or its hold if it waits for room.
  void ReleaseTask(const std::string& task);

  /// Holds `need` back for a task that waits for room, so that no other task can reserve resources
  /// as they are released. Holds are served in the order of these calls and are not committed.
  /// @return false, without any effect, if `need` is invalid or exceeds the total, or if the task
  /// already has a reservation or a hold.
  bool HoldRoom(const std::string& task, const core::resources& need);
  /// Turns a hold into a reservation.
  /// @return false, without any effect, if the task has no hold or its resources are not free yet.
  bool CommitHold(const std::string& task);
  /// @param releasing resources that are about to be released.
  /// @return resources that must be released in addition to serve all holds; no component is
  /// negative.
  core::resources MissingRoom(const core::resources& releasing) const;

  /// Takes a connection for a request.
  /// @return false if all are in use.
  bool TakeConnection();
  void ReleaseConnection();
  /// Takes a slot for a request that starts.
  /// @return false if all are in use.
  bool TakeSlot();
  void ReleaseSlot();

  const core::resources& total() const noexcept { return total_; }
  const core::resources& committed() const noexcept { return committed_; }
  std::uint32_t slots_total() const noexcept { return slots_total_; }
  std::uint32_t connections_total() const noexcept { return connections_total_; }
  /// @return the resources that are neither committed nor held; no component is negative.
  core::resources free() const;
  std::uint32_t slots_free() const;
  std::uint32_t connections_free() const;

 private:
  struct room_hold {
    std::string task;
    core::resources need;
  };
  bool IsKnown(const std::string& task) const;
  core::resources held() const;

  core::resources total_;
  core::resources committed_;
  std::uint32_t headroom_percent_ = 0;
  std::uint32_t slots_total_ = 0;
  std::uint32_t slots_used_ = 0;
  std::uint32_t connections_total_ = 0;
  std::uint32_t connections_used_ = 0;
  std::map<std::string, core::resources> tasks_;
  std::vector<room_hold> holds_;  ///< in the order in which they are served
};

}  // namespace coltsfoot::agent
