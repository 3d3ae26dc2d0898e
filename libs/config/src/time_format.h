#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace coltsfoot::config {

/// @return `time` in UTC, for example "2026-12-04T04:40:00.000Z".
std::string FormatTime(core::wall_time time);

/// @return the time that `text` gives in the format of `FormatTime`, or nothing.
std::optional<core::wall_time> ParseTime(std::string_view text);

}  // namespace coltsfoot::config
