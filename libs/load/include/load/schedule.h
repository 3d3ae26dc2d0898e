#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/options.h"

namespace coltsfoot::load {

enum class call_kind : std::uint8_t { request, task };

/// Call of a load run, drawn before the run starts.
struct planned_call {
  core::nanoseconds at{0};  ///< since the start of the run
  call_kind kind = call_kind::request;
  std::uint64_t number = 0;  ///< unique in the run
  std::uint32_t team = 0;    ///< index into the teams
  bool idempotent = true;
  std::int64_t cpu_millis = 0;
  std::int64_t expected_ms = 0;
  std::int64_t work_ms = 0;     ///< real run time of a task
  std::int64_t use_millis = 0;  ///< CPU that a task really uses

  bool operator==(const planned_call&) const = default;
};

/// Draws all calls of a run as Poisson arrivals (exponential interarrival times). The arrivals do
/// not depend on answers, so a slow system receives the same load (open loop). Equal options give
/// equal calls. Requests and tasks use separate random streams, so that a change of one rate does
/// not change the calls of the other kind.
/// @return the calls in the order of their times, at most `max_calls`.
std::vector<planned_call> DrawSchedule(const load_options& options);

}  // namespace coltsfoot::load
