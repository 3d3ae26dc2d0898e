#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"
#include "jobs/records.h"

namespace coltsfoot::jobs {

/// A run of a task that was commanded to start and has not ended.
struct task_copy {
  std::string agent;
  target_incarnation incarnation;
  std::uint32_t run = 0;
  std::uint64_t command = 0;  ///< sequence of the commands that start it; 0: found in a report
  core::mono_time issued_at;
  bool running = false;   ///< the target reports it as running
  bool stopping = false;  ///< a stop command was issued
  core::mono_time stop_issued_at;
  std::uint32_t progress = 0;
  std::uint32_t pace = 100;             ///< percent at which the agent lets it run
  core::mono_time slowed_since;         ///< since when `pace` has been low; zero: it is not low
  core::mono_time progress_changed_at;  ///< when `progress` last changed
  bool operator==(const task_copy&) const = default;
};

/// A task of a job.
struct task_row {
  task_progress progress;
  std::vector<task_copy> copies;
  std::string failed_on;         ///< agent on which it last failed or got stuck
  crash_evidence crashes;        ///< it is a suspect if there are any
  bool needs_isolation = false;  ///< starts only on an isolated worker; see `crash_isolation`
};

/// The tasks of a job. Rows take memory from their first change on, so that a job of many tasks
/// takes little before they start.
class task_rows {
 public:
  void Resize(std::uint32_t size) {
    size_ = size;
    pages_.resize((size + kPageRows - 1) / kPageRows);
  }
  std::uint32_t size() const noexcept { return size_; }
  const task_row& operator[](std::uint32_t index) const {
    static const task_row unchanged;
    const auto& page = pages_[index / kPageRows];
    return page ? (*page)[index % kPageRows] : unchanged;
  }
  /// @return a row to be changed. Stays valid until the job is removed.
  task_row& At(std::uint32_t index) {
    auto& page = pages_[index / kPageRows];
    if (!page) page = std::make_unique<rows>();
    return (*page)[index % kPageRows];
  }
  /// @return the number of rows that take memory.
  std::size_t allocated() const {
    std::size_t count = 0;
    for (const auto& page : pages_) count += page ? kPageRows : 0;
    return count;
  }
  /// @return one plus the index of the last row for which `matches` holds; 0: none.
  template <class Predicate>
  std::uint32_t EndOf(Predicate matches) const {
    std::uint32_t end = size_;
    while (end > 0) {
      const bool empty = !pages_[(end - 1) / kPageRows];
      if (!empty && matches((*this)[end - 1])) return end;
      end = empty ? (end - 1) / kPageRows * kPageRows : end - 1;
    }
    return 0;
  }

 private:
  static constexpr std::uint32_t kPageRows = 16;
  using rows = std::array<task_row, kPageRows>;
  std::vector<std::unique_ptr<rows>> pages_;
  std::uint32_t size_ = 0;
};

}  // namespace coltsfoot::jobs
