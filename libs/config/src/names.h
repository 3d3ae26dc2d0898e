#pragma once

#include <string_view>

namespace coltsfoot::config {

/// @return true if `text` can be a name in a scope or the id of an exception: 1 to 128 bytes
/// without control characters and without "/", which would end the segment in a URL path.
bool IsPlainName(std::string_view text) noexcept;

/// @return true if `text` holds anything but white space.
bool HasText(std::string_view text) noexcept;

}  // namespace coltsfoot::config
