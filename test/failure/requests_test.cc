#include <signal.h>

#include "scenario.h"

namespace coltsfoot::failure {
namespace {

// A recorded claim is answered with the whole answer or "outcome unknown", never by another run.
bool IsFinal(result_code code) { return code == result_code::ok || core::IsOutcomeUnknown(code); }

}  // namespace

// Guards against answers that are truncated, lost or sent to another caller when they arrive out of
// order.
TEST_CASE("requests through all entries get the whole answer to their own request") {
  fleet_options options = WithServiceTime(40);
  options.target["service_spread_ms"] = "35";
  fleet running(options);
  REQUIRE(running.WaitReady());
  for (int round = 0; round < 5; ++round) {
    request_options large;
    large.padding = 60000;
    auto small = StartRequests(running, 0, 20, fmt::format("small-{}", round));
    auto whole = StartRequests(running, 1, 8, fmt::format("large-{}", round), large);
    CheckAnswered(small);
    CheckAnswered(whole);
  }
  CheckInvariants(running);
}

// Guards against a second run of a non-idempotent request after its caller has lost the connection
// and retries through another entry.
TEST_CASE("a key is run at most once when the entry that received it is killed") {
  fleet running(WithServiceTime(1500));
  REQUIRE(running.WaitReady());
  request_options once;
  once.idempotent = false;
  constexpr int kKeys = 10;
  auto first = StartRequests(running, 0, kKeys, "key", once);
  REQUIRE(WaitForTruth(running, {"request_start"}, kKeys, kSlack));
  running.entry_process(0).Kill();
  for (auto& answer : first) CHECK(core::IsOutcomeUnknown(answer.get().code));

  const milliseconds bound = running.timings().TakeoverBound() + running.timings().OrphanBound();
  std::vector<outcome> last(kKeys);
  const bool all_final = harness::WaitUntil(bound, [&] {
    auto retried = StartRequests(running, 1, kKeys, "key", once);
    bool done = true;
    for (std::size_t index = 0; index < retried.size(); ++index) {
      last[index] = retried[index].get();
      done = done && IsFinal(last[index].code);
    }
    return done;
  });
  CHECK(all_final);
  for (const outcome& each : last) {
    CAPTURE(each.body);
    CHECK(IsFinal(each.code));
  }
  CHECK(running.Truth({"request_start"}).size() == kKeys);
  CheckInvariants(running);
}

// Guards against a retry that is refused or run again although the answer is known.
TEST_CASE("a retry through another entry gets the stored answer") {
  fleet running(WithServiceTime(20));
  REQUIRE(running.WaitReady());
  request_options once;
  once.idempotent = false;
  auto first = StartRequests(running, 0, 5, "key", once);
  CheckAnswered(first);
  auto again = StartRequests(running, 1, 5, "key", once);
  CheckAnswered(again);
  CHECK(running.Truth({"request_start"}).size() == 5);
  const auto other_body = running.calls().Call(
      "POST", running.Entry(1) + "/v1/services/strawline/requests", "another body",
      {{"X-Idempotent", "false"}, {"Idempotency-Key", "key-0"}, {"X-Team", once.team}});
  CHECK(harness::OutcomeOf(other_body).code == result_code::idempotency_key_reused);
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
