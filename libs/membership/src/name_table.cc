#include "membership/name_table.h"

namespace coltsfoot::membership {

name_id name_table::Intern(std::string_view name) {
  const auto [found, added] = ids_.try_emplace(std::string(name), static_cast<name_id>(size()));
  if (added) names_.emplace_back(name);
  return found->second;
}

std::optional<name_id> name_table::Find(std::string_view name) const {
  const auto found = ids_.find(std::string(name));
  if (found == ids_.end()) return std::nullopt;
  return found->second;
}

}  // namespace coltsfoot::membership
