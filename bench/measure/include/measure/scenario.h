#pragma once

#include <functional>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "load/options.h"

namespace coltsfoot::measure {

/// One of the deployments of settings/.
struct deployment {
  std::string name;
  std::string service;
  double tail_latency = 1;  ///< weights, as in settings/<name>/README.md
  double throughput = 1;
  double evictions = 1;
  std::vector<std::string> main_quantities;  ///< those with the largest weights
  bool operator==(const deployment&) const = default;
};

/// Load that starts at a given time after the start of a run.
struct load_phase {
  core::milliseconds at{0};
  load::load_options load;  ///< without entries
  bool operator==(const load_phase&) const = default;
};

/// Fault that is injected or cleared during a run.
struct fault_step {
  core::milliseconds at{0};
  std::function<void(harness::fleet&)> apply;
};

/// Load and faults of a run. The first phase contains the requests to the service.
struct scenario {
  std::string name;
  std::string description;
  std::vector<load_phase> phases;
  std::vector<fault_step> faults;
};

/// @return the known deployments.
std::vector<deployment> Deployments();

/// @return all scenarios, in the order in which they run.
/// @param service receives the requests.
/// @param duration of each run.
/// @param seed determines the drawn calls.
std::vector<scenario> Scenarios(const std::string& service, core::milliseconds duration,
                                std::uint64_t seed);

}  // namespace coltsfoot::measure
