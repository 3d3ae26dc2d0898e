#pragma once

#include <cstddef>
#include <system_error>

#include "core/clock.h"

namespace coltsfoot::core {

/// Pause after the process could not accept a connection for lack of descriptors or memory. The
/// connection stays in the kernel's queue, so accepting it again at once would use a whole
/// processor.
inline constexpr milliseconds kAcceptPause{50};

/// Descriptors that a process needs besides those of clients and peers: standard streams, event
/// loops, listening sockets, and connections to the store.
inline constexpr std::size_t kOwnDescriptors = 32;

/// @return the limit of open files of this process (RLIMIT_NOFILE); 0 if it has none or the limit
/// cannot be read.
std::size_t OpenFileLimit() noexcept;

/// @param failure result of accepting a connection.
/// @return true if the process or the system has no descriptor or memory left for it; false if the
/// failure concerns only the connection.
bool IsOutOfDescriptors(const std::error_code& failure) noexcept;

/// @param limit of open files of a process.
/// @return the descriptors that are left for clients and peers.
constexpr std::size_t DescriptorsForConnections(std::size_t limit) noexcept {
  return limit > kOwnDescriptors ? limit - kOwnDescriptors : 0;
}

}  // namespace coltsfoot::core
