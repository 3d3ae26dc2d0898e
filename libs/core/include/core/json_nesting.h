#pragma once

#include <cstddef>
#include <string_view>

namespace coltsfoot::core {

/// Levels of arrays and objects in a JSON text from another program. Copying or writing out a
/// parsed value recurses into each level, so deep nesting would exhaust the stack.
inline constexpr std::size_t kMaxJsonNesting = 32;

/// @param text JSON text; it need not be valid.
/// @return true if `text` opens more than `limit` arrays and objects inside each other.
bool IsNestedDeeperThan(std::string_view text, std::size_t limit) noexcept;

}  // namespace coltsfoot::core
