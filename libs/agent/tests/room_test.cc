#include <doctest/doctest.h>

#include <algorithm>

#include "../src/room_maker.h"
#include "fixture.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;
using std::chrono::seconds;
using wire::task_event_kind;

constexpr const char* kUrgent = "t03-00000000000000ee";

/// Agent whose four processors are committed to four batch tasks.
struct full_worker : fixture {
  full_worker() {
    Recover();
    for (int i = 0; i < 4; ++i) {
      RunTask(1, Name(i));
      AdvanceTime(seconds{1});
    }
  }
  static std::string Name(int index) { return "t03-000000000000000" + std::to_string(index); }
  wire::start_task UrgentStart(core::resources need) const {
    wire::start_task out = StartMessage(1, kUrgent);
    out.kind = core::task_kind::latency_critical;
    out.priority = wire::start_priority::urgent_makes_room;
    out.need = need;
    return out;
  }
  /// Completes the checkpoint and the stop of the task that was asked first.
  /// @return the id of that task.
  std::string StopOne() {
    const auto checkpoint = PopFront(target.controls);
    checkpoint.done({control_outcome::done, "half"});
    const auto stop = std::move(target.controls.back());
    target.controls.pop_back();
    CHECK(stop.action == target_action::stop);
    stop.done({control_outcome::done, ""});
    return checkpoint.task.task;
  }
  void Control(wire::task_action action) {
    control.OnFrame(kEntry, Raw(wire::control_task{3, 5, kUrgent, 1, action}));
  }
  std::uint64_t Count(std::string_view outcome) {
    return metrics.GetCounter("coltsfoot_agent_room_total", {"outcome", outcome}).value();
  }
};

}  // namespace

// Guards against more evictions than needed, against other tasks that take the room as it is
// released, and against a shard report that omits the waiting start, which the new owner of the
// shard would take as proof that it never runs.
TEST_CASE("an urgent start waits for the room of the batch tasks that lose the least work") {
  full_worker test;
  const wire::start_task urgent = test.UrgentStart({2000, 2000, 0});
  test.Send(urgent);
  REQUIRE(test.target.controls.size() == 2);
  CHECK(test.LastHeartbeat().free == core::resources{0, 2000, 1});
  CHECK(test.LastHeartbeat().evictable.cpu_millis == 2000);
  test.Send(urgent);
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::adopt_shard{3, 5}));
  const auto running = test.Sent<wire::shard_report>().back().running;
  CHECK(std::count(running.begin(), running.end(), wire::task_ref{kUrgent, 1}) == 1);
  CHECK(test.StopOne() == full_worker::Name(3));
  CHECK(test.LastEvent(task_event_kind::evicted) == result_code::evicted);
  test.Send(test.StartMessage(1, "t03-0000000000000009"));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
  test.control.Tick();
  CHECK(test.target.starts.empty());
  CHECK(test.StopOne() == full_worker::Name(2));
  test.control.Tick();
  REQUIRE(test.target.starts.size() == 1);
  CHECK(test.target.starts.front().first.task == kUrgent);
  fixture::PopFront(test.target.starts).second({start_outcome::started, ""});
  CHECK(test.LastEvent(task_event_kind::started) == result_code::ok);
  CHECK(test.target.controls.empty());
  CHECK(test.LastHeartbeat().free.cpu_millis == 0);
  CHECK(test.Count("made") == 1);
}

// Guards against evictions that cannot make enough room, and against evictions for a start that may
// not cause any.
TEST_CASE("no task is evicted if the room cannot be made") {
  full_worker test;
  wire::start_task start = test.UrgentStart({4001, 0, 0});
  SUBCASE("the need exceeds the worker's total") {}
  SUBCASE("the urgent start may not evict tasks") {
    start = test.UrgentStart({1000, 0, 0});
    start.priority = wire::start_priority::urgent;
  }
  SUBCASE("the rest is committed to tasks that may not be evicted") {
    wire::start_task urgent_batch = test.UrgentStart({2000, 0, 0});
    urgent_batch.kind = core::task_kind::batch;
    test.Send(urgent_batch);
    test.StopOne();
    test.StopOne();
    test.control.Tick();
    fixture::PopFront(test.target.starts).second({start_outcome::started, ""});
    start = test.UrgentStart({3000, 0, 0});
    start.task = "t03-00000000000000ff";
  }
  test.Send(start);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
  CHECK(test.target.controls.empty());
}

// Guards against a start that takes effect after its owner was told that it did not run, and
// against room that stays held after the wait has ended.
TEST_CASE("a start that waits for room ends as not run") {
  full_worker test;
  test.Send(test.UrgentStart({2000, 2000, 0}));
  SUBCASE("the room is not released in time") {
    test.AdvanceTime(core::milliseconds{4100});
    CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
    CHECK(test.Count("timed_out") == 1);
  }
  SUBCASE("it is cancelled") {
    test.Control(wire::task_action::cancel);
    test.control.Tick();
    CHECK(test.LastEvent(task_event_kind::cancelled) == result_code::cancelled);
  }
  SUBCASE("it is evicted") {
    test.Control(wire::task_action::evict);
    test.control.Tick();
    CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
  }
  SUBCASE("its lease expires") {
    test.time.Advance(seconds{16});
    test.control.Tick();
    const auto events = test.Sent<wire::task_event>();
    CHECK(std::any_of(events.begin(), events.end(), [](const wire::task_event& event) {
      return event.task == kUrgent && event.code == result_code::stale_token;
    }));
  }
  SUBCASE("the agent is stopped") {
    test.control.BeginShutdown();
    test.control.Tick();
    CHECK(test.LastEvent(task_event_kind::refused) == result_code::draining);
  }
  SUBCASE("the target is replaced") {
    test.target.polls.clear();  // polls of the former instance
    test.Recover({}, {}, "i2");
    CHECK(test.LastHeartbeat().free.cpu_millis == 4000);
    test.RunTask(2, kUrgent);
    return;
  }
  while (!test.target.controls.empty()) test.StopOne();
  test.control.Tick();
  CHECK(test.target.starts.empty());
  CHECK(test.Count("made") == 0);
}

}  // namespace coltsfoot::agent
