#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "measure/run.h"

namespace coltsfoot::measure {

/// Median, minimum and maximum over the seeds of one scenario and policy.
struct spread {
  double median = 0;
  double min = 0;
  double max = 0;
  auto operator<=>(const spread&) const = default;
};

/// @return the spread of `values`; all zero if there are none. The median of an even number of
/// values is the mean of the middle two.
spread SpreadOf(std::vector<double> values);

/// Quantity by which policies are compared.
struct measured_quantity {
  std::string name;
  std::function<double(const run_result&)> value;
  bool more_is_better = false;
  int digits = 0;  ///< after the decimal point
};

/// @return the quantities of the tables, in the order of their columns.
const std::vector<measured_quantity>& Quantities();

/// @return the valid runs of one scenario and policy, in the order in which they ran.
std::vector<const run_result*> RunsOf(std::span<const run_result> results,
                                      const std::string& scenario, const std::string& policy);

/// Seeds in which one policy was better than, equal to or worse than another.
struct comparison {
  int better = 0;
  int equal = 0;
  int worse = 0;
  bool operator==(const comparison&) const = default;
};

/// Compares runs of the same scenario and seed. They ran side by side, so they had the same calls
/// and the same other load on the machine.
comparison Compare(std::span<const run_result> results, const std::string& scenario,
                   const std::string& policy, const std::string& baseline,
                   const measured_quantity& quantity);

}  // namespace coltsfoot::measure
