#include "jobs/headroom_model.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::jobs {
namespace {

// Most images hardly disturb each other; about a quarter of the pairs takes half the headroom at
// the goal with each processor.
constexpr pressure kUnknownPair{0.15, 0.09};
// No image takes nothing; estimates of harmless pairs scatter around this.
constexpr double kMinPressure = 0.05;
// Two readings of the same state differ by a share of their value and by the rounding to whole
// milliseconds.
constexpr double kRelativeNoise = 0.08;
constexpr double kMinNoise = 0.03;
constexpr double kRoundingMs = 0.3;
// Readings far below the goal say little that matters.
constexpr double kMaxHeadroom = 8.0;
// A saturated queue shows the length of the window, not the load.
constexpr double kSaturated = 0.3;
// The load of a service swings within ten seconds or more (headroom^2 / s^3).
constexpr double kAcceleration = 0.2;
constexpr double kFirstSlopeVariance = 0.25;
// Pressures drift slowly (1 / s).
constexpr double kPressureDrift = 0.0002;
constexpr double kMinPressureVariance = 0.0004;
constexpr double kMeanOverS = 20.0;
// The lowest base is kept for several swings of the load.
constexpr double kLowOverS = 120.0;
constexpr double kTrustedHeadroom = 0.9;
// A reading still shows for this long what was beside the task before.
constexpr core::milliseconds kReadingWindow{1000};
constexpr core::milliseconds kForgetAfter{10'000};
// Services are usually planned so that their own load leaves a third of the goal at its peak.
constexpr double kUnknownBase = 2.0;
constexpr double kUnknownLow = 1.4;

double Seconds(core::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double headroom_model::HeadroomOf(std::uint32_t tail_ms, std::uint32_t goal_ms) noexcept {
  return std::min(kMaxHeadroom, static_cast<double>(goal_ms) / std::max<std::uint32_t>(1, tail_ms));
}

void headroom_model::Predict(base_state& base, core::mono_time now) {
  const double dt = std::max(0.0, Seconds(now - base.at));
  base.level += base.slope * dt;
  base.var_level += 2 * dt * base.cov + dt * dt * base.var_slope + kAcceleration * dt * dt * dt / 3;
  base.cov += dt * base.var_slope + kAcceleration * dt * dt / 2;
  base.var_slope += kAcceleration * dt;
  base.at = std::max(base.at, now);
}

headroom_model::pair_state& headroom_model::PairOf(const std::string& victim,
                                                   const std::string& image) {
  return pairs_.try_emplace({victim, image}, pair_state{kUnknownPair}).first->second;
}

void headroom_model::Observe(const headroom_reading& reading,
                             const std::vector<filling_use>& beside, core::mono_time now) {
  if (reading.goal_ms == 0 || reading.tail_ms == 0) return;
  const double headroom = HeadroomOf(reading.tail_ms, reading.goal_ms);
  const double rounding = headroom * headroom * kRoundingMs / reading.goal_ms;
  const double noise = rounding * rounding + kRelativeNoise * headroom * kRelativeNoise * headroom +
                       kMinNoise * kMinNoise;
  double lost = 0;
  double lost_variance = 0;
  for (const filling_use& use : beside) {
    const pressure& pair = PairOf(reading.image, use.image).known;
    lost += pair.mean * use.cores;
    lost_variance += pair.variance * use.cores * use.cores;
  }
  const auto [place, added] = groups_.try_emplace(reading.group);
  base_state& base = place->second;
  if (added) {
    base.level = headroom + lost;
    base.mean = base.level;
    base.low = std::min(base.level, kUnknownLow);
    base.var_level = noise + lost_variance;
    base.var_slope = kFirstSlopeVariance;
    base.at = now;
    return;
  }
  const double dt = std::max(0.0, Seconds(now - base.at));
  Predict(base, now);
  double error = headroom - (base.level - lost);
  // Below this the reading does not tell by how much the load is too high.
  if (headroom < kSaturated && error > 0) error = 0;
  const double total = noise + base.var_level + lost_variance;
  for (const filling_use& use : beside) {
    pair_state& state = PairOf(reading.image, use.image);
    if (state.adopted) continue;
    pressure& pair = state.known;
    const double gain = pair.variance * use.cores / total;
    pair.mean = std::max(0.0, pair.mean - gain * error);
    pair.variance = std::max(kMinPressureVariance,
                             pair.variance * (1 - gain * use.cores) + kPressureDrift * dt);
  }
  const double gain_level = base.var_level / total;
  const double gain_slope = base.cov / total;
  base.level += gain_level * error;
  base.slope += gain_slope * error;
  base.var_slope -= gain_slope * base.cov;
  base.cov *= 1 - gain_level;
  base.var_level *= 1 - gain_level;
  base.mean += (base.level - base.mean) * (1 - std::exp(-dt / kMeanOverS));
  base.low += (base.mean - base.low) * (1 - std::exp(-dt / kLowOverS));
  // A saturated queue shows less than the base.
  if (headroom < kTrustedHeadroom) base.saturated_at = now;
  if (now - base.saturated_at >= kReadingWindow) base.low = std::min(base.low, base.level);
}

void headroom_model::Adopt(const std::string& victim, const std::string& image,
                           const pressure& known) {
  pairs_.insert_or_assign({victim, image}, pair_state{known, true});
}

void headroom_model::ForgetGroups(core::mono_time now) {
  std::erase_if(groups_, [now](const auto& each) { return now - each.second.at > kForgetAfter; });
}

void headroom_model::Clear() {
  groups_.clear();
  pairs_.clear();
}

pressure headroom_model::PressureOf(const std::string& victim, const std::string& image) const {
  const auto place = pairs_.find({victim, image});
  if (place == pairs_.end()) return kUnknownPair;
  const pressure& known = place->second.known;
  return {std::max(kMinPressure, known.mean), known.variance};
}

bool headroom_model::HasEstimate(const std::string& victim, const std::string& image) const {
  return pairs_.contains({victim, image});
}

double headroom_model::BaseAt(const std::string& group, core::mono_time at) const {
  const auto place = groups_.find(group);
  if (place == groups_.end()) return kUnknownBase;
  const base_state& base = place->second;
  const double expected = base.level + base.slope * Seconds(at - base.at);
  // A slope does not last; loads turn where they turned before.
  return std::max(expected, std::min(base.level, base.low));
}

double headroom_model::MeanBase(const std::string& group) const {
  const auto place = groups_.find(group);
  return place == groups_.end() ? kUnknownBase : place->second.mean;
}

double headroom_model::RecentMinBase(const std::string& group) const {
  const auto place = groups_.find(group);
  return place == groups_.end() ? kUnknownLow : std::min(place->second.level, place->second.low);
}

}  // namespace coltsfoot::jobs
