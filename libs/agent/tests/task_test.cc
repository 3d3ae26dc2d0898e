#include <doctest/doctest.h>

#include "fixture.h"

namespace coltsfoot::agent {

using core::result_code;
using std::chrono::seconds;
using wire::task_event_kind;

// Guards against starting a task from a message that was delayed beyond the lease time by a pause
// of the agent.
TEST_CASE("a message with a stale token or another incarnation is refused") {
  fixture test;
  test.Recover();
  const wire::start_task delayed = test.StartMessage();
  test.AdvanceTime(seconds{16});
  test.Send(delayed);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_token);
  wire::start_task foreign = test.StartMessage(2);
  foreign.token.incarnation = 1;
  test.Send(foreign);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_token);
  wire::start_task future = test.StartMessage(3);
  future.token.seq += 1;
  test.Send(future);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_token);
  test.time.Advance(seconds{16});  // a pause without heartbeats
  test.Request(1);
  CHECK(test.LastReply() == result_code::stale_token);
  CHECK(test.target.starts.empty());
}

// Guards against a former owner of a shard that still starts or stops tasks or renews leases.
TEST_CASE("messages with a lower fence than the highest seen have no effect") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::adopt_shard{3, 6}));
  const auto report = test.Sent<wire::shard_report>().back();
  CHECK(report.code == result_code::ok);
  CHECK(report.running == std::vector<wire::task_ref>{{fixture::kTask, 1}});
  test.Send(test.StartMessage(1, "t03-0000000000000002"));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_fence);
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::control_task{
                                            3, 5, fixture::kTask, 1, wire::task_action::cancel}));
  CHECK(test.target.controls.empty());
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::adopt_shard{3, 5}));
  CHECK(test.Sent<wire::shard_report>().back().code == result_code::stale_fence);
  test.AdvanceTime(seconds{16});  // acks carry fence 5
  REQUIRE(test.target.controls.size() == 1);
  CHECK(test.target.controls.front().action == target_action::checkpoint);
}

// Guards against a start_task that is still unread on a former connection of the entry and is read
// after the report that the assignment does not run. The owner assigns such a task to another
// worker.
TEST_CASE("a new connection of an entry closes its former ones") {
  fixture test;
  test.Recover();
  test.control.OnFrame(2, fixture::Raw(wire::hello{"entry-1"}));
  CHECK(test.link.closed == std::vector<connection_id>{fixture::kEntry});
  test.control.OnFrame(2, fixture::Raw(wire::adopt_shard{3, 5}));
  CHECK(test.Sent<wire::shard_report>().back().running.empty());
  test.Send(test.StartMessage());
  CHECK(test.target.starts.empty());
}

// Guards against an assignment that runs again after the owner was told that it did not run or
// had ended.
TEST_CASE("an epoch that was refused or has ended never starts") {
  fixture test;
  test.Recover();
  wire::start_task big = test.StartMessage(4);
  big.need = {5000, 0, 0};
  test.Send(big);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::event_ack{fixture::kIncarnation, 1}));
  test.Send(test.StartMessage(4));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_epoch);
  test.Send(test.StartMessage(3));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_epoch);
  CHECK(test.target.starts.empty());
  test.RunTask(5);
  CHECK(test.LastEvent(task_event_kind::started) == result_code::ok);
}

// Guards against a dispatch that was decided under an older configuration, and against a worker
// that accepts a version that it does not know.
TEST_CASE("tasks are checked against the configuration version") {
  fixture test;
  test.Recover();
  test.SetPolicy({.version = 7, .queue_limit = 1});
  test.Send(test.StartMessage(1));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_config);
  wire::start_task newer = test.StartMessage(2);
  newer.config = 8;
  test.Send(newer);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::config_pending);
  newer.epoch = 3;
  newer.policy = wire::agent_policy{.version = 8};
  test.Send(newer);
  CHECK(test.target.starts.size() == 1);
  CHECK_MESSAGE(test.target.starts.front().first.lease_until > test.time.Now(), "has a lease");
}

