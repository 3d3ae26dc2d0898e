#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/ids.h"
#include "ledger/task_entry.h"

namespace coltsfoot::ledger {

/// Ended tasks of one shard in the order of their end, each encoded into one string. An entry keeps
/// thousands of them, and most are never read; as a `task_entry` each takes about 600 bytes.
class ended_tasks {
 public:
  /// Adds a task as the newest.
  /// @param task must have ended; its id must not be in the table yet.
  void Add(const task_entry& task);
  /// @return the task, or nothing.
  std::optional<task_entry> Find(std::string_view task) const;
  /// @param position index from the oldest task; less than `size()`.
  task_entry At(std::size_t position) const;
  /// @return wall time of the end of the oldest task. The table must not be empty.
  std::int64_t oldest_wall_ms() const { return rows_.front().ended_wall_ms; }
  /// Removes the oldest task and returns it.
  task_entry Pop();
  /// Drops the oldest result that is still kept; at least one must be kept.
  void DropOldestResult();

  std::size_t size() const noexcept { return rows_.size(); }
  /// @return the number of tasks of each team that has any.
  const std::map<std::string, std::size_t>& count_by_team() const noexcept {
    return count_by_team_;
  }
  /// @return bytes of all results that are kept.
  std::uint64_t kept_bytes() const noexcept { return kept_bytes_; }
  /// @return how many of the oldest tasks have lost their result.
  std::uint64_t dropped_results() const noexcept { return dropped_results_; }
  /// Restores `dropped_results()` after all tasks of a snapshot were added.
  void SetDroppedResults(std::uint64_t count) noexcept { dropped_results_ = count; }

  bool operator==(const ended_tasks& other) const;

 private:
  struct row {
    std::int64_t ended_wall_ms = 0;
    std::string encoded;
    bool operator==(const row&) const = default;
  };

  std::deque<row> rows_;  ///< oldest first
  /// Sequence number of a task by the hash of its id. Sequence numbers count all tasks that were
  /// ever added.
  std::unordered_multimap<std::uint64_t, std::uint64_t> sequence_by_hash_;
  std::map<std::string, std::size_t> count_by_team_;
  std::uint64_t first_sequence_ = 0;  ///< sequence number of the oldest task
  std::uint64_t dropped_results_ = 0;
  std::uint64_t kept_bytes_ = 0;
};

}  // namespace coltsfoot::ledger
