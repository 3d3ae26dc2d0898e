#pragma once

#include <atomic>
#include <functional>
#include <vector>

#include "core/clock.h"
#include "http/client.h"
#include "load/history.h"
#include "load/options.h"
#include "load/report.h"

namespace coltsfoot::load {

/// Progress of a load run.
struct load_progress {
  core::nanoseconds elapsed{0};
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;  ///< outcomes other than ok
  std::uint64_t in_flight = 0;
  std::uint64_t tasks_open = 0;  ///< accepted and not known to have ended

  bool operator==(const load_progress&) const = default;
};

/// External dependencies of a load run, which tests replace.
struct load_environment {
  std::vector<http::client*> clients;  ///< used round-robin; must outlive all answers
  const core::clock& time;
  std::function<void(core::nanoseconds)> sleep;
  history& log;
  const std::atomic<bool>& stop;  ///< set to true to end the run early
  /// Called about once per second; may be empty.
  std::function<void(const load_progress&)> on_progress;
};

/// Runs an open-loop load test: sends the planned calls at their times whether or not earlier ones
/// have been answered, then waits for the answers and for the end of the accepted tasks. Returns at
/// the latest `duration + timeout * (retries + 1) + task_wait` after its start.
load_report RunLoad(const load_options& options, const load_environment& env);

}  // namespace coltsfoot::load
