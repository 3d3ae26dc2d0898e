#pragma once

#include <spdlog/spdlog.h>

#include <string_view>

namespace coltsfoot::core {

/// Sets up structured log lines on stderr: time, level, program, then `key=value` pairs.
/// @param program name of the program.
/// @param id name of this process in the fleet, for example "entry-1".
void InitLogging(std::string_view program, std::string_view id);

}  // namespace coltsfoot::core
