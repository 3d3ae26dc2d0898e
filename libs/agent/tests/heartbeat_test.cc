#include <doctest/doctest.h>

#include <chrono>

#include "fixture.h"

namespace coltsfoot::agent {
namespace {

using core::milliseconds;
using std::chrono::seconds;

/// Entry that acknowledges heartbeats of the fixture's agent.
struct mock_entry {
  fixture& test;

  wire::heartbeat_ack Make(std::uint64_t seq, std::uint64_t lists) const {
    wire::heartbeat_ack ack;
    ack.entry = "entry-1";
    ack.incarnation = fixture::kIncarnation;
    ack.seq = seq;
    ack.lists = lists;
    return ack;
  }
  void Send(const wire::heartbeat_ack& ack) const {
    test.control.OnDatagram(test.entry_udp, fixture::Raw(ack));
  }
  void SendWithLists(std::uint64_t seq, std::uint64_t lists,
                     std::vector<wire::shard_grant> shards) const {
    auto ack = Make(seq, lists);
    ack.shards = std::move(shards);
    Send(ack);
  }
  void SendWithoutLists(std::uint64_t seq, std::uint64_t lists) const {
    auto ack = Make(seq, lists);
    ack.listed = false;
    Send(ack);
  }
  void RequestDescription(std::uint64_t seq) const {
    auto ack = Make(seq, 0);
    ack.listed = false;
    ack.undescribed = true;
    Send(ack);
  }
  wire::agent_heartbeat NextHeartbeat() const {
    const std::uint64_t before = test.LastSeq();
    test.AdvanceTime(seconds{5}, false);
    REQUIRE(test.LastSeq() == before + 1);
    return test.LastHeartbeat();
  }
  std::uint64_t Drops(const std::string& reason) const {
    return test.metrics.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", reason})
        .value();
  }
};

}  // namespace

// Guards against an entry that never receives the worker's description because an ack or a
// heartbeat is lost, acks arrive late, or the description changes.
TEST_CASE("heartbeats carry the description until the entry acknowledges it") {
  fixture test;
  const mock_entry entry{test};
  test.Recover();
  CHECK(entry.NextHeartbeat().described);
  const wire::agent_heartbeat full = entry.NextHeartbeat();
  CHECK(full.described);
  entry.SendWithLists(full.seq, 0, {});
  wire::agent_heartbeat brief = entry.NextHeartbeat();
  CHECK_FALSE(brief.described);
  CHECK(brief.worker.empty());
  CHECK(brief.incarnation == fixture::kIncarnation);
  CHECK(brief.description == full.description);
  CHECK(brief.services.size() == full.services.size());
  CHECK(brief.free == full.free);

  // The target offers an additional service.
  auto announcement = fixture::Announcement();
  announcement.services.emplace_back("planner");
  test.control.OnAnnounce(announcement);
  test.time.Advance(seconds{5});
  test.control.OnAnnounce(announcement);
  test.control.Tick();
  const wire::agent_heartbeat changed = test.LastHeartbeat();
  CHECK(changed.described);
  CHECK(changed.description > full.description);
  CHECK(changed.services.size() == 2);
  // An ack of a heartbeat with the old description does not prove that the entry has the new one.
  entry.SendWithLists(brief.seq, 0, {});
  test.time.Advance(seconds{5});
  test.control.OnAnnounce(announcement);
  test.control.Tick();
  CHECK(test.LastHeartbeat().described);
}

// Guards against a worker that stays unknown to a restarted entry, and against sending the
// description once per duplicate of the entry's request.
TEST_CASE("an entry that does not know the worker is sent its description at once") {
  fixture test;
  const mock_entry entry{test};
  test.Recover();
  entry.SendWithLists(test.LastSeq(), 0, {});
  const std::uint64_t seq = entry.NextHeartbeat().seq;
  CHECK_FALSE(test.LastHeartbeat().described);
  const std::size_t sent = test.link.datagrams.size();
  entry.RequestDescription(seq);
  REQUIRE(test.link.datagrams.size() == sent + 1);
  CHECK(test.LastHeartbeat().described);
  CHECK(test.LastHeartbeat().seq == seq);
  entry.RequestDescription(seq);
  entry.RequestDescription(seq - 1);
  CHECK(test.link.datagrams.size() == sent + 1);
  // An ack of the entry's former process arrives late, and the heartbeat with the description was
  // lost.
  entry.SendWithLists(seq - 1, 0, {});
  CHECK(entry.NextHeartbeat().described);
  entry.SendWithLists(test.LastSeq(), 0, {});
  CHECK_FALSE(entry.NextHeartbeat().described);
}

// Guards against extending leases of a shard that the entry does not own: because of a digest of
// lists that are not cached, that belong to another entry, or that were replaced.
TEST_CASE("an ack without lists extends exactly the leases of the cached lists that it refers to") {
  fixture test;
  const mock_entry entry{test};
  constexpr std::uint64_t kWith = 11;
  constexpr std::uint64_t kWithout = 12;
  test.Recover();
  entry.SendWithLists(test.LastSeq(), kWith, {{3, 5}});
  test.RunTask();
  const auto deadline = [&] {
    return test.target.pushes.empty() ? core::mono_time{}
                                      : test.target.pushes.back().back().lease_until;
  };
  CHECK(entry.NextHeartbeat().lists == kWith);
  const core::mono_time sent_at = test.time.Now();
  entry.SendWithoutLists(test.LastSeq(), kWith);
  test.control.Tick();
  const core::mono_time extended = deadline();
  CHECK(extended > sent_at + seconds{14});
  CHECK(extended <= sent_at + seconds{15});

  // No lease is extended by an unknown digest, by no digest, or by an ack from another endpoint.
  const std::uint64_t seq = entry.NextHeartbeat().seq;
  entry.SendWithoutLists(seq, kWithout);
  entry.SendWithoutLists(seq, 0);
  auto other = entry.Make(seq, kWith);
  other.listed = false;
  test.control.OnDatagram({"127.0.0.1", 7999}, fixture::Raw(other));
  entry.RequestDescription(seq);
  test.control.Tick();
  CHECK(deadline() == extended);
  CHECK(entry.Drops("unknown_lists") == 3);

  // The entry has lost the shard. Its new lists arrive before an older ack with the former ones,
  // which is valid for its own heartbeat but is not cached.
  entry.SendWithLists(seq, kWithout, {});
  entry.SendWithLists(seq - 1, kWith, {{3, 5}});
  CHECK(deadline() == extended);
  CHECK(entry.NextHeartbeat().lists == kWithout);
  entry.SendWithoutLists(test.LastSeq(), kWith);
  entry.SendWithoutLists(test.LastSeq(), kWithout);
  test.control.Tick();
  CHECK(deadline() == extended);
}

}  // namespace coltsfoot::agent
