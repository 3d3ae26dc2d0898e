#include "agent/capacity_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace coltsfoot::agent {

// Guards against commitments beyond the target's total, and against resources held for one task but
// reserved by another, in any order of starts and ends.
TEST_CASE("no sequence of reservations exceeds the total") {
  const bool passed = rc::check([] {
    capacity_ledger ledger;
    const core::resources total{4000, 8000, 2};
    ledger.SetTotal(total, 3, 5);
    ledger.SetHeadroom(*rc::gen::inRange<std::uint32_t>(0, 101));
    std::map<std::string, core::resources> model;
    std::map<std::string, core::resources> held;
    int slots = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      const std::string task = std::to_string(*rc::gen::inRange(0, 12));
      const core::resources need{*rc::gen::inRange<std::int64_t>(-100, 3000),
                                 *rc::gen::inRange<std::int64_t>(0, 6000),
                                 *rc::gen::inRange<std::int64_t>(0, 3)};
      const int choice = *rc::gen::inRange(0, 6);
      if (choice == 0 && ledger.ReserveTask(task, need,
                                            *rc::gen::element(core::task_kind::batch,
                                                              core::task_kind::latency_critical))) {
        RC_ASSERT(model.emplace(task, need).second);
        RC_ASSERT(!held.contains(task));
        core::resources promised;
        for (const auto& [id, room] : held) promised += room;
        RC_ASSERT(need.FitsIn(total - (ledger.committed() - need) - promised));
      } else if (choice == 1) {
        ledger.ReleaseTask(task);
        model.erase(task);
        held.erase(task);
      } else if (choice == 4 && ledger.HoldRoom(task, need)) {
        RC_ASSERT(!model.contains(task));
        RC_ASSERT(held.emplace(task, need).second);
      } else if (choice == 5 && ledger.CommitHold(task)) {
        RC_ASSERT(model.emplace(task, held.at(task)).second);
        held.erase(task);
      } else if (choice == 2 && ledger.TakeSlot()) {
        ++slots;
      } else if (choice == 3 && slots > 0) {
        ledger.ReleaseSlot();
        --slots;
      }
      core::resources sum;
      for (const auto& [id, used] : model) sum += used;
      RC_ASSERT(sum == ledger.committed());
      RC_ASSERT(sum.FitsIn(total));
      RC_ASSERT(slots <= 3);
    }
  });
  CHECK(passed);
}

// Guards against batch tasks that use the headroom of latency-critical ones.
TEST_CASE("batch tasks leave the headroom free and latency-critical tasks use it") {
  capacity_ledger ledger;
  ledger.SetTotal({4000, 8000, 0}, 1, 1);
  ledger.SetHeadroom(25);
  CHECK_FALSE(ledger.ReserveTask("a", {3001, 0, 0}, core::task_kind::batch));
  CHECK(ledger.ReserveTask("a", {3000, 0, 0}, core::task_kind::batch));
  CHECK(ledger.ReserveTask("b", {1000, 0, 0}, core::task_kind::latency_critical));
  ledger.ReleaseTask("b");
  ledger.SetHeadroom(0);
  CHECK(ledger.ReserveTask("c", {1000, 0, 0}, core::task_kind::batch));
}

// Guards against admitting tasks into resources that a task found running already uses.
TEST_CASE("a task found running is committed even beyond the total") {
  capacity_ledger ledger;
  ledger.SetTotal({1000, 1000, 0}, 1, 1);
  ledger.CommitRunningTask("a", {2000, 0, 0});
  CHECK(ledger.free() == core::resources{0, 1000, 0});
  CHECK_FALSE(ledger.ReserveTask("b", {0, 1, 0}, core::task_kind::latency_critical));
  ledger.ReleaseTask("a");
  CHECK(ledger.ReserveTask("b", {0, 1, 0}, core::task_kind::latency_critical));
}

}  // namespace coltsfoot::agent
