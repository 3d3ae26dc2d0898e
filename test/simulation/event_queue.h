#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/clock.h"

namespace coltsfoot::simulation {

/// Events of simulated time; those of the same time run in the order in which they were added.
class event_queue {
 public:
  explicit event_queue(core::manual_clock& time) : time_(time) {}

  const core::clock& time() const noexcept { return time_; }
  void After(core::milliseconds delay, std::function<void()> event) {
    events_.emplace(time_.Now() + delay, std::move(event));
  }
  /// Advances the clock by `step` and runs the events that are due.
  void Advance(core::milliseconds step) {
    time_.Advance(step);
    while (!events_.empty() && events_.begin()->first <= time_.Now()) {
      auto event = events_.extract(events_.begin());
      event.mapped()();
    }
  }

 private:
  core::manual_clock& time_;
  std::multimap<core::mono_time, std::function<void()>> events_;
};

}  // namespace coltsfoot::simulation
