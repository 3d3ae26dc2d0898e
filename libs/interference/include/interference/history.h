#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::interference {

/// Dense number of a task class or service within one process.
using class_id = std::uint16_t;

/// Shared by all classes beyond the limit of the model.
inline constexpr class_id kOtherClass = 0;

/// How many tasks of one class run.
struct class_count {
  class_id task_class = kOtherClass;
  std::uint32_t count = 0;
  bool operator==(const class_count&) const = default;
};

/// Classes that run together, each once and with a positive count, in no particular order.
using class_counts = std::vector<class_count>;

/// What ran on one worker when, for the last `kMaxChanges` starts and ends.
class worker_history {
 public:
  /// @param since what ran before this time is not known.
  explicit worker_history(core::mono_time since = {}) : complete_since_(since) {}

  /// Starts and ends that are kept. At 310 starts/s on 990 workers this covers more than a minute
  /// of an evenly loaded worker.
  static constexpr std::size_t kMaxChanges = 64;

  /// Records a start (`delta` 1) or an end (`delta` -1). An end without a start is ignored.
  void Record(class_id task_class, int delta, core::mono_time now);
  /// @return what ran at `time`, or nothing if the history does not reach back that far.
  std::optional<class_counts> At(core::mono_time time) const;
  /// @return what runs now.
  const class_counts& current() const noexcept { return current_; }

 private:
  struct change {
    core::mono_time time;
    class_id task_class;
    std::int8_t delta;
  };

  class_counts current_;
  std::deque<change> changes_;
  core::mono_time complete_since_;
};

}  // namespace coltsfoot::interference
