#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "admission/concurrency_limit.h"
#include "admission/fair_queue.h"
#include "admission/service_time.h"
#include "core/random_source.h"

namespace coltsfoot::admission {
namespace {

using core::milliseconds;
using core::result_code;
using action = admit_result::action;

constexpr core::mono_time kStart{std::chrono::hours{1}};
constexpr milliseconds kServiceTime{10};

waiting_request Request(std::uint64_t id, const std::string& team,
                        milliseconds left = milliseconds{60'000}) {
  return {id, team, kStart + left};
}

/// Simulates a service with fixed concurrency that is overloaded by several teams. Sums the time
/// for which each team occupies the service.
class overload_model {
 public:
  struct load {
    double share;
    int requests_per_ms;
    milliseconds duration;
  };

  overload_model(std::map<std::string, load> teams, std::size_t places)
      : teams_(std::move(teams)), free_(places) {}

  std::map<std::string, double> Run(milliseconds length) {
    for (milliseconds at{0}; at < length; ++at) {
      const core::mono_time now = kStart + at;
      while (!running_.empty() && running_.top().first <= now) {
        const std::string team = running_.top().second;
        running_.pop();
        queue_.Finish(team, teams_[team].duration);
        free_ += 1;
      }
      AdmitArrivals(now);
      for (; free_ > 0; --free_) {
        auto next = queue_.Next(kServiceTime, now);
        if (!next.dispatch) break;
        Start(next.dispatch->team, now);
      }
    }
    return occupancy_ms_;
  }

 private:
  void AdmitArrivals(core::mono_time now) {
    for (const auto& [name, load] : teams_) {
      for (int count = 0; count < load.requests_per_ms; ++count) {
        const auto result = queue_.Admit({next_id_++, name, now + std::chrono::hours{1}},
                                         load.share, kServiceTime, free_ > 0, now);
        if (result.decision != action::dispatch) continue;
        free_ -= 1;
        Start(name, now);
      }
    }
  }
  void Start(const std::string& team, core::mono_time now) {
    running_.emplace(now + teams_[team].duration, team);
    occupancy_ms_[team] += static_cast<double>(teams_[team].duration.count());
  }

  using completion = std::pair<core::mono_time, std::string>;
  std::map<std::string, load> teams_;
  std::size_t free_;
  fair_queue queue_{64};
  std::priority_queue<completion, std::vector<completion>, std::greater<>> running_;
  std::map<std::string, double> occupancy_ms_;
  std::uint64_t next_id_ = 1;
};

}  // namespace

// Guards against dispatching a request whose caller can no longer use the answer.
TEST_CASE("requests that cannot finish before their deadline are refused before dispatch") {
  CHECK(CheckDeadline(milliseconds{10}, milliseconds{4}, milliseconds{6}) == result_code::ok);
  CHECK(CheckDeadline(milliseconds{9}, milliseconds{4}, milliseconds{6}) ==
        result_code::deadline_unmeetable);
  CHECK(CheckDeadline({}, {}, {}) == result_code::deadline_unmeetable);

  fair_queue queue(8);
  CHECK(queue.Admit(Request(1, "a", milliseconds{5}), 1, kServiceTime, true, kStart).code ==
        result_code::deadline_unmeetable);
  CHECK(queue.Admit(Request(2, "a", milliseconds{20}), 1, kServiceTime, false, kStart).decision ==
        action::wait);
  CHECK(queue.Admit(Request(3, "a"), 1, kServiceTime, false, kStart).decision == action::wait);
  const next_result next = queue.Next(kServiceTime, kStart + milliseconds{15});
  REQUIRE(next.refused.size() == 1);
  CHECK(next.refused[0].request.id == 2);
  CHECK(next.refused[0].code == result_code::deadline_unmeetable);
  CHECK(next.dispatch->id == 3);
}

// Guards against a queue that admits more requests than can be served before their deadlines.
TEST_CASE("the expected wait follows the dispatch rate") {
  fair_queue queue(1000);
  for (std::uint64_t id = 0; id < 200; ++id) {
    queue.Admit(Request(id, "a"), 1, kServiceTime, false, kStart);
  }
  core::mono_time now = kStart;
  for (int count = 0; count < 100; ++count) queue.Next(kServiceTime, now += milliseconds{10});
  const auto wait = core::ToMs(queue.ExpectedWait("a", 1));
  CHECK(wait > 900);
  CHECK(wait <= 1010);
  CHECK(queue.Admit({500, "a", now + milliseconds{500}}, 1, kServiceTime, false, now).code ==
        result_code::deadline_unmeetable);
  // A team without a backlog waits only for its next turn.
  CHECK(queue.Admit({501, "b", now + milliseconds{500}}, 1, kServiceTime, false, now).decision ==
        action::wait);
}

// Guards against unbounded queues, and against one team that occupies the whole queue.
TEST_CASE("a full queue displaces a request to admit a team below its share") {
  fair_queue queue(4);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    CHECK(queue.Admit(Request(id, "big"), 1, kServiceTime, false, kStart).decision == action::wait);
  }
  CHECK(queue.Admit(Request(5, "big"), 1, kServiceTime, false, kStart).code ==
        result_code::queue_full);
  const auto small = queue.Admit(Request(6, "small"), 1, kServiceTime, false, kStart);
  CHECK(small.decision == action::wait);
  REQUIRE(small.displaced.has_value());
  CHECK(small.displaced->request.id == 4);
  CHECK(small.displaced->code == result_code::fair_share_exceeded);
  CHECK(queue.Admit(Request(7, "big"), 1, kServiceTime, false, kStart).code ==
        result_code::fair_share_exceeded);
  CHECK(queue.size() == 4);
  // A team with a very small share may still have one waiting request.
  CHECK(queue.Admit(Request(8, "tiny"), 0.001, kServiceTime, false, kStart).decision ==
        action::wait);
  CHECK(queue.Remove(8));
  CHECK_FALSE(queue.Remove(8));
  fair_queue none(0);
  CHECK(none.Admit(Request(1, "a"), 1, kServiceTime, false, kStart).code ==
        result_code::queue_full);
  CHECK(none.Admit(Request(1, "a"), 1, kServiceTime, true, kStart).decision == action::dispatch);
}

// Guards against a team that gets more than its share of an overloaded service by sending more or
// longer requests.
TEST_CASE("teams occupy an overloaded service in proportion to their shares") {
  auto occupancy = overload_model({{"flood", {1, 20, milliseconds{10}}},
                                   {"long", {1, 2, milliseconds{200}}},
                                   {"double", {2, 2, milliseconds{10}}}},
                                  10)
                       .Run(milliseconds{20'000});
  const double sum = occupancy["flood"] + occupancy["long"] + occupancy["double"];
  CHECK(occupancy["flood"] / sum == doctest::Approx(0.25).epsilon(0.1));
  CHECK(occupancy["long"] / sum == doctest::Approx(0.25).epsilon(0.1));
  CHECK(occupancy["double"] / sum == doctest::Approx(0.5).epsilon(0.1));
}

// Guards against starvation of a team, for arbitrary shares and request durations.
TEST_CASE("every team with a share is served during an overload") {
  CHECK(rc::check([] {
    std::map<std::string, overload_model::load> teams;
    const int count = *rc::gen::inRange(2, 12);
    double sum = 0;
    for (int index = 0; index < count; ++index) {
      const double share = *rc::gen::element(0.1, 0.5, 1.0, 3.0);
      sum += share;
      teams["t" + std::to_string(index)] = {share, *rc::gen::inRange(1, 10),
                                            milliseconds{*rc::gen::inRange(1, 60)}};
    }
    auto occupancy = overload_model(teams, 4).Run(milliseconds{4000});
    for (const auto& [name, load] : teams) {
      const double fair = 4 * 4000 * load.share / sum;
      const auto duration = static_cast<double>(load.duration.count());
      const bool offers_fair_share = load.requests_per_ms * duration * 4000 >= fair;
      if (offers_fair_share) RC_ASSERT(occupancy[name] >= 0.5 * fair - 2 * duration);
      RC_ASSERT(occupancy[name] > 0);
    }
  }));
}

// Guards against counts that drift when requests are cancelled, displaced or refused.
TEST_CASE("queue size and requests in flight stay exact under random operations") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& steps) {
    fair_queue queue(5);
    std::map<std::uint64_t, std::string> waiting;
    std::map<std::string, std::uint32_t> in_flight;
    core::mono_time now = kStart;
    std::uint64_t id = 0;
    for (const std::uint8_t step : steps) {
      const std::string team(1, static_cast<char>('a' + step % 3));
      now += milliseconds{step % 5};
      if (step < 120) {
        const auto result = queue.Admit({++id, team, now + milliseconds{12 + step % 40}}, 1,
                                        kServiceTime, step % 7 == 0, now);
        if (result.decision == action::wait) waiting[id] = team;
        if (result.decision == action::dispatch) in_flight[team] += 1;
        if (result.displaced) RC_ASSERT(waiting.erase(result.displaced->request.id) == 1);
      } else if (step < 180) {
        const auto result = queue.Next(kServiceTime, now);
        for (const auto& refused : result.refused) {
          RC_ASSERT(waiting.erase(refused.request.id) == 1);
        }
        if (result.dispatch) {
          RC_ASSERT(waiting.erase(result.dispatch->id) == 1);
          in_flight[result.dispatch->team] += 1;
        }
      } else if (step < 200 && !waiting.empty()) {
        RC_ASSERT(queue.Remove(waiting.begin()->first));
        waiting.erase(waiting.begin());
      } else if (step < 210) {
        for (const auto& gone : queue.Expire(kServiceTime, now)) waiting.erase(gone.request.id);
      } else if (in_flight[team] > 0) {
        queue.Finish(team, kServiceTime);
        in_flight[team] -= 1;
      }
      RC_ASSERT(queue.size() == waiting.size());
      RC_ASSERT(queue.size() <= 5U);
      RC_ASSERT(queue.InFlight(team) == in_flight[team]);
    }
  }));
}

