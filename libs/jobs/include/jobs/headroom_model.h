#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Processors that filling tasks of one image used during a reading.
struct filling_use {
  std::string image;
  double cores = 0;
  bool operator==(const filling_use&) const = default;
};

/// Estimate of the headroom that a serving task loses per processor used by filling tasks of an
/// image.
struct pressure {
  double mean = 0;
  double variance = 0;
  bool operator==(const pressure&) const = default;
};

/// One latency sample of a serving task.
struct headroom_reading {
  std::string group;  ///< tasks of one group have the same load
  std::string image;
  std::uint32_t tail_ms = 0;  ///< tail latency; 0: not measured yet
  std::uint32_t goal_ms = 0;  ///< limit of the tail latency; 0: none
  bool operator==(const headroom_reading&) const = default;
};

/// Estimates the latency headroom of serving tasks and how much of it filling tasks consume.
///
/// The headroom of a serving task is its goal divided by its tail latency: 1 at the goal, greater
/// than 1 while the latency is below the goal. In a queue the tail latency is inversely
/// proportional to the idle share, so headroom falls linearly with load and the pressures of
/// filling tasks add up:
///
///     headroom = base(group, time) - sum of pressure(image, filling image) * cores in use
///
/// The base varies with the load of a group and is tracked together with its slope; pressures are
/// nearly constant. A Kalman filter estimates both; it ignores covariances between pressures.
class headroom_model {
 public:
  /// Updates the estimates with a reading. Readings without a goal or a latency are ignored.
  /// @param co_located filling tasks on the same worker during the reading.
  void Observe(const headroom_reading& reading, const std::vector<filling_use>& co_located,
               core::mono_time now);
  /// Sets a pressure that was estimated from more workers. Local readings no longer change it.
  void Adopt(const std::string& victim, const std::string& image, const pressure& known);
  /// Removes groups that have had no reading for 10 s.
  void ForgetGroups(core::mono_time now);
  void Clear();

  /// @return the pressure of `image` on `victim`; a conservative default if the pair is unknown.
  pressure PressureOf(const std::string& victim, const std::string& image) const;
  /// @return true if readings of this pair were observed or its pressure was adopted.
  bool HasEstimate(const std::string& victim, const std::string& image) const;
  /// @return the headroom that the group's tasks are expected to have at `at` without filling
  /// tasks.
  double BaseAt(const std::string& group, core::mono_time at) const;
  /// @return the exponential moving average of the base, with a time constant of 20 s.
  double MeanBase(const std::string& group) const;
  /// @return the lowest base observed recently; the minimum decays towards the mean within minutes.
  double RecentMinBase(const std::string& group) const;

  /// @return goal / tail latency, capped where more headroom makes no difference.
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
    double min = 0;                ///< lowest recent level
    core::mono_time saturated_at;  ///< last reading clearly over the goal
    core::mono_time updated_at;
  };
  struct pair_state {
    pressure known;
    bool adopted = false;
  };
  using pair_key = std::pair<std::string, std::string>;

  static void Predict(base_state& base, core::mono_time now);
  pair_state& FindOrAddPair(const std::string& victim, const std::string& image);

  std::map<std::string, base_state> groups_;
  std::map<pair_key, pair_state> pairs_;
};

}  // namespace coltsfoot::jobs
