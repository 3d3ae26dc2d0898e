#include "interference/model.h"

#include <doctest/doctest.h>

#include <array>
#include <cmath>
#include <string>

#include "core/random_source.h"

namespace coltsfoot::interference {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::mono_time kStart{std::chrono::hours{1}};

wire::usage_report Report(std::uint32_t age_ms, std::vector<wire::usage_sample> samples) {
  return {.worker = "w1", .age_ms = age_ms, .samples = std::move(samples)};
}

wire::usage_report SlowPlanner(double slowdown) {
  return Report(0, {{"planner", "", {}, static_cast<std::uint32_t>(slowdown * 1000)}});
}

struct pair_fixture {
  model estimates;
  core::mono_time now = kStart;
  class_id planner = estimates.FindOrAddClass("planner", now);
  class_id cutter = estimates.FindOrAddClass("cutter", now);

  pair_fixture() {
    estimates.OnStarted(0, planner, now);
    estimates.OnStarted(0, cutter, now);
  }
  void Learn(double slowdown, int reports) {
    for (int i = 0; i < reports; ++i) {
      now += seconds{1};
      estimates.Decay(now);
      estimates.OnUsage(0, SlowPlanner(slowdown), now);
    }
  }
  double Estimate() const { return estimates.Estimate(planner, cutter, now).slowdown; }
};

// Guards against attributing a slowdown to the classes that run when the report arrives instead of
// those that ran when it was measured.
TEST_CASE("a late report is attributed to the classes co-located at measurement time") {
  model estimates;
  const class_id planner = estimates.FindOrAddClass("planner", kStart);
  const class_id noisy = estimates.FindOrAddClass("noisy", kStart);
  const class_id quiet = estimates.FindOrAddClass("quiet", kStart);
  estimates.OnStarted(0, planner, kStart);
  estimates.OnStarted(0, noisy, kStart + seconds{1});
  estimates.OnEnded(0, noisy, kStart + seconds{4});
  estimates.OnStarted(0, quiet, kStart + seconds{5});
  estimates.OnUsage(0, Report(4000, {{"planner", "", {}, 2000}}), kStart + seconds{6});
  CHECK(estimates.Estimate(planner, noisy, kStart).slowdown > 1.5);
  CHECK(estimates.Estimate(planner, quiet, kStart).slowdown == doctest::Approx(1));
  CHECK(estimates.Predict(0, noisy).harm > 0.4);
  CHECK(estimates.CurrentSlowdown(0, planner) == doctest::Approx(1));
}

// Guards against learning from a report that is older than the recorded history of the worker.
TEST_CASE("reports older than the bounded history are dropped") {
  model estimates;
  const class_id noisy = estimates.FindOrAddClass("noisy", kStart);
  for (std::size_t i = 0; i < worker_history::kMaxChanges; ++i) {
    const core::mono_time now = kStart + seconds{10 + static_cast<int>(i)};
    estimates.OnStarted(0, noisy, now);
    estimates.OnEnded(0, noisy, now + milliseconds{1});
  }
  estimates.OnUsage(0, Report(60'000, {{"planner", "", {}, 3000}}), kStart + seconds{74});
  CHECK(estimates.counters().too_old == 1);
  CHECK(estimates.counters().samples == 0);
}

// Guards against estimates that follow a change too slowly, in either direction. Since logarithms
// are added, half of a slowdown of 2 is sqrt(2).
TEST_CASE("a pair is learned within 3 reports and unlearned within 6") {
  pair_fixture fixture;
  SUBCASE("unknown pair") { fixture.Learn(2, 3); }
  SUBCASE("pair that was harmless for long") {
    fixture.Learn(1, 100);
    fixture.Learn(2, 3);
  }
  CHECK(fixture.Estimate() > std::sqrt(2));
  fixture.Learn(2, 100);
  CHECK(fixture.Estimate() == doctest::Approx(2).epsilon(0.02));
  fixture.Learn(1, 6);
  CHECK(fixture.Estimate() < std::sqrt(2));
}

// Guards against a single outlier that distorts an estimate for a long time.
TEST_CASE("one outlier does not change the estimate of a well-known pair") {
  pair_fixture fixture;
  fixture.Learn(1, 50);
  fixture.Learn(8, 1);
  fixture.Learn(1, 3);
  CHECK(fixture.Estimate() < 1.3);
}

// Guards against estimates that persist after their cause is gone because no reports arrive.
TEST_CASE("estimates without reports decay and become less certain") {
  pair_fixture fixture;
  fixture.Learn(2, 20);
  const auto fresh = fixture.estimates.Estimate(fixture.planner, fixture.cutter, fixture.now);
  fixture.now += std::chrono::minutes{10};
  const auto predicted = fixture.estimates.Estimate(fixture.planner, fixture.cutter, fixture.now);
  CHECK(predicted.slowdown == doctest::Approx(std::sqrt(fresh.slowdown)));
  CHECK(predicted.uncertainty > fresh.uncertainty);
  fixture.estimates.Decay(fixture.now);
  CHECK(fixture.Estimate() == doctest::Approx(predicted.slowdown));
}

// Guards against attributing a slowdown to a harmless class that often runs next to the aggressor,
// when measurements are noisy.
TEST_CASE("the aggressor is distinguished from harmless co-located classes") {
  model estimates;
  core::seeded_random random(7);
  const class_id planner = estimates.FindOrAddClass("planner", kStart);
  std::array<class_id, 4> others{};
  for (std::size_t i = 0; i < others.size(); ++i) {
    others[i] = estimates.FindOrAddClass("c" + std::to_string(i), kStart);
  }
  core::mono_time now = kStart;
  for (int round = 0; round < 60; ++round) {
    const auto worker = static_cast<std::uint32_t>(round);
    estimates.OnStarted(worker, planner, now);
    bool harmed = false;
    for (std::size_t i = 0; i < others.size(); ++i) {
      if (random.Below(2) == 0) continue;
      estimates.OnStarted(worker, others[i], now);
      harmed = harmed || i == 2;
    }
    const double noise = 0.95 + 0.1 * random.Uniform();
    now += seconds{1};
    estimates.OnUsage(worker, SlowPlanner((harmed ? 1.8 : 1.0) * noise), now);
  }
  for (std::size_t i = 0; i < others.size(); ++i) {
    const double slowdown = estimates.Estimate(planner, others[i], now).slowdown;
    CHECK(slowdown == doctest::Approx(i == 2 ? 1.8 : 1.0).epsilon(0.15));
  }
}

// Guards against ignoring tasks that other entries placed.
TEST_CASE("classes of other entries' tasks are considered while reports include them") {
  model estimates;
  estimates.OnUsage(0, Report(100, {{"planner", "", {}, 2000}, {"foreign", "t", {}, 1000}}),
                    kStart);
  CHECK(estimates.Predict(0, estimates.FindClass("planner")).own_slowdown > 1.5);
  estimates.Decay(kStart + std::chrono::minutes{5});
  CHECK(estimates.Predict(0, estimates.FindClass("planner")).co_located_classes == 0);
}

// Guards against state that grows with the number of classes ever seen.
TEST_CASE("the number of classes is bounded and the ids of idle classes are reused") {
  model estimates({.max_classes = 4});
  const class_id first = estimates.FindOrAddClass("a", kStart);
  estimates.OnStarted(0, first, kStart);
  estimates.FindOrAddClass("b", kStart);
  estimates.FindOrAddClass("c", kStart);
  CHECK(estimates.FindOrAddClass("d", kStart) == kOtherClass);
  const core::mono_time later = kStart + std::chrono::hours{2};
  CHECK(estimates.FindOrAddClass("d", later) != kOtherClass);
  CHECK(estimates.FindClass("b") == kOtherClass);
  CHECK(estimates.FindClass("a") == first);
}

}  // namespace
}  // namespace coltsfoot::interference
