#include "membership/worker_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace coltsfoot::membership {
namespace {

using std::chrono::seconds;

constexpr core::mono_time kStart{std::chrono::hours{1}};

wire::agent_heartbeat Heartbeat(std::uint64_t seq, std::int64_t free_cpu = 16'000) {
  wire::agent_heartbeat message;
  message.worker = "w1";
  message.incarnation = 7;
  message.seq = seq;
  message.zone = "treguier";
  message.rack = "r1";
  message.total = {16'000, 60'000, 2};
  message.free = {free_cpu, 60'000, 2};
  message.slots_total = 8;
  message.slots_free = 8;
  message.services = {{"planner", 2, 1, 900}};
  return message;
}

// Guards against sending work to a worker whose agent has died or is cut off.
TEST_CASE("a worker is silent after three heartbeat intervals") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  CHECK(table.IsDispatchable(worker, kStart + seconds{15}));
  CHECK_FALSE(table.IsDispatchable(worker, kStart + seconds{15} + core::nanoseconds{1}));
  CHECK(table.State(worker, kStart + seconds{16}) == worker_state::silent);
  table.OnHeartbeat(Heartbeat(2), kStart + seconds{20});
  CHECK(table.IsDispatchable(worker, kStart + seconds{21}));
}

// Guards against a delayed datagram that restores old state or an old incarnation.
TEST_CASE("old heartbeats and old incarnations are ignored") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(5, 8'000), kStart).worker;
  CHECK(table.OnHeartbeat(Heartbeat(4, 100), kStart).outcome == heartbeat_outcome::stale);
  CHECK(table.available()[worker].cpu_millis == 8'000);
  auto restarted = Heartbeat(1);
  restarted.incarnation = 8;
  restarted.recovering = true;
  CHECK(table.OnHeartbeat(restarted, kStart).outcome == heartbeat_outcome::replaced);
  CHECK(table.State(worker, kStart) == worker_state::recovering);
  CHECK(table.OnHeartbeat(Heartbeat(9), kStart).outcome == heartbeat_outcome::stale);
  CHECK(table.LivenessToken(worker) == wire::liveness_token{8, 1});
}

// Guards against a brief heartbeat that is applied to another worker, to another description or to
// none, and against one that does not keep its worker live.
TEST_CASE("a brief heartbeat applies only to the description that it names") {
  worker_table table;
  const auto brief = [](std::uint64_t seq) {
    wire::agent_heartbeat out;
    out.described = false;
    out.incarnation = 7;
    out.description = 1;
    out.seq = seq;
    out.free = {4'000, 60'000, 2};
    out.services = {{"", 5, 0, 800}};
    return out;
  };
  CHECK(table.OnHeartbeat(brief(1), kStart).outcome == heartbeat_outcome::undescribed);
  auto full = Heartbeat(2);
  full.description = 1;
  const worker_index worker = table.OnHeartbeat(full, kStart).worker;
  const auto updated = table.OnHeartbeat(brief(3), kStart + seconds{10});
  CHECK(updated.outcome == heartbeat_outcome::updated);
  CHECK(updated.worker == worker);
  CHECK(table.IsDispatchable(worker, kStart + seconds{20}));
  CHECK(table.available()[worker].cpu_millis == 4'000);
  CHECK(table.total()[worker].cpu_millis == 16'000);
  CHECK(table.services(worker)[0].in_flight == 5);
  CHECK(table.place_names().Name(table.zone()[worker]) == "treguier");
  CHECK(table.OnHeartbeat(brief(3), kStart).outcome == heartbeat_outcome::stale);
  // A changed description that was lost, and loads of another number of services.
  auto changed = brief(4);
  changed.description = 2;
  CHECK(table.OnHeartbeat(changed, kStart).outcome == heartbeat_outcome::undescribed);
  changed = brief(4);
  changed.services.clear();
  CHECK(table.OnHeartbeat(changed, kStart).outcome == heartbeat_outcome::undescribed);
  CHECK(table.LivenessToken(worker) == wire::liveness_token{7, 3});
  // A restarted agent, and a worker that was forgotten.
  auto restarted = full;
  restarted.incarnation = 8;
  table.OnHeartbeat(restarted, kStart);
  CHECK(table.OnHeartbeat(brief(9), kStart).outcome == heartbeat_outcome::undescribed);
  REQUIRE(table.Forget(kStart + std::chrono::hours{1}).size() == 1);
  auto forgotten = brief(9);
  forgotten.incarnation = 8;
  CHECK(table.OnHeartbeat(forgotten, kStart).outcome == heartbeat_outcome::undescribed);
}

// Guards against overcommitting a worker by a burst that its last report cannot include, and
// against counting an assignment twice or dropping it too early.
TEST_CASE("assignments count until a heartbeat includes them") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  const auto first = table.Assign(worker, {4'000, 1'000, 1});
  table.Assign(worker, {2'000, 1'000, 0});
  CHECK(table.available()[worker] == core::resources{10'000, 58'000, 1});
  table.ConfirmAssignment(worker, first);
  table.OnHeartbeat(Heartbeat(2, 12'000), kStart + seconds{5});
  CHECK(table.available()[worker].cpu_millis == 10'000);
  table.OnHeartbeat(Heartbeat(3, 10'000), kStart + seconds{10});
  CHECK(table.available()[worker].cpu_millis == 10'000);
  table.ReleaseAssignment(worker, first, {4'000, 1'000, 1});
  CHECK(table.available()[worker].cpu_millis == 14'000);
  CHECK(table.available()[worker].accelerators == 2);
  table.OnHeartbeat(Heartbeat(4, 14'000), kStart + seconds{15});
  CHECK(table.available()[worker].cpu_millis == 14'000);
}

// Guards against capacity that stays idle until the next heartbeat after tasks of other entries
// released it, and against a report that makes the capacity of an assignment in transit look free.
TEST_CASE("a report of free capacity replaces that of the last heartbeat") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1, 2'000), kStart).worker;
  table.OnFreeReported(worker, {14'000, 60'000, 2});
  CHECK(table.available()[worker].cpu_millis == 14'000);
  const auto started = table.Assign(worker, {4'000, 1'000, 0});
  table.Assign(worker, {1'000, 1'000, 0});
  const auto hold = table.Hold(worker, {2'000, 0, 0});
  table.ConfirmAssignment(worker, started);
  table.OnFreeReported(worker, {10'000, 59'000, 2});
  CHECK(table.available()[worker] == core::resources{7'000, 58'000, 2});
  table.ReleaseHold(worker, hold);
  table.ReleaseAssignment(worker, started, {4'000, 1'000, 0});
  CHECK(table.available()[worker].cpu_millis == 13'000);
  table.OnFreeReported(worker, {13'000, 59'000, 2});
  CHECK(table.available()[worker].cpu_millis == 12'000);
}

// Guards against giving capacity that is being freed for one task to another.
TEST_CASE("a hold is kept across heartbeats until it is converted") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1, 1'000), kStart).worker;
  const auto hold = table.Hold(worker, {4'000, 0, 0});
  for (std::uint64_t seq = 2; seq < 8; ++seq) table.OnHeartbeat(Heartbeat(seq, 1'000), kStart);
  CHECK(table.available()[worker].cpu_millis == -3'000);
  table.ConvertHold(worker, hold);
  table.ConfirmAssignment(worker, hold);
  table.OnHeartbeat(Heartbeat(8, 0), kStart);
  CHECK(table.available()[worker].cpu_millis == 0);
}

// Guards against new work for a departing worker while it still renews its leases.
TEST_CASE("a goodbye applies until the agent restarts") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  CHECK_FALSE(table.OnGoodbye({"w1", 6}));
  CHECK(table.OnGoodbye({"w1", 7}) == worker);
  CHECK(table.OnHeartbeat(Heartbeat(2), kStart).outcome == heartbeat_outcome::updated);
  CHECK(table.State(worker, kStart) == worker_state::gone);
  auto restarted = Heartbeat(1);
  restarted.incarnation = 8;
  table.OnHeartbeat(restarted, kStart);
  CHECK(table.State(worker, kStart) == worker_state::live);
}

// Guards against sending all requests to the worker whose outdated report shows the lowest load.
TEST_CASE("pending requests include what was sent since the report") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  const name_id planner = *table.service_names().Find("planner");
  table.OnRequestSent(worker, planner);
  table.OnRequestSent(worker, planner);
  CHECK(table.FindService(worker, planner)->pending() == 5);
  wire::request_reply reply;
  reply.load = {"planner", 0, 0, 1'200};
  table.OnRequestReply(worker, planner, reply);
  CHECK(table.FindService(worker, planner)->pending() == 1);
  CHECK(table.FindService(worker, planner)->average_us == 1'200);
  table.OnRequestReply(worker, planner, {});
  CHECK(table.FindService(worker, planner)->pending() == 0);
}

// Guards against routing to a target that no longer offers a service, and against a reused index
// that inherits the state of the previous worker.
TEST_CASE("targets follow the services, and a reused row keeps no old state") {
  worker_table table;
  const worker_index worker = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  const name_id planner = *table.service_names().Find("planner");
  CHECK(table.Targets(planner).size() == 1);
  auto without = Heartbeat(2);
  without.services.clear();
  table.OnHeartbeat(without, kStart);
  CHECK(table.Targets(planner).empty());
  table.SetOperatorDrain(worker, true);
  table.Assign(worker, {1'000, 0, 0});
  CHECK(table.Forget(kStart + std::chrono::minutes{11}) == std::vector{worker});
  auto other = Heartbeat(1);
  other.worker = "w2";
  const auto added = table.OnHeartbeat(other, kStart + std::chrono::minutes{11});
  CHECK(added.worker == worker);
  CHECK(table.State(worker, kStart + std::chrono::minutes{11}) == worker_state::live);
  CHECK(table.available()[worker].cpu_millis == 16'000);
}

// The load: heartbeats of unknown workers under ever new names. Guards against rows and names
// without bound, and against a full table that drops the workers it has or stays full.
TEST_CASE("heartbeats of unknown workers fill the table up to its limits only") {
  worker_table table({.max_workers = 2, .max_names = 8});
  const worker_index known = table.OnHeartbeat(Heartbeat(1), kStart).worker;
  auto other = Heartbeat(1);
  for (std::uint64_t number = 0; number < 1000; ++number) {
    other.worker = "x" + std::to_string(number);
    other.incarnation = 100 + number;
    const auto outcome = table.OnHeartbeat(other, kStart).outcome;
    CHECK(outcome == (number == 0 ? heartbeat_outcome::added : heartbeat_outcome::refused));
  }
  CHECK(table.size() == 2);
  CHECK(table.OnHeartbeat(Heartbeat(2), kStart + seconds{15}).worker == known);
  CHECK(table.Forget(kStart + seconds{16}) == std::vector<worker_index>{1});
  CHECK(table.OnHeartbeat(other, kStart + seconds{16}).outcome == heartbeat_outcome::added);
  auto renamed = Heartbeat(3);
  for (std::uint64_t seq = 3; seq < 1000; ++seq) {
    renamed.seq = seq;
    renamed.rack = "r" + std::to_string(seq);
    renamed.services = {{renamed.rack, 0, 0, 0}};
    table.OnHeartbeat(renamed, kStart + seconds{16});
  }
  CHECK(table.place_names().size() <= 8);
  CHECK(table.service_names().size() <= 8);
  renamed = Heartbeat(1000);
  CHECK(table.OnHeartbeat(renamed, kStart + seconds{16}).outcome == heartbeat_outcome::updated);
}

// Guards against rows of invented workers that keep real ones out: their heartbeats go on, but no
// connection to them opens.
TEST_CASE("rows that no connection confirmed expire") {
  worker_table table({.max_workers = 2});
  const auto heartbeat = [&](const std::string& worker, std::uint64_t seq, core::mono_time at) {
    auto sent = Heartbeat(seq);
    sent.worker = worker;
    sent.incarnation = static_cast<unsigned char>(worker.back());
    return table.OnHeartbeat(sent, at);
  };
  const worker_index real = heartbeat("real", 1, kStart).worker;
  table.Confirm(real);
  const worker_index invented = heartbeat("invented", 1, kStart).worker;
  core::mono_time now = kStart;
  std::vector<worker_index> forgotten;
  for (std::uint64_t seq = 2; seq < 20 && forgotten.empty(); ++seq) {
    now += seconds{5};
    heartbeat("real", seq, now);
    heartbeat("invented", seq, now);
    forgotten = table.Forget(now);
  }
  CHECK(forgotten == std::vector{invented});
  CHECK(heartbeat("other", 1, now).outcome == heartbeat_outcome::added);

  // In a table with room, only a silent one is removed.
  worker_table roomy;
  const worker_index silent = roomy.OnHeartbeat(Heartbeat(1), kStart).worker;
  CHECK(roomy.Forget(kStart + std::chrono::minutes{1}).empty());
  CHECK(roomy.Forget(kStart + std::chrono::minutes{1} + seconds{1}) == std::vector{silent});
}

// Guards against an estimate that is above what a correct agent will report next: any order of
// assignments, confirmations, heartbeats and reports.
TEST_CASE("the estimate never exceeds the true free capacity") {
  CHECK(rc::check([] {
    worker_table table;
    std::int64_t used = 0;  // the agent commits capacity at once
    std::uint64_t seq = 1;
    const worker_index worker = table.OnHeartbeat(Heartbeat(seq), kStart).worker;
    std::vector<assignment_id> unconfirmed;
    const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 4));
    for (const int step : steps) {
      if (step == 0 && used < 16'000) {
        unconfirmed.push_back(table.Assign(worker, {1'000, 0, 0}));
        used += 1'000;
      } else if (step == 1 && !unconfirmed.empty()) {
        table.ConfirmAssignment(worker, unconfirmed.back());
        unconfirmed.pop_back();
      } else if (step == 2) {
        table.OnHeartbeat(Heartbeat(++seq, 16'000 - used), kStart);
      } else if (step == 3) {
        table.OnFreeReported(worker, {16'000 - used, 60'000, 2});
      }
      RC_ASSERT(table.available()[worker].cpu_millis <= 16'000 - used);
    }
  }));
}

}  // namespace
}  // namespace coltsfoot::membership
