#include "jobs/tick_pacer.h"

#include <doctest/doctest.h>

namespace coltsfoot::jobs {

using core::milliseconds;

// Guards against a coordinator that spends its host's whole processor on plans for a large fleet,
// so that reports wait and leases lapse.
TEST_CASE("ticks take at most a tenth of the time, and starts never wait longer than the limit") {
  tick_pacer pacer;
  core::mono_time now{milliseconds{1000}};
  CHECK(pacer.Wait(now) <= core::nanoseconds{0});
  core::nanoseconds busy{0};
  const core::mono_time begun = now;
  for (int tick = 0; tick < 100; ++tick) {
    const core::nanoseconds cost = milliseconds{1 + tick % 6};
    pacer.Note(now, now + cost);
    busy += cost;
    now += cost;
    const core::nanoseconds wait = pacer.Wait(now);
    CHECK(wait >= tick_pacer::kLeastPause);
    CHECK(wait <= tick_pacer::kLongestPause);
    now += wait;
  }
  CHECK(10 * busy <= now - begun);
  pacer.Note(now, now + milliseconds{500});
  CHECK(pacer.Wait(now + milliseconds{500}) == tick_pacer::kLongestPause);
}

}  // namespace coltsfoot::jobs
