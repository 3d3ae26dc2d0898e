#pragma once

#include <chrono>
#include <ctime>

namespace coltsfoot::core {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Time point of the host's monotonic clock. All processes of one host share this clock; time
/// points of different hosts are not comparable.
using mono_time = std::chrono::time_point<std::chrono::steady_clock, nanoseconds>;

/// Wall-clock time, only for display and for records that operators read.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Interface to the current time. Tests use `manual_clock`.
class clock {
 public:
  virtual ~clock() = default;
  /// @return the current monotonic time.
  virtual mono_time Now() const = 0;
  /// @return the current wall-clock time.
  virtual wall_time WallNow() const = 0;
};

/// The host's clocks.
class system_clock final : public clock {
 public:
  mono_time Now() const override { return std::chrono::steady_clock::now(); }
  wall_time WallNow() const override {
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
  }
};

/// The host's clocks, where monotonic time includes the time that the host was suspended. Used for
/// leases, which also expire while a host is suspended.
class boot_clock final : public clock {
 public:
  mono_time Now() const override {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return mono_time{std::chrono::seconds{now.tv_sec} + nanoseconds{now.tv_nsec}};
  }
  wall_time WallNow() const override {
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
  }
};

/// Clock for tests, which advances only through `Advance`.
class manual_clock final : public clock {
 public:
  mono_time Now() const override { return now_; }
  wall_time WallNow() const override {
    return wall_time{std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())};
  }
  /// Moves both clocks forward by `step`.
  void Advance(nanoseconds step) { now_ += step; }

 private:
  mono_time now_{std::chrono::hours{1}};
};

/// @return `duration` in whole milliseconds.
constexpr std::int64_t ToMs(nanoseconds duration) noexcept {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace coltsfoot::core
