#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::interference {

/// Dense id of a task class or service, local to one process.
using class_id = std::uint16_t;

/// Id shared by all classes beyond `model_options::max_classes`.
inline constexpr class_id kOtherClass = 0;

/// Number of running tasks of one class.
struct class_count {
  class_id task_class = kOtherClass;
  std::uint32_t count = 0;
  bool operator==(const class_count&) const = default;
};

/// Co-located classes in no particular order; each appears once, with a positive count.
using class_counts = std::vector<class_count>;

/// History of the classes that ran on one worker, covering its last `kMaxChanges` starts and ends.
class worker_history {
 public:
  /// @param since start of the history; what ran earlier is unknown.
  explicit worker_history(core::mono_time since = {}) : complete_since_(since) {}

  /// Maximum number of recorded starts and ends. At 310 starts/s on 990 workers, this covers more
  /// than a minute on an evenly loaded worker.
  static constexpr std::size_t kMaxChanges = 64;

  /// Records a start (`delta` 1) or an end (`delta` -1). Ignores an end without a start.
  void Record(class_id task_class, int delta, core::mono_time now);
  /// @return the classes that ran at `time`, or `nullopt` if the history does not go back that far.
  std::optional<class_counts> At(core::mono_time time) const;
  /// @return the classes that are running now.
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
