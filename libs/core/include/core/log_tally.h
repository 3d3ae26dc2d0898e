#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include "core/clock.h"

namespace coltsfoot::core {

/// Minimum time between two log lines of a `log_tally`.
inline constexpr milliseconds kLogTallyPeriod{1000};

/// Counts events of `Kinds` kinds that one log line a second tells of, since a crowd of clients
/// causes thousands of them. Thread-safe.
template <std::size_t Kinds = 1>
class log_tally {
 public:
  using counts = std::array<std::uint64_t, Kinds>;

  /// Counts an event.
  /// @param kind below `Kinds`.
  /// @return the events since the last call that returned a value, if a line is due now.
  std::optional<counts> Add(std::size_t kind, mono_time now) {
    const std::lock_guard lock(mutex_);
    ++counts_.at(kind);
    if (logged_at_ && now < *logged_at_ + kLogTallyPeriod) return std::nullopt;
    logged_at_ = now;
    const counts out = counts_;
    counts_ = {};
    return out;
  }

 private:
  std::mutex mutex_;
  counts counts_{};
  std::optional<mono_time> logged_at_;
};

}  // namespace coltsfoot::core