// Guards against running a task when the owner may already have started it on another worker.
TEST_CASE("a lease that is not renewed ends the task with its checkpoint") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.AdvanceTime(seconds{20});
  CHECK(test.target.controls.empty());
  REQUIRE(!test.target.pushes.empty());
  CHECK(test.target.pushes.back().front().lease_until > test.time.Now() + seconds{9});
  test.AdvanceTime(seconds{16}, false);
  REQUIRE(test.target.controls.size() == 1);
  test.Ack();  // late: the lease has expired and is not renewed
  fixture::PopFront(test.target.controls).done({control_outcome::done, "half"});
  CHECK(test.target.controls.front().action == target_action::stop);
  fixture::PopFront(test.target.controls).done({control_outcome::done, ""});
  CHECK(test.LastEvent(task_event_kind::evicted) == result_code::lease_lapsed);
  CHECK(test.Sent<wire::task_event>().back().checkpoint == "half");
  test.AdvanceTime(seconds{5});
  CHECK(test.LastHeartbeat().free.cpu_millis == 4000);
}

// Guards against an agent that resumes after a pause and renews leases of tasks that the target has
// stopped in the meantime.
TEST_CASE("an ack that is read after the lease has expired does not extend it") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.AdvanceTime(seconds{12}, false);
  test.time.Advance(seconds{5});
  test.Ack();  // of a heartbeat that is younger than the lease time
  test.control.Tick();
  CHECK(test.target.controls.size() == 1);
}

// Guards against releasing resources that an unresponsive target may still use, and against an
// owner that waits forever for the end of a task with an expired lease.
TEST_CASE("without a confirmed stop, an expired task is reported but stays committed") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.AdvanceTime(seconds{16}, true, false);  // no announcements: leases are not renewed
  fixture::PopFront(test.target.controls).done({control_outcome::failed, ""});
  fixture::PopFront(test.target.controls).done({control_outcome::failed, ""});
  test.AdvanceTime(seconds{5}, true, false);
  CHECK(test.LastEvent(task_event_kind::evicted) == result_code::lease_lapsed);
  test.AdvanceTime(seconds{6}, true, false);
  CHECK(test.LastHeartbeat().free.cpu_millis == 3000);
  CHECK(test.LastHeartbeat().services.empty());
  test.Recover({}, {}, "i2");
  CHECK(test.LastHeartbeat().free.cpu_millis == 4000);
  CHECK(test.Sent<wire::task_event>().back().kind == task_event_kind::evicted);
}

// Guards against a restarted agent that does not know the running tasks, admits tasks into their
// resources or shortens their leases.
TEST_CASE("a restarted agent recovers its tasks before it admits new ones") {
  fixture test;
  test.Send(test.StartMessage(1));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_token);  // no heartbeat yet
  test.control.Tick();
  test.Send(test.StartMessage(2));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::recovering);
  listed_task running;
  running.spec = {.task = "t03-0000000000000009", .epoch = 7, .shard = 3, .fence = 6};
  running.spec.need = {3500, 0, 0};
  running.spec.lease_until = test.time.Now() + seconds{10};
  target_event ended{.id = 1, .type = target_event_type::finished, .task = "t03-0000000000000008"};
  ended.epoch = 2;
  ended.result = "r";
  test.Recover({running}, {ended});
  CHECK(test.LastEvent(task_event_kind::finished) == result_code::ok);
  CHECK_FALSE(test.LastHeartbeat().recovering);
  test.Send(test.StartMessage(3));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::stale_fence);
  wire::start_task next = test.StartMessage(4);
  next.fence = 6;
  test.Send(next);
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::no_capacity);
  test.AdvanceTime(seconds{9}, false);
  CHECK(test.target.controls.empty());
  test.AdvanceTime(seconds{2}, false);
  CHECK(test.target.controls.size() == 1);
}

// Guards against a checkpoint that is lost when an agent dies between the stop of a task and the
// acknowledgement of its eviction.
TEST_CASE("a restarted agent reports tasks that the previous process stopped") {
  fixture test;
  listed_task stopped{.spec = {.task = fixture::kTask, .epoch = 2, .shard = 3}, .ended = true};
  stopped.spec.checkpoint = "half";
  listed_task finished = stopped;
  finished.spec.task = "t03-0000000000000008";
  target_event event{.id = 1, .type = target_event_type::finished, .task = finished.spec.task};
  event.epoch = 2;
  test.Recover({stopped, finished}, {event});
  const auto events = test.Sent<wire::task_event>();
  REQUIRE(events.size() == 2);
  CHECK(events[0].kind == task_event_kind::finished);
  CHECK(events[1].kind == task_event_kind::evicted);
  CHECK(events[1].task == fixture::kTask);
  CHECK(events[1].checkpoint == "half");
}

