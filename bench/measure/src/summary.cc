#include "measure/summary.h"

#include <algorithm>

namespace coltsfoot::measure {

spread SpreadOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  const double median =
      values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
  return {median, values.front(), values.back()};
}

const std::vector<measured_quantity>& Quantities() {
  static const std::vector<measured_quantity> quantities = {
      {"p50", [](const run_result& run) { return run.service.all.p50_ms; }},
      {"p99", [](const run_result& run) { return run.service.all.p99_ms; }},
      {"p99.9", [](const run_result& run) { return run.service.all.p999_ms; }},
      {"tasks/s", [](const run_result& run) { return run.TasksPerSecond(); },
       /*more_is_better=*/true, /*digits=*/2},
      {"evictions", [](const run_result& run) { return static_cast<double>(run.Evictions()); }}};
  return quantities;
}

std::vector<const run_result*> RunsOf(std::span<const run_result> results,
                                      const std::string& scenario, const std::string& policy) {
  std::vector<const run_result*> runs;
  for (const run_result& run : results) {
    if (run.scenario == scenario && run.policy == policy && run.error.empty()) {
      runs.push_back(&run);
    }
  }
  return runs;
}

comparison Compare(std::span<const run_result> results, const std::string& scenario,
                   const std::string& policy, const std::string& baseline,
                   const measured_quantity& quantity) {
  comparison out;
  for (const run_result* run : RunsOf(results, scenario, policy)) {
    for (const run_result* other : RunsOf(results, scenario, baseline)) {
      if (run->seed != other->seed) continue;
      const double gain = quantity.value(*run) - quantity.value(*other);
      if (gain == 0) {
        ++out.equal;
      } else if ((gain > 0) == quantity.more_is_better) {
        ++out.better;
      } else {
        ++out.worse;
      }
    }
  }
  return out;
}

}  // namespace coltsfoot::measure