namespace {

/// Runs the limit against a simulated target that serves `capacity` requests concurrently and
/// queues the rest.
/// @return the limit after `rounds` rounds.
std::uint32_t RunUntilSettled(concurrency_limit& limit, double capacity, milliseconds service,
                              int rounds, core::mono_time& now) {
  for (int round = 0; round < rounds; ++round) {
    std::uint32_t taken = 0;
    while (limit.TryAcquire()) ++taken;
    const double slowdown = std::max(1.0, taken / capacity);
    const auto latency = std::chrono::duration_cast<core::nanoseconds>(service * slowdown);
    now += latency;
    for (; taken > 0; --taken) limit.Release(load_signal::answered, latency, now);
  }
  return limit.limit();
}

}  // namespace

// Guards against a limit that lets requests queue inside a target, or that stays too low.
TEST_CASE("the concurrency limit settles near the capacity of the target") {
  for (const double capacity : {4.0, 8.0, 16.0}) {
    concurrency_limit limit;
    core::mono_time now = kStart;
    const std::uint32_t settled = RunUntilSettled(limit, capacity, milliseconds{20}, 1000, now);
    CHECK(settled >= capacity);
    CHECK(settled <= capacity * 2.6);
  }
}

// Guards against a limit that never recovers after a target was temporarily slow.
TEST_CASE("the concurrency limit decreases when the target slows down and recovers afterwards") {
  concurrency_limit limit;
  core::mono_time now = kStart;
  const std::uint32_t before = RunUntilSettled(limit, 16, milliseconds{20}, 1000, now);
  for (int round = 0; round < 10; ++round) {
    std::uint32_t taken = 0;
    while (limit.TryAcquire()) ++taken;
    now += milliseconds{400};
    for (; taken > 0; --taken) limit.Release(load_signal::answered, milliseconds{400}, now);
  }
  CHECK(limit.limit() <= before / 4);
  CHECK(limit.limit() >= 1);
  CHECK(RunUntilSettled(limit, 16, milliseconds{20}, 1000, now) >= 16);
}

// Guards against a limit that ignores refusals because refused attempts have no latency.
TEST_CASE("overload refusals by the target lower the concurrency limit") {
  concurrency_limit limit;
  core::mono_time now = kStart;
  for (int round = 0; round < 200; ++round) {
    REQUIRE(limit.TryAcquire());
    limit.Release(load_signal::overloaded, {}, now += milliseconds{10});
  }
  CHECK(limit.limit() == 1);
  CHECK(limit.in_flight() == 0);
}

}  // namespace coltsfoot::admission
