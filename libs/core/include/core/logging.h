#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string_view>

namespace coltsfoot::core {

/// Sets up structured log lines on stderr: time, level, program, then `key=value` pairs.
/// @param program name of the program.
/// @param id name of this process in the fleet, for example "entry-1".
void InitLogging(std::string_view program, std::string_view id);

/// Sets up structured log lines on stdout without blocking the caller: lines pass through a bounded
/// queue that drops the oldest line when it is full.
/// @param program name of the program.
/// @param id name of this process in the fleet.
void InitAsyncLogging(std::string_view program, std::string_view id);

/// @return the number of lines that InitAsyncLogging's queue has dropped.
std::uint64_t DroppedLogLines();

}  // namespace coltsfoot::core
