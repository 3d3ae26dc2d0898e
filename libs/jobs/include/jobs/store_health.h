#pragma once

#include "core/clock.h"
#include "store/kv_client.h"

namespace coltsfoot::jobs {

/// Tracks whether this process can reach the store, from the outcomes of its calls.
class store_health {
 public:
  explicit store_health(const core::clock& time) : time_(time) {}

  /// Records the outcome of a call; to be called for each call to the store.
  void Record(store::kv_status status);
  /// @return false before the first success, and while calls have failed for longer than a short
  /// outage without a success in between.
  bool reachable() const;

 private:
  const core::clock& time_;
  core::mono_time last_success_;
  core::mono_time first_failure_;  ///< first failure since the last success; zero: none
  bool answered_ = false;
};

}  // namespace coltsfoot::jobs
