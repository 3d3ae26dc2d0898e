#include <doctest/doctest.h>

#include <set>

#include "fixture.h"

namespace coltsfoot::agent {

using core::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against sending the target more requests than it has slots, and against an unbounded
// queue.
TEST_CASE("slots limit running requests; the queue limit and connections limit waiting ones") {
  fixture test;
  test.Recover();
  test.SetPolicy({.version = 1, .queue_limit = 1});
  for (std::uint64_t id = 1; id <= 3; ++id) test.Request(id);
  CHECK(test.target.runs.size() == 2);
  test.Request(4);
  CHECK(test.LastReply() == result_code::queue_full);
  test.SetPolicy({.version = 2, .queue_limit = 100});
  test.Request(5);
  CHECK(test.LastReply() ==
        result_code::queue_full);  // version 2 applies, and the request names it
  CHECK(test.Sent<wire::request_reply>().size() == 1);
  test.Request(6);
  CHECK(test.Sent<wire::request_reply>().size() == 2);  // all 4 connections are in use
  fixture::PopFront(test.target.runs).second({result_code::ok, "", "a"});
  CHECK(test.target.runs.size() == 2);
  const auto reply = test.Sent<wire::request_reply>().back();
  CHECK(reply.request_id == 1);
  CHECK(reply.body == "a");
  CHECK(reply.digest == core::StableHash("a"));
}

// Guards against large requests that together exceed the agent's memory limit.
TEST_CASE("the total body size of admitted requests is limited") {
  fixture test;
  test.Recover();
  const std::string body(5U << 20U, 'x');
  test.Request(1, 1000, body);
  test.Request(2, 1000, body);
  CHECK(test.LastReply() == result_code::queue_full);
  fixture::PopFront(test.target.runs).second({result_code::ok, "", ""});
  test.Request(3, 1000, body);
  CHECK(test.target.runs.size() == 1);
}

// Guards against running requests whose callers have given up before they finish.
TEST_CASE("a request that cannot finish in time is refused before it is queued or started") {
  fixture test;
  test.Recover();
  test.SetPolicy({.version = 1, .queue_limit = 10});
  test.Request(1);
  test.time.Advance(milliseconds{400});
  fixture::PopFront(test.target.runs).second({result_code::ok, "", ""});
  test.Request(2, 300);
  CHECK(test.LastReply() == result_code::deadline_unmeetable);
  test.Request(3, 5000);
  test.Request(4, 5000);
  test.Request(5, 700);
  CHECK(test.target.runs.size() == 2);
  test.time.Advance(milliseconds{350});
  test.control.Tick();
  const auto reply = test.Sent<wire::request_reply>().back();
  CHECK(reply.request_id == 5);
  CHECK(reply.code == result_code::deadline_unmeetable);
  CHECK(test.target.runs.size() == 2);
  test.Request(7, 700);
  test.time.Advance(milliseconds{650});
  fixture::PopFront(test.target.runs)
      .second({result_code::ok, "", ""});  // frees a slot without a tick
  CHECK(test.target.runs.size() == 1);
  CHECK(test.LastReply() == result_code::deadline_unmeetable);
  test.AdvanceTime(seconds{12});
  test.Request(6, 300);  // the average has decayed, so the service is tried again
  CHECK(test.LastReply() != result_code::deadline_unmeetable);
}

// Guards against reusing a slot while the target still works on its request, and against a second
// reply to the same attempt.
TEST_CASE("a late response is dropped and the slot stays in use until it arrives") {
  fixture test;
  test.Recover();
  test.Request(1, 500);
  test.AdvanceTime(milliseconds{600});
  CHECK(test.LastReply() == result_code::deadline_exceeded);
  test.Request(2, 500);
  CHECK(test.Sent<wire::request_reply>().size() == 1);
  test.Request(3, 500);
  CHECK(test.LastReply() == result_code::queue_full);
  const auto replies = test.Sent<wire::request_reply>().size();
  fixture::PopFront(test.target.runs).second({result_code::ok, "", "late"});
  CHECK(test.Sent<wire::request_reply>().size() == replies);
  CHECK(test.metrics
            .GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", "late_answer"})
            .value() == 1);
}

// Guards against running a request whose caller no longer waits.
TEST_CASE("a cancelled request that waits for a slot is dropped") {
  fixture test;
  test.Recover();
  test.SetPolicy({.version = 1, .queue_limit = 10});
  for (std::uint64_t id = 1; id <= 3; ++id) test.Request(id);
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::cancel_request{3, 0}));
  CHECK(test.LastReply() == result_code::cancelled);
  test.control.OnFrame(fixture::kEntry, fixture::Raw(wire::cancel_request{1, 0}));
  fixture::PopFront(test.target.runs).second({result_code::connection_lost, "", ""});
  CHECK(test.LastReply() == result_code::connection_lost);
  CHECK(test.target.runs.size() == 1);
}

// Guards against sending requests to a target that has ended, is shutting down or is not known yet.
TEST_CASE("requests are refused without a live target") {
  fixture test;
  test.control.Tick();
  test.Request(1);
  CHECK(test.LastReply() == result_code::recovering);
  test.Recover();
  test.AdvanceTime(milliseconds{3100}, true, false);
  CHECK(test.LastHeartbeat().services.empty());
  test.Request(2);
  CHECK(test.LastReply() == result_code::no_target);
  test.control.OnAnnounce(fixture::Announcement());
  CHECK(test.LastHeartbeat().services.size() == 1);
  test.control.OnGoodbye("i1");
  test.control.OnAnnounce(fixture::Announcement());  // delayed announcement
  test.Request(3);
  CHECK(test.LastReply() == result_code::no_target);
  CHECK(test.target.runs.empty());
}

// Guards against serving peers that are not entries, and against crashes on corrupt messages.
TEST_CASE("a peer that sends no hello or a corrupt message is disconnected") {
  fixture test;
  test.control.OnFrame(8, fixture::Raw(wire::cancel_request{1, 0}));
  CHECK(test.link.closed == std::vector<connection_id>{8});
  test.control.OnFrame(fixture::kEntry, {wire::message_type::start_task, "x"});
  CHECK(test.link.closed == std::vector<connection_id>{8, fixture::kEntry});
}

// Guards against entries that receive no heartbeats, and against heartbeats to entries that no
// longer exist.
TEST_CASE("heartbeats follow the list in the acks and keep the configured entries") {
  fixture test;
  test.control.Tick();
  wire::heartbeat_ack ack;
  ack.entry = "entry-1";
  ack.incarnation = fixture::kIncarnation;
  ack.seq = test.LastSeq();
  const auto receivers = [&] {
    test.link.datagrams.clear();
    test.AdvanceTime(seconds{5}, false);
    std::set<std::uint16_t> ports;
    for (const auto& [to, raw] : test.link.datagrams) ports.insert(to.port);
    return ports;
  };
  ack.entries = {{"127.0.0.1", 7000}, {"127.0.0.1", 7100}};
  test.control.OnDatagram(test.entry_udp, fixture::Raw(ack));
  CHECK(receivers() == std::set<std::uint16_t>{7000, 7100});
  ack.entries.clear();
  test.control.OnDatagram(test.entry_udp, fixture::Raw(ack));
  CHECK(receivers() == std::set<std::uint16_t>{7000, 7100});
  ack.entries = {{"127.0.0.1", 7200}};
  test.control.OnDatagram(test.entry_udp, fixture::Raw(ack));
  CHECK(receivers() == std::set<std::uint16_t>{7000, 7200});
}

}  // namespace coltsfoot::agent
