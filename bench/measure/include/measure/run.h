#pragma once

#include <map>
#include <string>
#include <vector>

#include "load/report.h"
#include "measure/scenario.h"

namespace coltsfoot::measure {

/// Results of one run of a scenario under one policy.
struct run_result {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  std::string error;  ///< why the run is invalid; empty if it is valid
  load::load_report service;
  std::map<std::string, std::uint64_t> task_outcomes;  ///< by name of the result code
  std::map<std::string, std::uint64_t> evictions;      ///< by reason
  std::map<std::string, std::uint64_t> submissions;    ///< by name of the result code
  double seconds = 0;
  std::uint64_t tasks_lost = 0;
  std::uint64_t wrong_answers = 0;      ///< of all phases, mismatched or truncated
  std::vector<std::string> violations;  ///< findings of the history checker

  /// @return tasks that ended with `ok`, per second.
  double TasksPerSecond() const;
  /// @return evictions for all reasons.
  std::uint64_t Evictions() const;
};

/// Starts a fleet as in settings/ with production timings, sets policy and weights, and runs the
/// scenario.
run_result Run(const deployment& setup, const scenario& spec, const std::string& policy,
               core::milliseconds duration);

/// Sums the samples of one counter in Prometheus text.
/// @param label whose value is the key of the result; empty puts all samples under "".
std::map<std::string, std::uint64_t> SumCounter(const std::string& text, const std::string& name,
                                                const std::string& label);

}  // namespace coltsfoot::measure
