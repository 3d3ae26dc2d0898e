#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "retry/hedge_policy.h"
#include "retry/retry_budget.h"
#include "retry/retry_policy.h"

namespace coltsfoot::retry {
namespace {

using core::milliseconds;
using core::result_code;
using std::chrono::microseconds;

constexpr std::uint64_t kSeed = 20261204;

attempt_outcome Outcome(result_code code, bool idempotent) {
  return {.code = code, .idempotent = idempotent, .time_left = milliseconds{1000}};
}

}  // namespace

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within the budgeted percentage of successful requests") {
  CHECK(rc::check([](const std::vector<bool>& steps) {
    retry_budget budget(10);
    double successes = 0;
    double retries = 0;
    for (const bool success : steps) {
      if (success) {
        budget.OnSuccess();
        successes += 1;
      } else if (budget.TryWithdraw()) {
        retries += 1;
      }
    }
    RC_ASSERT(retries <= 10 + successes * 0.1 + 1e-6);
  }));
  retry_budget budget(10);
  while (budget.TryWithdraw()) {
  }
  for (int count = 0; count < 9; ++count) budget.OnSuccess();
  CHECK_FALSE(budget.TryWithdraw());
  budget.OnSuccess();
  CHECK(budget.TryWithdraw());
  for (int count = 0; count < 100'000; ++count) budget.OnSuccess();
  CHECK(budget.tokens() == doctest::Approx(100));
  budget.SetPercent(0);
  CHECK_FALSE(budget.TryWithdraw());
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a non-idempotent request is retried only if it provably did not run") {
  core::seeded_random random(kSeed);
  for (const core::result_code_info& info : core::AllResultCodes()) {
    CAPTURE(info.name);
    retry_budget budget(10);
    const retry_decision decision = ShouldRetry(Outcome(info.code, false), {}, budget, random);
    if (decision.retry) CHECK(core::IsNotRun(info.code));
    if (!decision.retry) CHECK(decision.code == info.code);
    CHECK(budget.tokens() == (decision.retry ? 9 : 10));
  }
  retry_budget budget(10);
  CHECK(ShouldRetry(Outcome(result_code::connection_lost, false), {}, budget, random).reason ==
        stop_reason::may_have_run);
  CHECK(ShouldRetry(Outcome(result_code::connection_lost, true), {}, budget, random).retry);
  CHECK(ShouldRetry(Outcome(result_code::draining, false), {}, budget, random).retry);
  CHECK(ShouldRetry(Outcome(result_code::never_fits, true), {}, budget, random).reason ==
        stop_reason::final_outcome);
}

// Guards against unlimited retries, and against an attempt whose answer would miss the deadline.
TEST_CASE("retries stop at the attempt limit, the deadline and the end of the budget") {
  core::seeded_random random(kSeed);
  retry_budget budget(10);
  attempt_outcome outcome = Outcome(result_code::draining, true);
  outcome.attempt = 4;
  CHECK(ShouldRetry(outcome, {}, budget, random).reason == stop_reason::attempts_used);
  outcome.attempt = 1;
  outcome.expected = milliseconds{996};
  CHECK(ShouldRetry(outcome, {}, budget, random).reason == stop_reason::no_time);
  outcome.expected = {};
  while (budget.TryWithdraw()) {
  }
  CHECK(ShouldRetry(outcome, {}, budget, random).reason == stop_reason::budget_exhausted);
}

// Guards against synchronized retries of many callers, and against delays beyond the deadline.
TEST_CASE("retry delays are jittered, grow and stay bounded") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::seeded_random random(seed);
    const retry_options options;
    core::nanoseconds delay{0};
    for (int attempt = 0; attempt < 20; ++attempt) {
      const core::nanoseconds next = NextDelay(options, delay, random);
      RC_ASSERT(next >= options.base_delay);
      RC_ASSERT(next <= options.max_delay);
      RC_ASSERT(next <= std::max(options.base_delay, delay) * 3);
      delay = next;
    }
    retry_budget budget(10);
    attempt_outcome outcome = Outcome(result_code::draining, true);
    outcome.time_left = milliseconds{random.Below(20)};
    const retry_decision decision = ShouldRetry(outcome, options, budget, random);
    if (decision.retry) RC_ASSERT(decision.delay < outcome.time_left);
  }));
  core::seeded_random random(kSeed);
  CHECK(NextDelay({}, {}, random) != NextDelay({}, {}, random));
}

// Guards against premature hedges caused by an inaccurate percentile.
TEST_CASE("estimated percentiles are within 10 % of the exact ones and follow changes") {
  latency_histogram latencies;
  CHECK_FALSE(latencies.Percentile(95).has_value());
  for (int ms = 1; ms <= 1000; ++ms) latencies.Record(milliseconds{ms});
  for (const double percentile : {50.0, 95.0, 99.0}) {
    const auto measured = latencies.Percentile(percentile);
    REQUIRE(measured.has_value());
    CHECK(*measured >= microseconds{static_cast<int>(percentile * 10'000)});
    CHECK(*measured <= microseconds{static_cast<int>(percentile * 11'100)});
  }
  for (int count = 0; count < 20'000; ++count) latencies.Record(milliseconds{2});
  CHECK(*latencies.Percentile(95) < milliseconds{3});
}

// Guards against hedging requests that must not run twice, and against hedges that bypass the
// budget or are not counted.
TEST_CASE("only idempotent latency-critical requests are hedged, within the retry budget") {
  hedge_policy policy;
  policy.Configure(true, 95);
  for (int count = 0; count < 100; ++count) policy.Record(milliseconds{10});
  const hedge_candidate eligible{true, true, milliseconds{100}};
  const auto delay = policy.PlanHedge(eligible);
  REQUIRE(delay.has_value());
  CHECK(*delay >= milliseconds{10});
  CHECK(*delay <= milliseconds{12});
  CHECK_FALSE(policy.PlanHedge({false, true, milliseconds{100}}).has_value());
  CHECK_FALSE(policy.PlanHedge({true, false, milliseconds{100}}).has_value());
  CHECK_FALSE(policy.PlanHedge({true, true, milliseconds{5}}).has_value());
  retry_budget budget(10);
  for (int count = 0; count < 10; ++count) CHECK(policy.TryHedge(budget));
  CHECK_FALSE(policy.TryHedge(budget));
  CHECK(policy.hedges() == 10);
  CHECK(policy.hedge_ratio() == doctest::Approx(2.5));
  policy.Configure(false, 95);
  CHECK_FALSE(policy.PlanHedge(eligible).has_value());
}

}  // namespace coltsfoot::retry
