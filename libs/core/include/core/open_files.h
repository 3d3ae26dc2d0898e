#pragma once

#include <cstddef>
#include <system_error>

#include "core/clock.h"

namespace coltsfoot::core {

/// Pause after the process could not accept a connection for lack of descriptors or memory. The
/// connection stays in the kernel's queue, so accepting it again at once would use a whole
/// processor.
inline constexpr milliseconds kAcceptPause{50};

/// @return the limit of open files of this process (RLIMIT_NOFILE); 0 if it has none or the limit
/// cannot be read.
std::size_t OpenFileLimit() noexcept;

/// @param failure result of accepting a connection.
/// @return true if the process or the system has no descriptor or memory left for it; false if the
/// failure concerns only the connection.
bool IsOutOfDescriptors(const std::error_code& failure) noexcept;

}  // namespace coltsfoot::core