// Guards against treating tasks of a target that has ended as running, and against late responses
// and announcements of the former instance.
TEST_CASE("tasks of a former target instance are reported as lost") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.Send(test.StartMessage(1, "t03-0000000000000002"));
  test.Recover({}, {}, "i2");
  const auto events = test.Sent<wire::task_event>();
  CHECK(events[events.size() - 2].kind == task_event_kind::lost);
  CHECK(events.back().kind == task_event_kind::lost);
  fixture::PopFront(test.target.starts).second({start_outcome::started, ""});
  test.control.OnAnnounce(fixture::Announcement("i1"));
  CHECK(test.Sent<wire::task_event>().size() == events.size());
  CHECK(test.LastHeartbeat().free.cpu_millis == 4000);
  CHECK(test.target.lists.empty());
}

// Guards against an owner that waits forever for a task that the worker does not run, and against
// an eviction that takes precedence over a cancellation.
TEST_CASE("control messages act on the named assignment only") {
  fixture test;
  test.Recover();
  test.RunTask(2);
  const auto control = [&](core::epoch_number epoch, wire::task_action action) {
    test.control.OnFrame(fixture::kEntry,
                         fixture::Raw(wire::control_task{3, 5, fixture::kTask, epoch, action}));
  };
  control(1, wire::task_action::cancel);
  CHECK(test.target.controls.empty());
  control(2, wire::task_action::throttle);
  CHECK(fixture::PopFront(test.target.controls).action == target_action::throttle);
  control(2, wire::task_action::checkpoint);
  fixture::PopFront(test.target.controls).done({control_outcome::done, "half"});
  CHECK(test.LastEvent(task_event_kind::checkpointed) == result_code::ok);
  control(2, wire::task_action::evict);
  control(2, wire::task_action::cancel);
  fixture::PopFront(test.target.controls).done({control_outcome::done, ""});
  fixture::PopFront(test.target.controls).done({control_outcome::done, ""});
  CHECK(test.LastEvent(task_event_kind::cancelled) == result_code::cancelled);
  CHECK(test.Sent<wire::task_event>().back().checkpoint == "half");
  test.control.OnFrame(
      fixture::kEntry,
      fixture::Raw(wire::control_task{3, 5, "t03-00000000000000ff", 1, wire::task_action::cancel}));
  CHECK(test.LastEvent(task_event_kind::lost) == result_code::not_found);
}

// Guards against losing the end of a task when a connection breaks or the shard's owner changes.
TEST_CASE("an event is resent until the owner acknowledges it") {
  fixture test;
  test.Recover();
  test.RunTask();
  target_event finished{.id = 1, .type = target_event_type::finished, .task = fixture::kTask};
  finished.epoch = 1;
  finished.result = "result";
  test.TargetEvent(finished);
  const wire::task_event event = test.Sent<wire::task_event>().back();
  CHECK(event.kind == task_event_kind::finished);
  CHECK(event.result == "result");
  test.TargetEvent(finished);  // a repeated event of the target
  CHECK(test.Sent<wire::task_event>().size() == 2);

  test.control.OnDisconnected(fixture::kEntry);
  test.control.OnFrame(2, fixture::Raw(wire::hello{"entry-1"}));
  CHECK(test.Sent<wire::task_event>().size() == 3);
  test.control.OnFrame(3, fixture::Raw(wire::hello{"entry-2"}));
  CHECK_MESSAGE(test.Sent<wire::task_event>().size() == 3, "another entry owns the shard");
  test.control.OnFrame(3, fixture::Raw(wire::adopt_shard{3, 6}));
  const auto report = test.Sent<wire::shard_report>().back();
  CHECK(report.ended == std::vector<wire::task_ref>{{fixture::kTask, 1}});
  CHECK(test.link.frames.back().first == 3);
  CHECK(test.Sent<wire::task_event>().back() == event);
  test.AdvanceTime(seconds{6});
  CHECK(test.Sent<wire::task_event>().size() == 5);
  test.control.OnFrame(3, fixture::Raw(wire::event_ack{7, event.event_id}));
  test.AdvanceTime(seconds{30});
  CHECK(test.Sent<wire::task_event>().size() > 5);
  const auto sent = test.Sent<wire::task_event>().size();
  test.control.OnFrame(3, fixture::Raw(wire::event_ack{fixture::kIncarnation, event.event_id}));
  test.AdvanceTime(seconds{120});
  CHECK(test.Sent<wire::task_event>().size() == sent);
}

