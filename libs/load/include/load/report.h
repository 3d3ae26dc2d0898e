#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"
#include "load/answer_check.h"

namespace coltsfoot::load {

/// Exact percentiles of latencies, not estimated from buckets.
struct latency_summary {
  std::uint64_t count = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;

  bool operator==(const latency_summary&) const = default;
};

/// @param latencies in any order; sorted in place.
latency_summary Summarize(std::vector<core::nanoseconds>& latencies);

/// Results of one load run.
struct load_report {
  std::uint64_t planned = 0;
  std::uint64_t sent = 0;        ///< requests and submissions
  std::uint64_t not_sent = 0;    ///< above `max_in_flight`, or after the run was stopped
  std::uint64_t unanswered = 0;  ///< still in flight when the run ended
  std::uint64_t retried = 0;     ///< attempts after the first
  std::uint64_t mismatched = 0;  ///< answers that belong to another request
  std::uint64_t truncated = 0;   ///< incomplete answers
  std::map<core::result_code, std::uint64_t> request_outcomes;
  std::map<core::result_code, std::uint64_t> submit_outcomes;
  std::map<core::result_code, std::uint64_t> task_outcomes;  ///< of tasks that ended
  std::uint64_t tasks_accepted = 0;
  std::uint64_t tasks_ended = 0;
  latency_summary answered;    ///< requests with code ok, from the intended time of sending
  latency_summary all;         ///< requests with any outcome
  latency_summary send_delay;  ///< delay of the generator from the intended time to the sending
  double seconds = 0;          ///< from the start to the last answer of a request or submission
  double ok_per_second = 0;

  bool operator==(const load_report&) const = default;
  /// @return true if no answer was mismatched or truncated.
  bool IsClean() const noexcept { return mismatched == 0 && truncated == 0; }
};

/// @return the report as human-readable text.
std::string ToText(const load_report& report);

/// @return the report as one JSON object.
std::string ToJson(const load_report& report);

}  // namespace coltsfoot::load
