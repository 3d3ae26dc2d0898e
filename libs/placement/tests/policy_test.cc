#include "placement/policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "fleet.h"
#include "placement/router.h"
#include "placement/running_table.h"

namespace coltsfoot::placement {
namespace {

using core::task_kind;
constexpr core::mono_time kNow = test_fleet::kStart;
constexpr policy_kind kKinds[] = {policy_kind::weighted, policy_kind::random,
                                  policy_kind::round_robin, policy_kind::least_loaded};

// Guards against a policy that chooses a worker where the task does not fit, for any fleet state.
TEST_CASE("no policy ever chooses a worker that the filters remove") {
  CHECK(rc::check([] {
    test_fleet fleet(*rc::gen::inRange(1, 30));
    std::vector<blame::quarantine_state> quarantine_states;
    for (std::uint32_t i = 0; i < fleet.table.size(); ++i) {
      fleet.free(i) = {*rc::gen::inRange(0, 16'000), *rc::gen::inRange(0, 60'000),
                       *rc::gen::inRange(0, 3)};
      quarantine_states.push_back(static_cast<blame::quarantine_state>(*rc::gen::inRange(0, 4)));
      if (*rc::gen::inRange(0, 5) == 0) fleet.table.SetOperatorDrain(i, true);
    }
    fleet.Beat(kNow);
    auto task = MakeTask(
        "t", *rc::gen::element(task_kind::batch, task_kind::latency_critical),
        {*rc::gen::inRange(0, 8'000), *rc::gen::inRange(0, 30'000), *rc::gen::inRange(0, 2)});
    task.failed_on = {0};
    placement_view view = fleet.View();
    view.quarantine_states = quarantine_states;
    view.headroom_percent = 25;
    view.borrow_headroom = *rc::gen::arbitrary<bool>();
    core::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    bool any = false;
    for (worker_index i = 0; i < fleet.table.size(); ++i) {
      any = any || !FilterWorker(task, view, i, view.borrow_headroom, kNow);
    }
    for (const policy_kind kind : kKinds) {
      const auto choice = MakePlacementPolicy(kind)->Choose(task, view, kNow, random, nullptr);
      RC_ASSERT(choice.has_value() == any);
      if (!choice) continue;
      RC_ASSERT(!FilterWorker(task, view, choice->worker, view.borrow_headroom, kNow));
      RC_ASSERT(task.need.FitsIn(fleet.table.available()[choice->worker]));
      RC_ASSERT(choice->worker != 0U);
    }
  }));
}

// Guards against an explanation that does not account for each worker.
TEST_CASE("the explanation counts each removed worker under one reason") {
  test_fleet fleet(12);
  fleet.free(1) = {1'000, 60'000, 2};
  fleet.free(2) = {16'000, 60'000, 0};
  fleet.free(3) = {5'000, 60'000, 2};
  fleet.Beat(kNow + std::chrono::seconds{20});
  const core::mono_time now = kNow + std::chrono::seconds{20};
  fleet.table.SetOperatorDrain(4, true);
  fleet.table.OnGoodbye({"w5", 1});
  const std::vector<blame::quarantine_state> quarantine_states(7, blame::quarantine_state::trusted);
  auto quarantined = quarantine_states;
  quarantined[6] = blame::quarantine_state::quarantined;
  running_table running;
  auto task = MakeTask("t", task_kind::batch, {2'000, 1'000, 1});
  task.failed_on = {7};
  task.max_per_rack = 1;
  running.Add({.spec = MakeTask("u", task_kind::batch, {}), .worker = 9}, fleet.table);
  placement_view view = fleet.View();
  view.quarantine_states = quarantined;
  view.running = &running;
  view.headroom_percent = 25;
  view.borrow_headroom = false;
  core::seeded_random random(1);
  placement_explanation explanation;
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  const auto choice = policy->Choose(task, view, now, random, &explanation);
  REQUIRE(choice);
  CHECK(explanation.examined == 12);
  CHECK(explanation.known == 12);
  CHECK(explanation.big_enough == 12);
  for (const filter_reason reason :
       {filter_reason::dead, filter_reason::draining, filter_reason::quarantined,
        filter_reason::failed_there, filter_reason::accelerators, filter_reason::capacity,
        filter_reason::headroom}) {
    CAPTURE(ToString(reason));
    CHECK(explanation.removed_by(reason) == 1);
  }
  CHECK(explanation.removed_by(filter_reason::spread) == 3);
  CHECK(explanation.best.size() == 2);
  CHECK(explanation.best.front().worker == choice->worker);
}

// Guards against batch in latency-critical headroom while other workers have room, and against
// borrowing where it is being reclaimed.
TEST_CASE("headroom is borrowed last and not during reclaim") {
  test_fleet fleet(2);
  fleet.free(0) = {5'000, 60'000, 2};
  fleet.Beat(kNow);
  placement_view view = fleet.View();
  view.headroom_percent = 25;
  core::seeded_random random(1);
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  const auto task = MakeTask("t", task_kind::batch, {4'000, 1'000, 0});
  CHECK(policy->Choose(task, view, kNow, random, nullptr)->worker == 1);
  fleet.table.Assign(1, {14'000, 0, 0});
  const auto borrowed = policy->Choose(task, view, kNow, random, nullptr);
  REQUIRE(borrowed);
  CHECK(borrowed->worker == 0);
  CHECK(borrowed->borrows_headroom);
  const std::vector<std::uint8_t> reclaim{1, 0};
  view.no_borrowing = reclaim;
  CHECK_FALSE(policy->Choose(task, view, kNow, random, nullptr));
  const auto watch = MakeTask("t", task_kind::latency_critical, {4'000, 1'000, 0});
  CHECK(policy->Choose(watch, view, kNow, random, nullptr)->worker == 0);
}

// Guards against noisy work beside a service that it is known to slow down.
TEST_CASE("the weighted policy avoids predicted interference") {
  test_fleet fleet(3);
  interference::model model;
  for (std::uint32_t worker = 0; worker < 2; ++worker) {
    model.OnStarted(worker, model.Class("planner", kNow), kNow);
  }
  model.OnStarted(1, model.Class("rerun", kNow), kNow);
  for (int i = 0; i < 5; ++i) {
    model.OnUsage(1, {.samples = {{"planner", "", {}, 3'000}}}, kNow);
  }
  placement_view view = fleet.View();
  view.interference = &model;
  core::seeded_random random(1);
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  const auto task = MakeTask("t", task_kind::batch, {1'000, 1'000, 0});
  CHECK(policy->Choose(task, view, kNow, random, nullptr)->worker == 2);
}

// Guards against weights without effect: throughput fills workers so that big tasks find empty
// ones, the other goals keep batch where most is free.
TEST_CASE("the weights decide between packing and spreading") {
  test_fleet fleet(2);
  fleet.free(0) = {8'000, 30'000, 2};
  fleet.Beat(kNow);
  core::seeded_random random(1);
  const auto task = MakeTask("t", task_kind::batch, {1'000, 1'000, 0});
  const std::pair<goal_weights, worker_index> cases[] = {
      {{1, 0, 0}, 1}, {{0, 1, 0}, 0}, {{0, 0, 1}, 1}};
  for (const auto& [weights, expected] : cases) {
    const auto policy = MakePlacementPolicy(policy_kind::weighted, {.weights = weights});
    CHECK(policy->Choose(task, fleet.View(), kNow, random, nullptr)->worker == expected);
  }
}

// Guards against a probe that never happens and against probing with critical work.
TEST_CASE("a worker that is due for a probe gets the next batch task only") {
  test_fleet fleet(4);
  const std::vector<blame::quarantine_state> quarantine_states{blame::quarantine_state::trusted,
                                                               blame::quarantine_state::probe_due};
  placement_view view = fleet.View();
  view.quarantine_states = quarantine_states;
  core::seeded_random random(1);
  const auto policy = MakePlacementPolicy(policy_kind::weighted);
  auto task = MakeTask("t", task_kind::batch, {1'000, 1'000, 0});
  const auto probe = policy->Choose(task, view, kNow, random, nullptr);
  CHECK(probe->worker == 1);
  CHECK(probe->is_probe);
  task.urgent = true;
  CHECK(policy->Choose(task, view, kNow, random, nullptr)->worker != 1);
}

struct routing_fixture {
  test_fleet fleet{12};
  core::seeded_random random{3};
  routing_request request{.service = *fleet.table.service_names().Find("planner"),
                          .own_zone = *fleet.table.place_names().Find("zone0")};
};

// Guards against requests to excluded, quarantined or dead targets, and against giving up while
// one target is left.
TEST_CASE("routing finds the only eligible target") {
  routing_fixture fixture;
  std::vector<worker_index> excluded;
  for (worker_index i = 0; i < 9; ++i) excluded.push_back(i);
  fixture.request.excluded = excluded;
  fixture.fleet.table.OnGoodbye({"w9", 1});
  std::vector<blame::quarantine_state> quarantine_states(11, blame::quarantine_state::trusted);
  quarantine_states[10] = blame::quarantine_state::probing;
  placement_view view = fixture.fleet.View();
  view.quarantine_states = quarantine_states;
  for (const policy_kind kind : kKinds) {
    const auto policy = MakeRoutingPolicy(kind);
    for (int i = 0; i < 20; ++i) {
      CHECK(policy->Route(fixture.request, view, kNow, fixture.random)->worker == 11);
    }
  }
  excluded.push_back(11);
  fixture.request.excluded = excluded;
  for (const policy_kind kind : kKinds) {
    CHECK_FALSE(MakeRoutingPolicy(kind)->Route(fixture.request, view, kNow, fixture.random));
  }
}

// Guards against routing that ignores load or leaves the zone without a reason.
TEST_CASE("weighted routing avoids loaded targets and prefers the own zone") {
  routing_fixture fixture;
  fixture.fleet.load(0) = 8;
  fixture.fleet.Beat(kNow);
  const auto policy = MakeRoutingPolicy(policy_kind::weighted);
  std::map<worker_index, int> chosen;
  int own_zone = 0;
  constexpr int kRequests = 6'000;
  for (int i = 0; i < kRequests; ++i) {
    const auto choice = policy->Route(fixture.request, fixture.fleet.View(), kNow, fixture.random);
    ++chosen[choice->worker];
    if (fixture.fleet.table.zone()[choice->worker] == fixture.request.own_zone) ++own_zone;
  }
  CHECK(chosen[0] == 0);
  // Workers 0 to 2 and 9 to 11 are in the zone: half of the draws, one of them loaded.
  CHECK(own_zone > kRequests * 6 / 10);
}

// Guards against a burst that is herded to one target between two reports.
TEST_CASE("a burst spreads over the targets") {
  routing_fixture fixture;
  const auto policy = MakeRoutingPolicy(policy_kind::weighted);
  for (int i = 0; i < 120; ++i) {
    const auto choice = policy->Route(fixture.request, fixture.fleet.View(), kNow, fixture.random);
    fixture.fleet.table.OnRequestSent(choice->worker, fixture.request.service);
  }
  for (worker_index i = 0; i < 12; ++i) {
    const auto* row = fixture.fleet.table.FindService(i, fixture.request.service);
    CHECK(row->pending() >= 6);
    CHECK(row->pending() <= 14);
  }
}

}  // namespace
}  // namespace coltsfoot::placement
