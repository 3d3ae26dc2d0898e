#pragma once

#include <string_view>

namespace coltsfoot::config {

/// @return true if `text` can be the name in a scope or the id of an exception: 1 to 128 bytes
/// without control characters and without "/", which would end a URL path segment.
bool IsValidName(std::string_view text) noexcept;

/// @return true if `text` contains anything but white space.
bool HasText(std::string_view text) noexcept;

}  // namespace coltsfoot::config
