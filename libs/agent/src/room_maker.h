#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/capacity_ledger.h"
#include "core/clock.h"
#include "metrics/registry.h"

namespace coltsfoot::agent {

/// Running batch task that may be evicted for an urgent one.
struct eviction_candidate {
  std::string task;
  core::resources need;
  core::mono_time saved_at;  ///< start or newest checkpoint; an eviction loses the work since then
  bool operator==(const eviction_candidate&) const = default;
};

/// Chooses what to evict so that `missing` comes free: the tasks that lose the least work, and none
/// that is not needed.
/// @return the tasks to evict; nothing if all together, or the most that one start may cost, do not
/// free enough.
std::optional<std::vector<std::string>> ChooseVictims(std::vector<eviction_candidate> candidates,
                                                      const core::resources& missing,
                                                      core::mono_time now);

/// Starts that wait for the room of tasks that are being evicted. The room is kept for them in the
/// capacity ledger, for a bounded time.
class room_maker {
 public:
  room_maker(const core::clock& time, metrics::registry& metrics, capacity_ledger& ledger)
      : time_(time), metrics_(metrics), ledger_(ledger) {}

  /// Lets a start wait.
  /// @param coming what the tasks that are already being stopped will free.
  /// @return the tasks to evict; nothing, without any effect, if that would not make enough room.
  std::optional<std::vector<std::string>> BeginWait(const std::string& task,
                                                    const core::resources& need,
                                                    std::vector<eviction_candidate> candidates,
                                                    const core::resources& coming);
  /// Commits the room to the start, which then no longer waits.
  /// @return false if the room is not free yet.
  bool CommitRoom(const std::string& task);
  /// @return true if the start has waited for as long as it may.
  bool HasTimedOut(const std::string& task) const;
  /// Ends the wait of a start that is refused or cancelled.
  /// @param outcome value of the label of that name in the counter.
  void EndWait(const std::string& task, std::string_view outcome);
  /// @return the number of starts that wait.
  std::size_t size() const noexcept { return wait_until_.size(); }

 private:
  void CountOutcome(std::string_view outcome);

  const core::clock& time_;
  metrics::registry& metrics_;
  capacity_ledger& ledger_;
  std::map<std::string, core::mono_time> wait_until_;
};

}  // namespace coltsfoot::agent
