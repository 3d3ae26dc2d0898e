#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/options.h"

namespace coltsfoot::load {

enum class call_kind : std::uint8_t { request, task };

/// One call, drawn before the run starts.
struct planned_call {
  core::nanoseconds at{0};  ///< since the start of the run
  call_kind kind = call_kind::request;
  std::uint64_t number = 0;  ///< unique in the run
  std::uint32_t team = 0;    ///< index into the teams
  bool idempotent = true;
  std::int64_t cpu_millis = 0;
  std::int64_t expected_ms = 0;
  std::int64_t work_ms = 0;     ///< real run time of a task
  std::int64_t use_millis = 0;  ///< processors that a task really uses

  bool operator==(const planned_call&) const = default;
};

/// Draws all calls of a run with exponential gaps (Poisson arrivals). The arrivals do not depend on
/// answers, so that a slow system is not spared. Equal options give equal calls; requests and tasks
/// are drawn from separate streams, so that a change of one rate leaves the other calls alone.
/// @return the calls in the order of their times, at most `max_calls`.
std::vector<planned_call> DrawSchedule(const load_options& options);

}  // namespace coltsfoot::load
