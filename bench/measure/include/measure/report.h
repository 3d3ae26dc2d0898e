#pragma once

#include <string>
#include <vector>

#include "measure/run.h"

namespace coltsfoot::measure {

/// Conditions of the runs, printed with their results.
struct report_context {
  deployment setup;
  std::string command;
  std::string revision;
  std::string date;
  double load_before = 0;  ///< one-minute load average of the machine
  double load_after = 0;
};

/// @return a Markdown page with one table per scenario.
std::string ToMarkdown(const report_context& context, const std::vector<scenario>& scenarios,
                       const std::vector<run_result>& results);

/// @return an SVG plot with one panel per quantity and one group of bars per scenario.
std::string ToSvg(const report_context& context, const std::vector<run_result>& results);

}  // namespace coltsfoot::measure
