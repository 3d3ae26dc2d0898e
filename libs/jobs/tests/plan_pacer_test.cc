#include "jobs/plan_pacer.h"

#include <doctest/doctest.h>

namespace coltsfoot::jobs {

using core::milliseconds;

// Guards against a coordinator that spends its host's whole processor on plans for a large fleet,
// so that reports wait and leases lapse.
TEST_CASE("plans take at most a fifth of the time, and starts never wait longer than the limit") {
  constexpr milliseconds kStep{1};
  plan_pacer pacer;
  core::mono_time now{milliseconds{1000}};
  CHECK(pacer.IsDue(now));
  core::nanoseconds busy{0};
  const core::mono_time begun = now;
  for (int plan = 0; plan < 100; ++plan) {
    const core::nanoseconds cost = milliseconds{1 + plan % 6};
    pacer.Record(now, now + cost);
    busy += cost;
    now += cost;
    while (!pacer.IsDue(now)) now += kStep;
  }
  CHECK(5 * busy <= now - begun);
  pacer.Record(now, now + milliseconds{500});
  CHECK_FALSE(pacer.IsDue(now + milliseconds{501}));
  CHECK(pacer.IsDue(now + milliseconds{500} + plan_pacer::kMaxPause));
}

}  // namespace coltsfoot::jobs
