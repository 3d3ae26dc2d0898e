#include "ledger/shard_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

using core::result_code;

record Submit(std::string task) {
  task_spec spec;
  spec.task = std::move(task);
  spec.payload = "payload";
  return task_submitted{spec};
}

log_batch Batch(std::vector<record> records, std::int64_t wall_ms = 1000,
                core::fencing_token fence = 1) {
  log_batch batch;
  batch.wall_ms = wall_ms;
  batch.fence = fence;
  batch.records = std::move(records);
  return batch;
}

/// Applies one record and tells whether it had an effect.
bool ApplyOne(shard_table& table, record change, std::int64_t wall_ms = 1000) {
  return table.ApplyBatch(Batch({std::move(change)}, wall_ms)).front();
}

/// Any record about a few tasks and claims, so that sequences meet each other's entries.
rc::Gen<record> AnyRecord() {
  return rc::gen::exec([]() -> record {
    const std::string task = "t" + std::to_string(*rc::gen::inRange(0, 4));
    const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
    const auto epoch = *rc::gen::inRange<core::epoch_number>(0, 12);
    const std::string worker = "w" + std::to_string(*rc::gen::inRange(0, 3));
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
        return Submit(task);
      case 1:
      case 2:
        return task_assigned{task, epoch, worker};
      case 3:
        return task_finished{task, epoch, result_code::ok, std::string(epoch, 'r')};
      case 4:
        return task_requeued{task, epoch, result_code::task_failed, *rc::gen::arbitrary<bool>()};
      case 5:
        return task_evicted{task, epoch, worker, result_code::evicted};
      case 6:
        return task_checkpointed{task, epoch, worker};
      case 7:
        return cancel_requested{task};
      case 8:
        return task_cancelled{task, epoch};
      case 9:
        return claim_made{key, epoch, "team"};
      case 10:
        return claim_settled{key, result_code::ok, std::string(epoch, 'a'), true};
      case 11:
        return claim_released{key};
      default:
        return owner_released{worker, epoch, 5};
    }
  });
}

}  // namespace

// Guards against a late message of an old attempt that changes the state of the current one.
TEST_CASE("only records of the current epoch have an effect") {
  shard_table table;
  CHECK(ApplyOne(table, Submit("t")));
  CHECK_FALSE(ApplyOne(table, Submit("t")));
  CHECK(ApplyOne(table, task_assigned{"t", 1, "w1"}));
  CHECK_FALSE(ApplyOne(table, task_assigned{"t", 2, "w2"}));
  CHECK(ApplyOne(table, task_requeued{"t", 1, result_code::task_failed, true}));
  CHECK_FALSE(ApplyOne(table, task_evicted{"t", 1, "old", result_code::evicted}));
  CHECK_FALSE(ApplyOne(table, task_assigned{"t", 1, "w2"}));
  CHECK(ApplyOne(table, task_assigned{"t", 2, "w2"}));
  CHECK_FALSE(ApplyOne(table, task_finished{"t", 1, result_code::ok, "late"}));
  CHECK(ApplyOne(table, task_evicted{"t", 2, "half", result_code::evicted}));
  CHECK(ApplyOne(table, task_assigned{"t", 3, "w1"}));
  CHECK(ApplyOne(table, cancel_requested{"t"}));
  CHECK(ApplyOne(table, task_finished{"t", 3, result_code::ok, "whole"}));
  CHECK_FALSE(ApplyOne(table, task_cancelled{"t", 3}));
  const task_entry* const task = table.FindTask("t");
  REQUIRE(task != nullptr);
  CHECK(task->result == "whole");
  CHECK(task->evictions == 1);
  CHECK(task->failed_workers == std::vector<std::string>{"w1"});
}

// Guards against a second run of a non-idempotent request whose claim is held or settled.
TEST_CASE("a claim can be made again only after a proved release") {
  shard_table table;
  CHECK(ApplyOne(table, claim_made{"k", 7, "team"}));
  CHECK_FALSE(ApplyOne(table, claim_made{"k", 7, "team"}));
  CHECK(ApplyOne(table, claim_released{"k"}));
  CHECK(ApplyOne(table, claim_made{"k", 8, "team"}));
  CHECK(ApplyOne(table, claim_settled{"k", result_code::ok, "answer", true}));
  CHECK_FALSE(ApplyOne(table, claim_released{"k"}));
  CHECK_FALSE(ApplyOne(table, claim_made{"k", 8, "team"}));
  CHECK(table.FindClaim("k")->answer == "answer");
}

