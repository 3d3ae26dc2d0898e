#include "api.h"

#include <doctest/doctest.h>

#include "fixture.h"

namespace coltsfoot::entry {

// Guards against waits that take all requests in progress, and against a place that is counted
// twice after a change of the shard's owner or is kept after the answer.
TEST_CASE("waits for the end of a task take half of the requests in progress") {
  fixture test;
  asio::io_context traffic;
  control_queue control(traffic, [] {});
  peer_directory peers(test.options, traffic, control, test.config, test.time, test.metrics);
  api subject({test.options, test.ledger, test.workers, test.config, test.router, test.claims,
               test.tasks, peers, test.time, test.random, test.metrics, 4});
  int answered = 0;
  const auto wait = [&] {
    subject.Handle({"GET", std::string("/v1/tasks/") + fixture::kTask, {{"wait_ms", "5000"}}},
                   false, [&](const http::response& answer) { answered += answer.status == 200; });
  };
  wait();  // held, since the shard has no owner yet
  test.Start();
  test.SubmitTask();
  subject.Tick();
  wait();
  CHECK(answered == 0);
  wait();
  CHECK(answered == 1);
  test.AdvanceTime(core::milliseconds{5000});
  subject.Tick();
  CHECK(answered == 3);
  wait();
  wait();
  CHECK(answered == 3);
}

}  // namespace coltsfoot::entry
