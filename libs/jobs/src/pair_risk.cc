#include "jobs/pair_risk.h"

#include <algorithm>
#include <cmath>

namespace coltsfoot::jobs {
namespace {

// Readings above the first are misses, below the second they show that nobody does harm. Between
// them lie peaks of the serving task's own load.
constexpr double kMissed = 1.0;
constexpr double kMet = 0.8;
// What is assumed of an unknown pair, worth this many readings.
constexpr double kPriorMissed = 0.2;
constexpr double kPriorReadings = 1.0;
// A reading without a miss says little of an image that used only part of a processor.
constexpr double kCoresForWholeReading = 2.0;
constexpr double kMetWeight = 0.5;
// Interference changes with load, within tens of seconds.
constexpr double kHalfLifeS = 20.0;

}  // namespace

void pair_risk::Observe(const std::string& victim, double load,
                        const std::vector<filling_use>& beside, core::mono_time now) {
  if (load < kMissed && load > kMet) return;
  // Squared, so that the most suspect image takes nearly all of the blame.
  const auto suspicion_of = [&](const filling_use& use) {
    const double risk = Risk(victim, use.image);
    return risk * risk * use.cores;
  };
  double suspicion = 0;
  for (const filling_use& use : beside) suspicion += suspicion_of(use);
  std::vector<double> shares;
  shares.reserve(beside.size());
  for (const filling_use& use : beside) {
    shares.push_back(suspicion > 0 ? suspicion_of(use) / suspicion : 0);
  }
  for (std::size_t index = 0; index < beside.size(); ++index) {
    const filling_use& use = beside[index];
    evidence& pair = pairs_[{victim, use.image}];
    const double age_s = std::chrono::duration<double>(now - pair.at).count();
    const double kept = std::exp2(-std::max(0.0, age_s) / kHalfLifeS);
    pair.missed *= kept;
    pair.met *= kept;
    pair.at = now;
    if (load >= kMissed) {
      pair.missed += shares[index];
    } else {
      pair.met += kMetWeight * std::min(1.0, use.cores / kCoresForWholeReading);
    }
  }
}

double pair_risk::Risk(const std::string& victim, const std::string& image) const {
  const auto place = pairs_.find({victim, image});
  if (place == pairs_.end()) return kPriorMissed / kPriorReadings;
  const evidence& pair = place->second;
  return (pair.missed + kPriorMissed) / (pair.missed + pair.met + kPriorReadings);
}

}  // namespace coltsfoot::jobs
