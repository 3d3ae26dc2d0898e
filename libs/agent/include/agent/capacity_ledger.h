#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/resources.h"

namespace coltsfoot::agent {

/// The only place that commits a worker's processors, memory, accelerators, slots and
/// connections. Each reservation is made before the work starts and released only when it is
/// known to have stopped.
class capacity_ledger {
 public:
  /// Sets what the target offers. Existing reservations stay, also when they no longer fit.
  void SetTotal(const core::resources& total, std::uint32_t slots, std::uint32_t connections);
  /// Sets the percent of the processors that batch tasks must leave free; 0 lets them use all.
  void SetHeadroom(std::uint32_t percent);

  /// Reserves `need` for a task.
  /// @return false, without any effect, if it does not fit or the task holds a reservation.
  bool ReserveTask(const std::string& task, const core::resources& need, core::task_kind kind);
  /// Records a task that was found running. Always succeeds: what runs is committed, and nothing
  /// else fits until it has ended.
  void CommitRunningTask(const std::string& task, const core::resources& need);
  /// Ends the reservation of a task, or the hold of one that waits for room.
  void ReleaseTask(const std::string& task);

  /// Keeps `need` for a task that waits for room: nobody else can reserve what comes free, and
  /// holds are served in their order. A hold is not a commitment.
  /// @return false, without any effect, if it exceeds the total or the task is known.
  bool HoldRoom(const std::string& task, const core::resources& need);
  /// Turns a hold into a reservation.
  /// @return false, without any effect, if the room is not free yet.
  bool CommitHold(const std::string& task);
  /// @return what must still come free for all holds; no component is negative.
  /// @param coming what is about to come free.
  core::resources MissingRoom(const core::resources& coming) const;

  /// Takes a connection for a request. @return false if all are taken.
  bool TakeConnection();
  void ReleaseConnection();
  /// Takes a slot for a request that starts. @return false if all are taken.
  bool TakeSlot();
  void ReleaseSlot();

  const core::resources& total() const noexcept { return total_; }
  const core::resources& committed() const noexcept { return committed_; }
  std::uint32_t slots_total() const noexcept { return slots_total_; }
  std::uint32_t connections_total() const noexcept { return connections_total_; }
  /// @return what is free and not held; no component is negative.
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
