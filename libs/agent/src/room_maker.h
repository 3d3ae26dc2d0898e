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
  core::mono_time saved_at;  ///< time of the start or newest checkpoint; eviction loses later work
  bool operator==(const eviction_candidate&) const = default;
};

/// Chooses tasks to evict so that at least `missing` is released: prefers those that lose the least
/// work, and omits those that are not needed.
/// @return the tasks to evict; nothing if all candidates together do not release enough, or if more
/// would be evicted than is allowed for one start.
std::optional<std::vector<std::string>> ChooseVictims(std::vector<eviction_candidate> candidates,
                                                      const core::resources& missing,
                                                      core::mono_time now);

/// Manages starts of urgent tasks that wait until evicted tasks have released enough resources. The
/// resources are held for them in the capacity ledger for a limited time.
class room_maker {
 public:
  room_maker(const core::clock& time, metrics::registry& metrics, capacity_ledger& ledger)
      : time_(time), metrics_(metrics), ledger_(ledger) {}

  /// Holds resources for a start and makes it wait for them.
  /// @param releasing resources of the tasks that are already being stopped.
  /// @return the tasks to evict; nothing, without any effect, if evictions cannot make enough room.
  std::optional<std::vector<std::string>> BeginWait(const std::string& task,
                                                    const core::resources& need,
                                                    std::vector<eviction_candidate> candidates,
                                                    const core::resources& releasing);
  /// Commits the held resources to the start and ends its wait.
  /// @return false if they are not free yet.
  bool CommitRoom(const std::string& task);
  /// @return true if the start has reached its maximum wait, or does not wait.
  bool HasTimedOut(const std::string& task) const;
  /// Ends the wait of a start that is refused or cancelled, and releases its hold.
  /// @param outcome value of the `outcome` label of the metric coltsfoot_agent_room_total.
  void EndWait(const std::string& task, std::string_view outcome);
  /// @return the number of waiting starts.
  std::size_t size() const noexcept { return wait_until_.size(); }

 private:
  void CountOutcome(std::string_view outcome);

  const core::clock& time_;
  metrics::registry& metrics_;
  capacity_ledger& ledger_;
  std::map<std::string, core::mono_time> wait_until_;
};

}  // namespace coltsfoot::agent
