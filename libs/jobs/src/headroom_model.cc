#include "jobs/headroom_model.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::jobs {
namespace {

// Most images hardly interfere with each other; in about a quarter of the pairs each processor
// takes half of the headroom at the goal.
constexpr pressure kDefaultPressure{0.15, 0.09};
// Readings of the same state differ in proportion to their value and by the rounding to whole
// milliseconds.
constexpr double kRelativeNoise = 0.08;
constexpr double kMinNoise = 0.03;
constexpr double kRoundingMs = 0.3;
// Differences in headroom have no effect on decisions when the latency is far below the goal.
constexpr double kMaxHeadroom = 8.0;
// The latency of a saturated queue depends on the length of the measuring window, not on the load.
constexpr double kSaturatedHeadroom = 0.3;
// Process noise of the slope (headroom^2 / s^3); the load of a service swings with periods of 10 s
// or more.
constexpr double kAccelerationNoise = 0.2;
constexpr double kInitialSlopeVariance = 0.25;
// Growth of a pressure's variance (1 / s): pressures drift slowly.
constexpr double kPressureDrift = 0.0002;
constexpr double kMinPressureVariance = 0.0004;
constexpr double kMeanTimeConstantS = 20.0;
// Long enough to keep the lowest base over several swings of the load.
constexpr double kRecentMinTimeConstantS = 120.0;
constexpr double kMinTrustedHeadroom = 0.9;
// Readings may reflect tasks for up to this long after these left the worker.
constexpr core::milliseconds kReadingWindow{1000};
constexpr core::milliseconds kGroupTimeout{10'000};
// Services are usually sized so that their own peak load leaves a third of the goal unused.
constexpr double kDefaultBase = 2.0;
constexpr double kDefaultRecentMin = 1.4;

double Seconds(core::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double headroom_model::HeadroomOf(std::uint32_t tail_ms, std::uint32_t goal_ms) noexcept {
  return std::min(kMaxHeadroom, static_cast<double>(goal_ms) / std::max<std::uint32_t>(1, tail_ms));
}

void headroom_model::Predict(base_state& base, core::mono_time now) {
  const double dt = std::max(0.0, Seconds(now - base.updated_at));
  base.level += base.slope * dt;
  base.var_level +=
      2 * dt * base.cov + dt * dt * base.var_slope + kAccelerationNoise * dt * dt * dt / 3;
  base.cov += dt * base.var_slope + kAccelerationNoise * dt * dt / 2;
  base.var_slope += kAccelerationNoise * dt;
  base.updated_at = std::max(base.updated_at, now);
}

headroom_model::pair_state& headroom_model::FindOrAddPair(const std::string& victim,
                                                          const std::string& image) {
  return pairs_.try_emplace({victim, image}, pair_state{kDefaultPressure}).first->second;
}

void headroom_model::Observe(const headroom_reading& reading,
                             const std::vector<filling_use>& co_located, core::mono_time now) {
  if (reading.goal_ms == 0 || reading.tail_ms == 0) return;
  const double headroom = HeadroomOf(reading.tail_ms, reading.goal_ms);
  const double rounding = headroom * headroom * kRoundingMs / reading.goal_ms;
  const double noise = rounding * rounding + kRelativeNoise * headroom * kRelativeNoise * headroom +
                       kMinNoise * kMinNoise;
  double loss = 0;
  double loss_variance = 0;
  for (const filling_use& use : co_located) {
    const pressure& pair = FindOrAddPair(reading.image, use.image).known;
    loss += pair.mean * use.cores;
    loss_variance += pair.variance * use.cores * use.cores;
  }
  const auto [place, added] = groups_.try_emplace(reading.group);
  base_state& base = place->second;
  if (added) {
    base.level = headroom + loss;
    base.mean = base.level;
    base.min = std::min(base.level, kDefaultRecentMin);
    base.var_level = noise + loss_variance;
    base.var_slope = kInitialSlopeVariance;
    base.updated_at = now;
    return;
  }
  const double dt = std::max(0.0, Seconds(now - base.updated_at));
  Predict(base, now);
  double innovation = headroom - (base.level - loss);
  // A saturated reading does not show by how much the load exceeds the capacity, so it must not
  // raise the estimate.
  if (headroom < kSaturatedHeadroom && innovation > 0) innovation = 0;
  const double innovation_variance = noise + base.var_level + loss_variance;
  for (const filling_use& use : co_located) {
    pair_state& state = FindOrAddPair(reading.image, use.image);
    if (state.adopted) continue;
    pressure& pair = state.known;
    const double gain = pair.variance * use.cores / innovation_variance;
    pair.mean = std::max(0.0, pair.mean - gain * innovation);
    pair.variance = std::max(kMinPressureVariance,
                             pair.variance * (1 - gain * use.cores) + kPressureDrift * dt);
  }
  const double gain_level = base.var_level / innovation_variance;
  const double gain_slope = base.cov / innovation_variance;
  base.level += gain_level * innovation;
  base.slope += gain_slope * innovation;
  base.var_slope -= gain_slope * base.cov;
  base.cov *= 1 - gain_level;
  base.var_level *= 1 - gain_level;
  base.mean += (base.level - base.mean) * (1 - std::exp(-dt / kMeanTimeConstantS));
  base.min += (base.mean - base.min) * (1 - std::exp(-dt / kRecentMinTimeConstantS));
  // A saturated queue yields a value below the actual base, which must not become the minimum.
  if (headroom < kMinTrustedHeadroom) base.saturated_at = now;
  if (now - base.saturated_at >= kReadingWindow) base.min = std::min(base.min, base.level);
}

void headroom_model::Adopt(const std::string& victim, const std::string& image,
                           const pressure& known) {
  pairs_.insert_or_assign({victim, image}, pair_state{known, true});
}

void headroom_model::ForgetGroups(core::mono_time now) {
  std::erase_if(groups_,
                [now](const auto& each) { return now - each.second.updated_at > kGroupTimeout; });
}

void headroom_model::Clear() {
  groups_.clear();
  pairs_.clear();
}

pressure headroom_model::PressureOf(const std::string& victim, const std::string& image) const {
  const auto place = pairs_.find({victim, image});
  if (place == pairs_.end()) return kDefaultPressure;
  return place->second.known;
}

bool headroom_model::HasEstimate(const std::string& victim, const std::string& image) const {
  return pairs_.contains({victim, image});
}

double headroom_model::BaseAt(const std::string& group, core::mono_time at) const {
  const auto place = groups_.find(group);
  if (place == groups_.end()) return kDefaultBase;
  const base_state& base = place->second;
  const double expected = base.level + base.slope * Seconds(at - base.updated_at);
  // Extrapolating the slope overshoots: loads usually turn at the level of their earlier extremes.
  return std::max(expected, std::min(base.level, base.min));
}

double headroom_model::MeanBase(const std::string& group) const {
  const auto place = groups_.find(group);
  return place == groups_.end() ? kDefaultBase : place->second.mean;
}

double headroom_model::RecentMinBase(const std::string& group) const {
  const auto place = groups_.find(group);
  return place == groups_.end() ? kDefaultRecentMin
                                : std::min(place->second.level, place->second.min);
}

}  // namespace coltsfoot::jobs
