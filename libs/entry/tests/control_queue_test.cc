#include "control_queue.h"

#include <doctest/doctest.h>

#include <asio/executor_work_guard.hpp>
#include <vector>

namespace coltsfoot::entry {

// Guards against a link loss that is handled before earlier messages of the link, against one
// wakeup per message, and against frames that are not flushed after a batch.
TEST_CASE("queued functions run in FIFO order and in batches") {
  asio::io_context control;
  const auto work = asio::make_work_guard(control);  // keeps the context from stopping when idle
  std::vector<int> ran;
  int batches = 0;
  control_queue queue(control, [&] { ++batches; });
  queue.Defer([&] { ran.push_back(1); });
  CHECK(control.poll() == 0);
  queue.Post([&] {
    ran.push_back(2);
    queue.Post([&] { ran.push_back(4); });
  });
  queue.Post([&] { ran.push_back(3); });
  CHECK(control.poll_one() == 1);
  CHECK(ran == std::vector<int>{1, 2, 3});
  CHECK(batches == 1);
  control.poll();
  CHECK(ran == std::vector<int>{1, 2, 3, 4});
  CHECK(batches == 2);

  queue.Defer([&] { ran.push_back(5); });
  queue.Run();
  CHECK(ran.size() == 5);
  queue.Defer([&] { ran.push_back(6); });
  queue.Clear();
  queue.Run();
  CHECK(ran.size() == 5);
}

}  // namespace coltsfoot::entry
