#pragma once

#include <string>
#include <vector>

namespace coltsfoot::ctl {

/// Table of text cells, rendered in aligned columns.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }
  /// Adds a row with as many cells as the header.
  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  /// @return the table with one line per row; the last column is not padded.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace coltsfoot::ctl