// Guards against a table that grows for ever, against a settled claim that is forgotten early to
// save bytes, and against a resubmitted task that reuses epochs which agents have seen.
TEST_CASE("ended entries are pruned by age and number, answers by bytes") {
  shard_table table;
  log_batch batch =
      Batch({Submit("a"), task_assigned{"a", 5, "w"},
             task_finished{"a", 5, result_code::ok, "result"}, claim_made{"k", 1, "team"},
             claim_settled{"k", result_code::ok, std::string(100, 'x'), true}});
  batch.retention = {1000, 10, 10, 50};
  table.ApplyBatch(batch);
  CHECK(table.FindTask("a")->result == "result");
  CHECK(table.FindTask("a")->spec.payload.empty());
  CHECK_FALSE(table.FindClaim("k")->answer_kept);
  CHECK(table.FindClaim("k")->answer.empty());

  log_batch later = Batch({}, 2001);
  later.retention = batch.retention;
  table.ApplyBatch(later);
  CHECK(table.tasks().empty());
  CHECK(table.ended().size() == 0);
  CHECK(table.claims().empty());
  CHECK(ApplyOne(table, Submit("a"), 2001));
  CHECK_FALSE(ApplyOne(table, task_assigned{"a", 5, "w"}, 2001));

  for (const char* task : {"b", "c", "d"}) {
    log_batch next = Batch({Submit(task), task_cancelled{task, 5}}, 2001);
    next.retention.max_ended_tasks = 2;
    table.ApplyBatch(next);
  }
  CHECK(table.FindTask("b") == nullptr);
  CHECK(table.FindTask("c") != nullptr);
}

// Guards against batches of a fenced writer that change the table at replay.
TEST_CASE("a batch with a lower fence is ignored") {
  shard_table table;
  table.ApplyBatch(Batch({owner_changed{"e2", 4}}, 1000, 4));
  CHECK(table.ApplyBatch(Batch({Submit("t")}, 1000, 3)) == std::vector<bool>{false});
  CHECK(table.next_index() == 3);
  CHECK(table.tasks().empty());
  CHECK(table.ended().size() == 0);
}

// Guards against a takeover from a snapshot with missing or mixed parts.
TEST_CASE("a snapshot is split into parts and refused unless it is whole") {
  constexpr std::size_t kPartBytes = 100;
  shard_table table;
  for (int number = 0; number < 20; ++number) {
    ApplyOne(table, Submit("t" + std::to_string(number)));
  }
  std::vector<std::string> parts = table.EncodeSnapshot(kPartBytes);
  REQUIRE(parts.size() > 2);
  for (const std::string& part : parts) CHECK(part.size() <= kPartBytes);
  core::last_error error;
  CHECK(shard_table::DecodeSnapshot(parts, error) == table);
  std::string last = std::move(parts.back());
  parts.pop_back();
  CHECK_FALSE(shard_table::DecodeSnapshot(parts, error).has_value());
  ApplyOne(table, cancel_requested{"t15"});
  const std::vector<std::string> newer = table.EncodeSnapshot(kPartBytes);
  parts.push_back(newer.back());
  parts.front() = newer.front();
  // The change lies in a part between the first and the last.
  REQUIRE(parts != newer);
  CHECK_FALSE(shard_table::DecodeSnapshot(parts, error).has_value());
  CHECK_FALSE(shard_table::DecodeSnapshot({}, error).has_value());
}

// Guards against state that depends on anything but the log, against an epoch that is used twice,
// and against a task that ends twice.
TEST_CASE("random records: replay equals live state, epochs rise, a task ends once") {
  const bool holds = rc::check([] {
    shard_table live;
    shard_table restored;
    std::map<std::string, core::epoch_number> epochs;
    std::set<std::string> ended;
    const int batches = *rc::gen::inRange(1, 40);
    const int snapshot_at = *rc::gen::inRange(0, batches);
    for (int number = 0; number < batches; ++number) {
      log_batch batch = Batch(*rc::gen::container<std::vector<record>>(AnyRecord()));
      batch.wall_ms = *rc::gen::inRange(0, 2000) + number * 100;
      batch.retention = {1000, 2, 2, 20};
      core::last_error error;
      const auto stored = wire::DecodeValue<log_batch>(wire::EncodeValue(batch), error);
      RC_ASSERT(stored == batch);
      for (std::size_t index = 0; index < batch.records.size(); ++index) {
        // One record at a time, so that each effect is seen before entries are pruned.
        shard_table before = live;
        log_batch first = batch;
        first.records.resize(index + 1);
        first.retention = {};
        const bool had_effect = before.ApplyBatch(first).back();
        if (!had_effect) continue;
        if (const auto* assigned = std::get_if<task_assigned>(&batch.records[index])) {
          RC_ASSERT(assigned->epoch > epochs[assigned->task]);
          epochs[assigned->task] = assigned->epoch;
        }
        if (const auto* submitted = std::get_if<task_submitted>(&batch.records[index])) {
          ended.erase(submitted->spec.task);
        }
        const auto* finished = std::get_if<task_finished>(&batch.records[index]);
        const auto* cancelled = std::get_if<task_cancelled>(&batch.records[index]);
        if (finished != nullptr) RC_ASSERT(ended.insert(finished->task).second);
        if (cancelled != nullptr) RC_ASSERT(ended.insert(cancelled->task).second);
      }
      if (number == snapshot_at) {
        auto decoded = shard_table::DecodeSnapshot(live.EncodeSnapshot(100), error);
        RC_ASSERT(decoded.has_value());
        restored = std::move(*decoded);
      }
      const auto effects = live.ApplyBatch(batch);
      if (number >= snapshot_at) RC_ASSERT(restored.ApplyBatch(*stored) == effects);
    }
    RC_ASSERT(restored == live);
  });
  CHECK(holds);
}

}  // namespace coltsfoot::ledger
