#pragma once

#include <string>
#include <utility>
#include <vector>

#include "probe.h"

namespace coltsfoot::capacity {

/// Measurements of one quantity at several sizes.
struct series {
  std::string title;
  std::string quantity;  ///< what the sizes count
  std::vector<std::pair<double, measurement>> points;
};

/// @return a Markdown table with a row per size and a row of slopes. A slope is the least-squares
/// one; the range beside it holds the slopes between neighbouring sizes.
std::string ToMarkdown(const series& measured);

}  // namespace coltsfoot::capacity
