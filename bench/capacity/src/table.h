#pragma once

#include <string>
#include <utility>
#include <vector>

#include "probe.h"

namespace coltsfoot::capacity {

/// Measurements of one quantity at several sizes.
struct series {
  std::string title;
  std::string quantity;  ///< unit of the sizes, for example "workers"
  std::vector<std::pair<double, measurement>> points;
};

/// @return a Markdown table with one row per size and a row of slopes. Each slope is a
/// least-squares fit, followed by the range of the slopes between neighbouring sizes.
std::string ToMarkdown(const series& measured);

}  // namespace coltsfoot::capacity
