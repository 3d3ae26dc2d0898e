#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfoot::membership {

/// Dense integer id of a name (zone, rack, region, service), valid within one process.
using name_id = std::uint32_t;

/// Id that no name has.
inline constexpr name_id kNoName = std::numeric_limits<name_id>::max();

/// Assigns each distinct name a dense id, so that tables compare and index by integers. Names are
/// never removed; their number is bounded by the fleet's topology and services.
class name_table {
 public:
  /// @return the id of `name`, a new one on the first call.
  name_id Intern(std::string_view name);
  /// @return the id of `name`, or nothing if it was never interned.
  std::optional<name_id> Find(std::string_view name) const;
  /// @param id an id that `Intern` returned.
  const std::string& Name(name_id id) const { return names_.at(id); }
  /// @return the number of names; all ids are below it.
  std::size_t size() const noexcept { return names_.size(); }

 private:
  std::vector<std::string> names_;
  std::unordered_map<std::string, name_id> ids_;
};

}  // namespace coltsfoot::membership
