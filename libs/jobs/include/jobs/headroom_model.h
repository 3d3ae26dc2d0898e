#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Processors that filling tasks of one image used while a reading was taken.
struct filling_use {
  std::string image;
  double cores = 0;
  bool operator==(const filling_use&) const = default;
};

/// Headroom that a serving task loses for each processor that filling tasks of an image use.
struct pressure {
  double mean = 0;
  double variance = 0;
  bool operator==(const pressure&) const = default;
};

/// One reading of a serving task.
struct headroom_reading {
  std::string group;  ///< tasks of one group see the same load
  std::string image;
  std::uint32_t tail_ms = 0;
  std::uint32_t goal_ms = 0;
  bool operator==(const headroom_reading&) const = default;
};

/// Learns how much room serving tasks have to their goals, and how much of it filling tasks take.
///
/// The headroom of a serving task is its goal divided by its tail latency: 1 at the goal, more
/// below. In a queue the tail latency grows with the inverse of the idle share, so headroom falls
/// linearly with load, and what filling tasks take adds up:
///
///     headroom = base(group, time) - sum of pressure(image, filling image) * cores in use
///
/// The base follows the load of a group and is tracked with its slope; pressures hardly change. A
/// Kalman filter estimates both; covariances between pressures are left out.
class headroom_model {
 public:
  /// Takes a reading and what filling tasks beside it used meanwhile.
  void Observe(const headroom_reading& reading, const std::vector<filling_use>& beside,
               core::mono_time now);
  /// Takes over an estimate that was learned from more workers. Own readings do not change it.
  void Adopt(const std::string& victim, const std::string& image, const pressure& known);
  /// Forgets groups without a reading for a while.
  void ForgetGroups(core::mono_time now);
  void Clear();

  /// @return the pressure of `image` on `victim`; a cautious guess if the pair is unknown.
  pressure PressureOf(const std::string& victim, const std::string& image) const;
  /// @return true if readings of this pair were seen or adopted.
  bool HasEstimate(const std::string& victim, const std::string& image) const;
  /// @return the headroom that the group's tasks will have at `at` without filling tasks.
  double BaseAt(const std::string& group, core::mono_time at) const;
  /// @return the mean of the base over the last tens of seconds.
  double MeanBase(const std::string& group) const;
  /// @return the lowest base of the last minutes, as far as it was seen.
  double RecentMinBase(const std::string& group) const;

  /// @return goal / tail latency.
  static double HeadroomOf(std::uint32_t tail_ms, std::uint32_t goal_ms) noexcept;

 private:
  /// Level and slope of a group's base with their covariance.
  struct base_state {
    double level = 0;
    double slope = 0;
    double var_level = 0;
    double cov = 0;
    double var_slope = 0;
    double mean = 0;
    double low = 0;                ///< lowest level of late
    core::mono_time saturated_at;  ///< when a reading was last far over the goal
    core::mono_time at;
  };
  struct pair_state {
    pressure known;
    bool adopted = false;
  };
  using pair_key = std::pair<std::string, std::string>;

  static void Predict(base_state& base, core::mono_time now);
  pair_state& PairOf(const std::string& victim, const std::string& image);

  std::map<std::string, base_state> groups_;
  std::map<pair_key, pair_state> pairs_;
};

}  // namespace coltsfoot::jobs