// Guards against reporting a start as not run although a call with unknown outcome may have taken
// effect.
TEST_CASE("a start with an unknown outcome is retried until the target tells the outcome") {
  fixture test;
  test.Recover();
  test.Send(test.StartMessage());
  fixture::PopFront(test.target.starts).second({start_outcome::unknown, ""});
  test.AdvanceTime(seconds{2});
  fixture::PopFront(test.target.starts).second({start_outcome::refused, "full"});
  CHECK(test.Sent<wire::task_event>().empty());
  test.AdvanceTime(seconds{2});
  fixture::PopFront(test.target.starts).second({start_outcome::epoch_known, ""});
  CHECK(test.LastEvent(task_event_kind::started) == result_code::ok);
  fixture::PopFront(test.target.lists)(task_listing{"i1", {}});
  test.AdvanceTime(seconds{3});
  CHECK(test.LastEvent(task_event_kind::lost) == result_code::outcome_unknown);
}

// Guards against a shutdown that aborts tasks without a checkpoint, exits before their events are
// acknowledged, or accepts new work.
TEST_CASE("a shutdown evicts tasks and waits for acknowledgements") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.Request(1);
  test.control.BeginShutdown();
  CHECK(test.link.datagrams.back().second.type == wire::message_type::agent_heartbeat);
  CHECK(test.LastHeartbeat().draining);
  CHECK(test.link.datagrams[test.link.datagrams.size() - 2].second.type ==
        wire::message_type::agent_goodbye);
  test.Request(2);
  CHECK(test.LastReply() == result_code::draining);
  test.Send(test.StartMessage(9, "t03-0000000000000002"));
  CHECK(test.LastEvent(task_event_kind::refused) == result_code::draining);
  fixture::PopFront(test.target.controls).done({control_outcome::done, "half"});
  fixture::PopFront(test.target.controls).done({control_outcome::done, ""});
  CHECK(test.LastEvent(task_event_kind::evicted) == result_code::evicted);
  fixture::PopFront(test.target.runs).second({result_code::ok, "", "answer"});
  CHECK(test.LastReply() == result_code::ok);
  CHECK_FALSE(test.control.finished());
  for (const auto& event : test.Sent<wire::task_event>()) {
    test.control.OnFrame(fixture::kEntry,
                         fixture::Raw(wire::event_ack{event.incarnation, event.event_id}));
  }
  CHECK(test.control.finished());
}

// Guards against a drain that shuts the agent down or continues after the policy has changed.
TEST_CASE("a drain by policy evicts tasks and ends with the policy") {
  fixture test;
  test.Recover();
  test.RunTask();
  test.SetPolicy({.version = 1, .drain = true});
  test.control.Tick();
  fixture::PopFront(test.target.controls).done({control_outcome::not_running, ""});
  test.TargetEvent({.type = target_event_type::finished, .task = fixture::kTask, .epoch = 1});
  CHECK(test.LastEvent(task_event_kind::finished) == result_code::ok);
  test.Request(1);
  CHECK(test.LastReply() == result_code::draining);
  test.SetPolicy({.version = 2});
  CHECK_FALSE(test.LastHeartbeat().draining);
  test.Request(2);
  CHECK(test.target.runs.size() == 1);
  CHECK_FALSE(test.control.finished());
}

// Guards against overloading entries when each of 990 agents reports every second to every entry.
TEST_CASE("usage reports are no more frequent than the entry requests") {
  fixture test;
  test.Recover();
  const target_event usage{.type = target_event_type::usage, .samples = {{"plan", fixture::kTask}}};
  test.TargetEvent(usage);
  test.TargetEvent(usage);
  CHECK(test.Sent<wire::usage_report>().size() == 2);
  wire::heartbeat_ack ack;
  ack.entry = "entry-1";
  ack.incarnation = fixture::kIncarnation;
  ack.seq = test.LastSeq();
  ack.usage_interval_ms = 3000;
  test.control.OnDatagram(test.entry_udp, fixture::Raw(ack));
  test.TargetEvent(usage);
  CHECK(test.Sent<wire::usage_report>().size() == 2);
  test.AdvanceTime(core::milliseconds{3000}, false);
  test.TargetEvent(usage);
  CHECK(test.Sent<wire::usage_report>().size() == 3);
}

}  // namespace coltsfoot::agent
