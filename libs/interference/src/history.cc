#include "interference/history.h"

#include <algorithm>

namespace coltsfoot::interference {

namespace {

/// @return false if `delta` is an end without a start.
bool Apply(class_counts& counts, class_id task_class, int delta) {
  const auto row = std::find_if(counts.begin(), counts.end(), [task_class](const class_count& c) {
    return c.task_class == task_class;
  });
  if (row == counts.end()) {
    if (delta < 0) return false;
    counts.push_back({task_class, 1});
    return true;
  }
  if (delta > 0) {
    ++row->count;
  } else if (--row->count == 0) {
    *row = counts.back();
    counts.pop_back();
  }
  return true;
}

}  // namespace

void worker_history::Record(class_id task_class, int delta, core::mono_time now) {
  if (!Apply(current_, task_class, delta)) return;
  changes_.push_back({now, task_class, static_cast<std::int8_t>(delta > 0 ? 1 : -1)});
  if (changes_.size() <= kMaxChanges) return;
  complete_since_ = changes_.front().time;
  changes_.pop_front();
}

std::optional<class_counts> worker_history::At(core::mono_time time) const {
  if (time < complete_since_) return std::nullopt;
  class_counts counts = current_;
  for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
    if (change->time <= time) break;
    Apply(counts, change->task_class, -change->delta);
  }
  return counts;
}

}  // namespace coltsfoot::interference
