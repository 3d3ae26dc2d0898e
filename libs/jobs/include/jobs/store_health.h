#pragma once

#include "core/clock.h"
#include "store/kv_client.h"

namespace coltsfoot::jobs {

/// Whether the store answers this process, from the outcomes of its calls.
class store_health {
 public:
  explicit store_health(const core::clock& time) : time_(time) {}

  /// Takes the outcome of any call.
  void Record(store::kv_status status);
  /// @return false while calls have failed for a while without a success between them.
  bool reachable() const;

 private:
  const core::clock& time_;
  core::mono_time last_success_;
  core::mono_time first_failure_;  ///< since the last success; zero: none
  bool answered_ = false;
};

}  // namespace coltsfoot::jobs
