#include "text_table.h"

#include <algorithm>

namespace coltsfoot::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

std::string text_table::Render() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string out;
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      out += row[column];
      const bool last = column + 1 == row.size();
      if (!last) out.append(widths[column] + kColumnGap - row[column].size(), ' ');
    }
    out += '\n';
  }
  return out;
}

}  // namespace coltsfoot::ctl
