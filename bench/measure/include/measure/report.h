#pragma once

#include <string>
#include <vector>

#include "measure/run.h"

namespace coltsfoot::measure {

/// How the runs were made.
struct report_context {
  deployment where;
  std::string command;
  std::string revision;
  std::string date;
  double load_before = 0;  ///< load average of the machine over one minute
  double load_after = 0;
};

/// @return a page with one table per scenario.
std::string ToMarkdown(const report_context& context, const std::vector<scenario>& scenarios,
                       const std::vector<run_result>& results);

/// @return a plot with one panel per measure and one group of bars per scenario.
std::string ToSvg(const report_context& context, const std::vector<run_result>& results);

}  // namespace coltsfoot::measure
