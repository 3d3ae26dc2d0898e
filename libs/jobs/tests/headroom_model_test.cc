#include "jobs/headroom_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>
#include <vector>

#include "core/random_source.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;

/// Simulated service with an oscillating load; its tail latency is inversely proportional to its
/// idle share.
struct swinging_service {
  double tail_idle_ms = 4;
  double mean_load = 0.48;
  double swing = 0.6;
  double period_s = 10;
  double phase = 0;

  /// @return the tail latency in ms.
  /// @param lost load that filling tasks add.
  std::uint32_t Tail(double at_s, double lost) const {
    const double wave = std::sin(2 * std::numbers::pi * (at_s / period_s + phase));
    const double idle = 1 - mean_load * (1 + swing * wave) - lost;
    return static_cast<std::uint32_t>(std::lround(tail_idle_ms / std::max(0.02, idle)));
  }
};

constexpr std::uint32_t kGoalMs = 24;
// Headroom lost per unit of load: goal / tail latency of an idle service.
constexpr double kHeadroomPerLoad = 6.0;

}  // namespace

// Guards against attributing the pressure of a harmful image to other images on the same worker,
// and against attributing changes of the load to filling tasks.
TEST_CASE("pressures of two images are separated while the load swings") {
  constexpr double kHarmful = 0.1;
  constexpr double kHarmless = 0.01;
  headroom_model model;
  core::manual_clock time;
  core::seeded_random random(7);
  const swinging_service service;
  for (int reading = 0; reading < 120; ++reading) {
    time.Advance(milliseconds{500});
    const double at_s = 0.5 * reading;
    // Three workers, each with a task of the group and its own filling tasks.
    for (int worker = 0; worker < 3; ++worker) {
      const double harmful = static_cast<double>(random.Below(3));
      const double harmless = static_cast<double>(random.Below(5));
      const double lost = kHarmful * harmful + kHarmless * harmless;
      model.Observe({"job.0", "s", service.Tail(at_s, lost), kGoalMs},
                    {{"harmful", harmful}, {"harmless", harmless}}, time.Now());
    }
  }
  const double harmful = model.PressureOf("s", "harmful").mean;
  const double harmless = model.PressureOf("s", "harmless").mean;
  CHECK(harmful > kHarmful * kHeadroomPerLoad / 2);
  CHECK(harmful < kHarmful * kHeadroomPerLoad * 2);
  CHECK(harmless < harmful / 4);
}

// Guards against a prediction that extrapolates a falling slope past the turn of the load.
TEST_CASE("the predicted base follows the load and stays above its earlier minimum") {
  headroom_model model;
  core::manual_clock time;
  const swinging_service service;
  double worst = 0;
  for (int reading = 0; reading < 200; ++reading) {
    time.Advance(milliseconds{250});
    const double at_s = 0.25 * reading;
    model.Observe({"job.0", "s", service.Tail(at_s, 0), kGoalMs}, {}, time.Now());
    // Predicts half a second ahead, once two periods have been observed.
    if (reading < 80) continue;
    const double expected = model.BaseAt("job.0", time.Now() + milliseconds{500});
    const double truth = headroom_model::HeadroomOf(service.Tail(at_s + 0.5, 0), kGoalMs);
    // Only the headroom near the goal affects decisions.
    if (truth < 2) worst = std::max(worst, std::abs(expected - truth));
  }
  CHECK(worst < 0.6);
  CHECK(model.RecentMinBase("job.0") > 1.1);
  CHECK(model.RecentMinBase("job.0") < 1.6);
}

// Guards against an agent whose few local readings overwrite the estimate from all workers.
TEST_CASE("local readings do not change an adopted pressure") {
  headroom_model model;
  core::manual_clock time;
  model.Adopt("s", "f", {0.4, 0.001});
  for (int reading = 0; reading < 10; ++reading) {
    time.Advance(milliseconds{500});
    model.Observe({"job.0", "s", 30, 100}, {{"f", 2.0}}, time.Now());
  }
  CHECK(model.PressureOf("s", "f").mean == doctest::Approx(0.4));
  CHECK(model.HasEstimate("s", "f"));
  CHECK_FALSE(model.HasEstimate("s", "g"));
}

// Guards against a division by zero while a target has no latency or no goal.
TEST_CASE("readings without a latency or a goal are ignored") {
  headroom_model model;
  core::manual_clock time;
  model.Observe({"job.0", "s", 0, 100}, {{"f", 1.0}}, time.Now());
  model.Observe({"job.0", "s", 10, 0}, {{"f", 1.0}}, time.Now());
  CHECK_FALSE(model.HasEstimate("s", "f"));
}

}  // namespace coltsfoot::jobs
