#include "membership/name_table.h"

namespace coltsfoot::membership {

name_id name_table::Intern(std::string_view name) {
  const auto [entry, added] = ids_.try_emplace(std::string(name), static_cast<name_id>(size()));
  if (added) names_.emplace_back(name);
  return entry->second;
}

std::optional<name_id> name_table::Find(std::string_view name) const {
  const auto entry = ids_.find(std::string(name));
  if (entry == ids_.end()) return std::nullopt;
  return entry->second;
}

}  // namespace coltsfoot::membership
