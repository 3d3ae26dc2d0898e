#include "core/open_files.h"

#include <sys/resource.h>

namespace coltsfoot::core {

std::size_t OpenFileLimit() noexcept {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return 0;
  return limit.rlim_cur;
}

bool IsOutOfDescriptors(const std::error_code& failure) noexcept {
  return failure == std::errc::too_many_files_open ||
         failure == std::errc::too_many_files_open_in_system ||
         failure == std::errc::no_buffer_space || failure == std::errc::not_enough_memory;
}

}  // namespace coltsfoot::core
