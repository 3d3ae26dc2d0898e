#pragma once

#include <cstdint>
#include <random>

namespace coltsfoot::core {

/// Source of random numbers. Programs seed it from the system, tests with a fixed seed.
class random_source {
 public:
  virtual ~random_source() = default;
  /// @return 64 random bits.
  virtual std::uint64_t Next() = 0;
  /// @return a value in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  /// @return a value in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
};

/// Mersenne twister with a given seed.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// @return a seed from the operating system.
inline std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace coltsfoot::core
