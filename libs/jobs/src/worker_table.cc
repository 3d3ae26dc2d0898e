#include "jobs/worker_table.h"

#include <algorithm>

namespace coltsfoot::jobs {

bool worker_row::HasLabel(std::string_view label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace coltsfoot::jobs
