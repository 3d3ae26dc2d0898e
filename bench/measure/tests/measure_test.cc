#include <doctest/doctest.h>

#include <algorithm>

#include "measure/report.h"
#include "measure/run.h"
#include "measure/summary.h"

namespace coltsfoot::measure {
namespace {

using core::milliseconds;

constexpr milliseconds kBound{30000};
constexpr int kRequests = 120;

}  // namespace

// Guards against sums that include counters with other names or labels.
TEST_CASE("counters are summed by label") {
  const std::string text =
      "# TYPE a_total counter\n"
      "a_total{reason=\"x\"} 2\n"
      "a_total{reason=\"y\"} 3\n"
      "a_total_other{reason=\"x\"} 100\n"
      "plain 7\n";
  CHECK(SumCounter(text, "a_total", "reason") ==
        std::map<std::string, std::uint64_t>{{"x", 2}, {"y", 3}});
  CHECK(SumCounter(text, "plain", "") == std::map<std::string, std::uint64_t>{{"", 7}});
}

// Guards against a median that depends on the order of the runs, and against comparisons across
// seeds, whose calls differ.
TEST_CASE("runs are compared by seed") {
  CHECK(SpreadOf({3, 1, 2}) == spread{2, 1, 3});
  CHECK(SpreadOf({4, 1}) == spread{2.5, 1, 4});
  CHECK(SpreadOf({}) == spread{});
  std::vector<run_result> runs;
  const auto add = [&](const char* policy, std::uint64_t seed, std::uint64_t ended) {
    runs.push_back({.scenario = "steady", .policy = policy, .seed = seed, .seconds = 1});
    runs.back().task_outcomes["ok"] = ended;
  };
  add("weighted", 1, 10);
  add("weighted", 2, 5);
  add("weighted", 3, 7);
  add("random", 1, 9);
  add("random", 2, 5);
  add("random", 3, 8);
  runs.back().error = "void";
  const measured_quantity& tasks = Quantities()[3];
  REQUIRE(tasks.name == "tasks/s");
  CHECK(Compare(runs, "steady", "weighted", "random", tasks) == comparison{1, 1, 0});
  CHECK(Compare(runs, "steady", "random", "weighted", tasks) == comparison{0, 1, 1});
}

// Guards against scenarios without requests, and against phases with equal seeds, whose calls would
// share idempotency keys.
TEST_CASE("each phase of a scenario draws different keys") {
  for (const scenario& spec : Scenarios("planner", milliseconds{20'000}, 1)) {
    REQUIRE_FALSE(spec.phases.empty());
    CHECK(spec.phases.front().load.request_rate > 0);
    std::vector<std::uint64_t> seeds;
    for (const load_phase& phase : spec.phases) seeds.push_back(phase.load.seed);
    std::sort(seeds.begin(), seeds.end());
    CHECK(std::adjacent_find(seeds.begin(), seeds.end()) == seeds.end());
  }
}

// Guards against requests that fail because a lost worker counts as live for three heartbeat
// periods: each request that is sent to it uses up retry budget until later requests can no longer
// be retried.
TEST_CASE("requests are answered while lost workers still count as live") {
  harness::fleet_options options{.entries = 1, .workers = 3};
  options.timings.heartbeat = milliseconds{4000};
  options.timings.lease_ttl = milliseconds{12000};
  harness::fleet fleet(options);
  REQUIRE(fleet.WaitReady(kBound));
  const auto changed = fleet.calls().Call(
      "PATCH", fleet.Entry(0) + "/v1/config/defaults",
      R"({"author":"test","set":{"placement.policy":"round_robin","hedge.enabled":false}})");
  REQUIRE(changed.answer);
  REQUIRE(changed.answer->status == 200);
  fleet.KillWorker(1);
  int answered = 0;
  for (int index = 0; index < kRequests; ++index) {
    auto request = fleet.calls().Request(fleet.Entry(0), "strawline", std::to_string(index));
    if (request.get().ok()) ++answered;
  }
  CHECK(answered == kRequests);
}

}  // namespace coltsfoot::measure
