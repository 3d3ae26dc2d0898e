#include <doctest/doctest.h>

#include "fixture.h"

namespace coltsfoot::entry {

using core::milliseconds;
using core::result_code;

// Guards against a caller that receives the refusal of one worker although others are free.
TEST_CASE("a request that is known not to have run is retried on another worker") {
  fixture test;
  test.Start();
  std::optional<request_outcome> outcome;
  test.router.Submit(test.Request(outcome, false));
  test.Reply(0, result_code::draining);
  test.AdvanceTime(milliseconds{100});
  REQUIRE(test.Dispatches() == 2);
  const auto sent = test.agents.Sent<wire::dispatch_request>();
  CHECK(sent[0].first != sent[1].first);
  test.Reply(1, result_code::ok);
  CHECK(outcome == request_outcome{result_code::ok, "", "answer"});
}

// Guards against a second run of a request that is not idempotent.
TEST_CASE("a request with unknown outcome is retried only if it is idempotent") {
  fixture test;
  test.Start();
  std::optional<request_outcome> once;
  test.router.Submit(test.Request(once, false));
  test.router.OnLinkLost(test.agents.Sent<wire::dispatch_request>()[0].first);
  test.AdvanceTime(milliseconds{200});
  REQUIRE(once.has_value());
  CHECK(once->code == result_code::connection_lost);
  CHECK(test.Dispatches() == 1);

  std::optional<request_outcome> repeated;
  test.router.Submit(test.Request(repeated, true));
  test.router.OnLinkLost(test.agents.Sent<wire::dispatch_request>()[1].first);
  test.AdvanceTime(milliseconds{200});
  REQUIRE(test.Dispatches() == 3);
  test.Reply(2, result_code::ok);
  CHECK(repeated->code == result_code::ok);
}

// Guards against the answer "not run" for a request of which an earlier attempt may have run.
TEST_CASE("a refusal after an attempt that may have run gives an unknown outcome") {
  fixture test;
  test.Start();
  std::optional<request_outcome> outcome;
  test.router.Submit(test.Request(outcome));
  test.Reply(0, result_code::connection_lost);
  test.AdvanceTime(milliseconds{100});
  for (std::size_t attempt = 1; !outcome && attempt < 10; ++attempt) {
    if (test.Dispatches() > attempt) test.Reply(attempt, result_code::draining);
    test.AdvanceTime(milliseconds{300});
  }
  REQUIRE(outcome.has_value());
  CHECK(core::IsOutcomeUnknown(outcome->code));
}

// Guards against an answer that is delivered to the wrong caller, twice, or incompletely.
TEST_CASE("late, repeated and damaged answers are dropped") {
  fixture test;
  test.Start();
  std::optional<request_outcome> first;
  test.router.Submit(test.Request(first, false));
  const auto [worker, dispatch] = test.agents.Sent<wire::dispatch_request>()[0];
  wire::request_reply truncated;
  truncated.request_id = dispatch.request_id;
  truncated.attempt = dispatch.attempt;
  truncated.body = "ans";
  truncated.digest = core::StableHash("answer");
  test.router.OnReply(worker, truncated);
  REQUIRE(first.has_value());
  CHECK(first->code == result_code::answer_truncated);
  first.reset();
  test.Reply(0, result_code::ok);
  CHECK_FALSE(first.has_value());

  std::optional<request_outcome> second;
  test.router.Submit(test.Request(second, false));
  wire::request_reply other = truncated;
  other.request_id = test.agents.Sent<wire::dispatch_request>()[1].second.request_id;
  other.attempt = 9;
  test.router.OnReply(worker, other);
  CHECK_FALSE(second.has_value());
}

// Guards against a caller that waits past its deadline, and against the answer "not run" for work
// in progress.
TEST_CASE("a request that reaches its deadline is answered not run only if that is certain") {
  fixture test;
  test.Start();
  std::optional<request_outcome> running;
  test.router.Submit(test.Request(running, false));
  test.AdvanceTime(milliseconds{1100});
  REQUIRE(running.has_value());
  CHECK(running->code == result_code::deadline_exceeded);
  CHECK(test.agents.Sent<wire::cancel_request>().size() == 1);

  test.agents.connected = false;
  std::optional<request_outcome> unsent;
  test.router.Submit(test.Request(unsent, false));
  test.AdvanceTime(milliseconds{1500});
  REQUIRE(unsent.has_value());
  CHECK(core::IsNotRun(unsent->code));
}

// Guards against a second run of a non-idempotent request, such as a crew dispatch, that the
// caller repeats.
TEST_CASE("a key runs once and its answer is kept") {
  fixture test;
  test.Start();
  std::optional<request_outcome> first;
  std::optional<request_outcome> joined;
  std::optional<request_outcome> later;
  std::optional<request_outcome> reused;
  test.claims.Submit(fixture::kShard, "mills:k1", test.Request(first, false));
  CHECK(test.Dispatches() == 0);  // the claim is not recorded yet
  test.AdvanceTime(milliseconds{100});
  REQUIRE(test.Dispatches() == 1);
  test.claims.Submit(fixture::kShard, "mills:k1", test.Request(joined, false));
  test.Reply(0, result_code::ok);
  CHECK(first->body == "answer");
  CHECK(joined->body == "answer");
  test.AdvanceTime(milliseconds{100});
  test.claims.Submit(fixture::kShard, "mills:k1", test.Request(later, false));
  CHECK(later->body == "answer");
  test.claims.Submit(fixture::kShard, "mills:k1", test.Request(reused, false, "other body"));
  CHECK(reused->code == result_code::idempotency_key_reused);
  CHECK(test.Dispatches() == 1);
}

// Guards against a key that can never be used again after its request did not run.
TEST_CASE("a claim is released when the request did not run") {
  fixture test;
  test.Start();
  test.agents.connected = false;
  std::optional<request_outcome> refused;
  test.claims.Submit(fixture::kShard, "mills:k2", test.Request(refused, false));
  test.AdvanceTime(milliseconds{1500});
  REQUIRE(refused.has_value());
  CHECK(core::IsNotRun(refused->code));
  test.agents.connected = true;
  std::optional<request_outcome> again;
  test.claims.Submit(fixture::kShard, "mills:k2", test.Request(again, false));
  test.AdvanceTime(milliseconds{100});
  test.Reply(test.Dispatches() - 1, result_code::ok);
  REQUIRE(again.has_value());
  CHECK(again->code == result_code::ok);
}

// Guards against a second run after the entry that ran the request was lost.
TEST_CASE("a claim of a lost owner is answered with outcome_unknown") {
  core::manual_clock time;
  ledger::memory_store store(time);
  fixture former(&store, &time, "entry-1");
  former.Start();
  std::optional<request_outcome> lost;
  former.claims.Submit(fixture::kShard, "mills:k3", former.Request(lost, false));
  former.AdvanceTime(milliseconds{100});
  REQUIRE(former.Dispatches() == 1);

  fixture successor(&store, &time, "entry-2");  // the former owner has stopped
  successor.AdvanceTime(milliseconds{15'000});
  REQUIRE(successor.ledger.Fence(fixture::kShard) == 2);
  std::optional<request_outcome> retried;
  successor.claims.Submit(fixture::kShard, "mills:k3", successor.Request(retried, false));
  REQUIRE(retried.has_value());
  CHECK(retried->code == result_code::outcome_unknown);
  CHECK(successor.Dispatches() == 0);
  const auto* claim = successor.ledger.Table(fixture::kShard)->FindClaim("mills:k3");
  REQUIRE(claim != nullptr);
  CHECK(claim->state == ledger::claim_state::settled);
}

// Guards against a graceful shutdown that hands a shard over before the answer is recorded, so that
// a retry is answered with `outcome_unknown`.
TEST_CASE("a shard is handed over only after its claimed requests have ended") {
  fixture test;
  test.Start();
  std::optional<request_outcome> outcome;
  test.claims.Submit(fixture::kShard, "mills:k5", test.Request(outcome, false));
  test.AdvanceTime(milliseconds{100});
  bool released = false;
  test.ledger.Shutdown([&released](bool complete) { released = complete; });
  test.AdvanceTime(milliseconds{500});
  CHECK_FALSE(released);
  test.Reply(0, result_code::ok);
  test.AdvanceTime(milliseconds{500});
  CHECK(released);
  CHECK(outcome->code == result_code::ok);
}

// Guards against a request that is dispatched without a recorded claim while the key-value service
// is down.
TEST_CASE("without the key-value service claims are refused and idempotent requests still run") {
  fixture test;
  test.Start();
  test.kv.fault_for = [](bool, const std::string&) { return ledger::call_fault::refused; };
  test.AdvanceTime(milliseconds{8000});
  std::optional<request_outcome> claimed;
  std::optional<request_outcome> plain;
  test.claims.Submit(fixture::kShard, "mills:k4", test.Request(claimed, false));
  REQUIRE(claimed.has_value());
  CHECK(claimed->code == result_code::store_unavailable);
  test.router.Submit(test.Request(plain, true));
  test.Reply(0, result_code::ok);
  CHECK(plain->code == result_code::ok);
}

}  // namespace coltsfoot::entry
