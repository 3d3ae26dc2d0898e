#include <doctest/doctest.h>

#include <memory>

#include "fixture.h"

namespace coltsfoot::entry {

using core::milliseconds;
using core::result_code;
using wire::task_event_kind;

// Guards against an assignment that takes effect before it is recorded.
TEST_CASE("a start is sent only after its assignment is in the log") {
  fixture test;
  test.Start();
  test.SubmitTask();
  CHECK(test.submitted.code == result_code::ok);
  CHECK(test.LastStart().epoch == 1);
  test.tasks.OnTaskEvent(test.Event(task_event_kind::lost));
  test.kv.fault_for = [](bool is_write, const std::string&) {
    return is_write ? ledger::call_fault::refused : ledger::call_fault::none;
  };
  test.AdvanceTime(milliseconds{2000});
  CHECK(test.agents.Sent<wire::start_task>().size() == 1);
  CHECK(test.agents.Sent<wire::event_ack>().empty());
  test.kv.fault_for = {};
  test.AdvanceTime(milliseconds{2000});
  CHECK(test.LastStart().epoch == 2);
  CHECK(test.agents.Sent<wire::event_ack>().size() == 1);
}

// Guards against a lost result, and against a result of an earlier assignment that is accepted.
TEST_CASE("a result counts with the current epoch only and is acknowledged when recorded") {
  fixture test;
  test.Start();
  test.SubmitTask();
  wire::task_event former = test.Event(task_event_kind::finished);
  former.epoch = 0;
  test.tasks.OnTaskEvent(former);
  test.AdvanceTime(milliseconds{200});
  CHECK(test.Entry().state == ledger::task_state::assigned);

  wire::task_event done = test.Event(task_event_kind::finished);
  done.result = "whole result";
  bool ended = false;
  test.tasks.WaitForEnd(fixture::kTask, test.time.Now() + std::chrono::hours{1},
                        [&ended] { ended = true; });
  test.tasks.OnTaskEvent(done);
  test.tasks.OnTaskEvent(done);
  CHECK_FALSE(ended);
  test.AdvanceTime(milliseconds{200});
  CHECK(ended);
  CHECK(test.Entry().result == "whole result");
}

// Guards against a task that runs twice at the same time because its worker was considered lost too
// early.
TEST_CASE("a silent worker keeps its task for the whole lease") {
  fixture test;
  test.Start();
  test.SubmitTask();
  test.tasks.OnTaskEvent(test.Event(task_event_kind::started));
  test.SendHeartbeats();
  test.silent_worker = test.LastWorker();
  test.AdvanceTime(milliseconds{15'900});
  CHECK(test.agents.Sent<wire::start_task>().size() == 1);
  test.AdvanceTime(milliseconds{1000});
  REQUIRE(test.agents.Sent<wire::start_task>().size() == 2);
  CHECK(test.LastWorker() != test.silent_worker);
  CHECK(test.LastStart().epoch == 2);
}

// Guards against a new owner that considers the lease of a silent worker expired although the
// former owner may still renew it.
TEST_CASE("a new owner waits for the orphan grace period unless the worker is declared lost") {
  for (const bool declared_lost : {false, true}) {
    core::manual_clock time;
    ledger::memory_store store(time);
    fixture former(&store, &time, "entry-1");
    former.Start();
    former.SubmitTask();
    former.tasks.OnTaskEvent(former.Event(task_event_kind::started));

    fixture successor(&store, &time, "entry-2");
    successor.silent_worker = former.LastWorker();
    successor.AdvanceTime(milliseconds{20'000});
    REQUIRE(successor.ledger.Fence(fixture::kShard) == 2);
    if (declared_lost) {
      successor.config.Change(
          std::nullopt, "ana",
          [&](const config::fleet_config& base, const config::change_stamp& stamp,
              core::last_error& error) {
            config::exception_request wanted;
            wanted.id = "lost";
            wanted.applies_to = {config::scope_kind::worker, successor.silent_worker};
            wanted.setting = "worker.lost";
            wanted.value = true;
            wanted.author = "ana";
            wanted.reason = "site confirms the power cut";
            return config::AddException(base, wanted, stamp, error);
          },
          [](const core::error_reason& reason, core::config_version) {
            CHECK(reason.code == result_code::ok);
          });
    }
    successor.AdvanceTime(milliseconds{120'000});
    CHECK(successor.agents.Sent<wire::start_task>().size() == (declared_lost ? 1 : 0));
    successor.AdvanceTime(milliseconds{80'000});
    REQUIRE(successor.agents.Sent<wire::start_task>().size() == 1);
    CHECK(successor.LastWorker() != successor.silent_worker);
  }
}

// Guards against a task that is started elsewhere while it still runs, and against one that does
// not run but is never started again.
TEST_CASE("a shard report covers only the assignments that were sent before it was requested") {
  fixture test;
  test.Start();
  test.SubmitTask();
  wire::shard_report report;
  report.worker = test.LastWorker();
  report.shard = fixture::kShard;
  report.fence = *test.ledger.Fence(fixture::kShard);
  test.tasks.OnShardReport(report);  // unsolicited
  test.tasks.OnWorkerReachable(report.worker);
  report.running = {{fixture::kTask, 1}, {"t00-00000000000000ff", 3}};
  test.tasks.OnShardReport(report);
  test.AdvanceTime(milliseconds{400});
  CHECK(test.agents.Sent<wire::start_task>().size() == 1);
  CHECK(test.tasks.Find(fixture::kShard, fixture::kTask).running);
  const auto controls = test.agents.Sent<wire::control_task>();
  REQUIRE(controls.size() == 1);  // for the assignment that is not in the log
  CHECK(controls[0].second.task == "t00-00000000000000ff");
  CHECK(controls[0].second.action == wire::task_action::cancel);

  report.running.clear();
  test.tasks.OnShardReport(report);  // repeated report
  test.AdvanceTime(milliseconds{400});
  CHECK(test.agents.Sent<wire::start_task>().size() == 1);
  test.tasks.OnWorkerReachable(report.worker);
  test.tasks.OnShardReport(report);
  test.AdvanceTime(milliseconds{400});
  CHECK(test.agents.Sent<wire::start_task>().size() == 2);
  // This report was requested before the second start was sent and does not cover it.
  report.worker = test.LastWorker();
  test.tasks.OnShardReport(report);
  test.AdvanceTime(milliseconds{400});
  CHECK(test.agents.Sent<wire::start_task>().size() == 2);
}

// Guards against a report for an earlier `adopt_shard` that is taken for the answer to a later one:
// a task that was started between the two would be started a second time elsewhere.
TEST_CASE("a repeated adopt_shard does not make an earlier report cover later starts") {
  fixture test;
  test.Start();
  for (const char* other : {"w-2", "w-3"}) {
    test.workers.SetOperatorDrain(*test.workers.Find(other), true);
  }
  test.SubmitTask();
  test.tasks.OnTaskEvent(test.Event(task_event_kind::started));
  test.tasks.OnWorkerReachable("w-1");
  test.SubmitTask("t00-0000000000000002");
  test.tasks.OnWorkerReachable("w-1");
  wire::shard_report report;
  report.worker = "w-1";
  report.shard = fixture::kShard;
  report.fence = *test.ledger.Fence(fixture::kShard);
  report.running = {{fixture::kTask, 1}};
  test.tasks.OnShardReport(report);
  test.AdvanceTime(milliseconds{2000});
  CHECK(test.agents.Sent<wire::start_task>().size() == 2);
  // After the loss of the link the next report covers the start.
  test.tasks.OnLinkLost("w-1");
  test.tasks.OnWorkerReachable("w-1");
  test.tasks.OnShardReport(report);
  test.AdvanceTime(milliseconds{2000});
  CHECK(test.agents.Sent<wire::start_task>().size() == 3);
}

// Guards against a cancelled task that still runs, and against a task with two outcomes.
TEST_CASE("a cancellation takes effect before the start but not after a recorded result") {
  fixture test;
  test.Start();
  core::error_reason reason;
  const auto store_reason = [&reason](const core::error_reason& got) { reason = got; };
  test.agents.connected = false;
  test.SubmitTask();
  test.tasks.Cancel(fixture::kShard, fixture::kTask, store_reason);
  test.AdvanceTime(milliseconds{3000});
  CHECK(reason.code == result_code::ok);
  CHECK(test.Entry().code == result_code::cancelled);
  CHECK(test.agents.Sent<wire::start_task>().empty());

  test.agents.connected = true;
  const std::string second = test.SubmitTask("t00-0000000000000002");
  test.tasks.OnTaskEvent(test.Event(task_event_kind::started));
  test.tasks.Cancel(fixture::kShard, second, store_reason);
  test.tasks.OnTaskEvent(test.Event(task_event_kind::finished));
  test.AdvanceTime(milliseconds{500});
  CHECK(test.Entry(second).code == result_code::ok);
  test.tasks.Cancel(fixture::kShard, second, store_reason);
  CHECK(reason.code == result_code::conflict);
}

// Guards against lost work when a worker is lost between evictions.
TEST_CASE("a task resumes from its last checkpoint") {
  fixture test;
  test.Start();
  test.SubmitTask();
  test.tasks.OnTaskEvent(test.Event(task_event_kind::started));
  test.AdvanceTime(milliseconds{31'000});
  const auto controls = test.agents.Sent<wire::control_task>();
  REQUIRE_FALSE(controls.empty());
  CHECK(controls.back().second.action == wire::task_action::checkpoint);
  wire::task_event saved = test.Event(task_event_kind::checkpointed);
  saved.checkpoint = "half";
  test.tasks.OnTaskEvent(saved);
  test.AdvanceTime(milliseconds{200});
  test.silent_worker = test.LastWorker();
  test.AdvanceTime(milliseconds{25'000});
  REQUIRE(test.agents.Sent<wire::start_task>().size() == 2);
  CHECK(test.LastStart().checkpoint == "half");
}

// Guards against a start message that does not tell the agent to make room, that hides the urgency
// so that the agent evicts an urgent task, or that causes evictions for a task that can wait.
TEST_CASE("a start says whether it is urgent and whether the agent makes room") {
  for (const bool full : {false, true}) {
    fixture test;
    if (full) {
      test.free = {4000, 60000, 0};
      test.evictable = {12000, 8000, 0};
    }
    test.Start();
    ledger::task_spec spec;
    spec.task = fixture::kTask;
    spec.urgent = true;
    spec.need = {8000, 1000, 0};
    spec.submitted_wall_ms = test.time.WallNow().time_since_epoch().count();
    test.tasks.Submit(fixture::kShard, spec, [](const core::error_reason&) {});
    test.AdvanceTime(milliseconds{1400});
    CHECK(test.agents.Sent<wire::start_task>().size() == (full ? 0 : 1));
    test.AdvanceTime(milliseconds{400});
    REQUIRE(test.agents.Sent<wire::start_task>().size() == 1);
    CHECK(test.LastStart().priority ==
          (full ? wire::start_priority::urgent_makes_room : wire::start_priority::urgent));
  }
  fixture test;
  test.Start();
  test.SubmitTask();
  CHECK(test.LastStart().priority == wire::start_priority::normal);
}

// Guards against a task that is retried forever, and against one that is given up because of a
// single bad worker.
TEST_CASE("a task that fails on three workers ends as failed_everywhere") {
  fixture test;
  test.Start();
  test.SubmitTask();
  for (int attempt = 0; attempt < 3; ++attempt) {
    REQUIRE(test.agents.Sent<wire::start_task>().size() == static_cast<std::size_t>(attempt + 1));
    wire::task_event failed = test.Event(task_event_kind::failed);
    failed.run_ms = 60'000;
    failed.result = "bad input";
    test.tasks.OnTaskEvent(failed);
    test.AdvanceTime(milliseconds{2000});
  }
  CHECK(test.Entry().state == ledger::task_state::ended);
  CHECK(test.Entry().code == result_code::failed_everywhere);
  CHECK(test.Entry().result == "bad input");
}

// Guards against memory that grows with each wait for a task that does not end.
TEST_CASE("a wait for the end of a task is forgotten when its time is over") {
  fixture test;
  test.Start();
  test.SubmitTask();
  const auto held = std::make_shared<int>();
  for (int index = 0; index < 100; ++index) {
    test.tasks.WaitForEnd(fixture::kTask, test.time.Now() + milliseconds{index}, [held] {});
  }
  test.AdvanceTime(milliseconds{200});
  CHECK(held.use_count() == 1);
}

}  // namespace coltsfoot::entry
