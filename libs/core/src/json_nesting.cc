#include "core/json_nesting.h"

namespace coltsfoot::core {

bool IsNestedDeeperThan(std::string_view text, std::size_t limit) noexcept {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char each = text[index];
    if (in_string) {
      if (each == '\\') ++index;
      in_string = each != '"';
    } else if (each == '"') {
      in_string = true;
    } else if (each == '[' || each == '{') {
      if (++depth > limit) return true;
    } else if ((each == ']' || each == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace coltsfoot::core
