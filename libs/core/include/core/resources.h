#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace coltsfoot::core {

/// Amount of a worker's processors, memory and accelerators.
struct resources {
  std::int64_t cpu_millis = 0;    ///< thousandths of a processor
  std::int64_t memory_mb = 0;     ///< MiB
  std::int64_t accelerators = 0;  ///< whole accelerators

  bool operator==(const resources&) const = default;

  /// @return true if this amount fits into `free`.
  constexpr bool FitsIn(const resources& free) const noexcept {
    return cpu_millis <= free.cpu_millis && memory_mb <= free.memory_mb &&
           accelerators <= free.accelerators;
  }
  constexpr resources operator+(const resources& other) const noexcept {
    return {cpu_millis + other.cpu_millis, memory_mb + other.memory_mb,
            accelerators + other.accelerators};
  }
  constexpr resources operator-(const resources& other) const noexcept {
    return {cpu_millis - other.cpu_millis, memory_mb - other.memory_mb,
            accelerators - other.accelerators};
  }
  resources& operator+=(const resources& other) noexcept { return *this = *this + other; }
  resources& operator-=(const resources& other) noexcept { return *this = *this - other; }

  /// @return true if no component is negative.
  constexpr bool IsValid() const noexcept {
    return cpu_millis >= 0 && memory_mb >= 0 && accelerators >= 0;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cpu_millis, memory_mb, accelerators);
  }
};

/// Scheduling kind of a task.
enum class task_kind : std::uint8_t { batch = 0, latency_critical = 1 };

}  // namespace coltsfoot::core
