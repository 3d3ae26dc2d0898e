#include "jobs/job_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

constexpr int kJobs = 3;
constexpr std::uint32_t kTasks = 4;
constexpr int kAgents = 3;

std::string AgentName(int index) { return "w" + std::to_string(index); }

job_row& AddJob(job_table& table, const std::string& id) {
  job_record record;
  record.queue = "q";
  record.service = "svc";
  record.spec.steps = {testing::TestStep(kTasks, 1000)};
  return table.Add(id, std::move(record), 1, {});
}

using run_set = std::set<std::pair<std::string, std::uint32_t>>;

run_set RunsAt(job_table& table, const std::string& agent) {
  run_set found;
  table.VisitCopies(agent, [&](const task_ref& ref, const task_id& id, const task_copy& copy) {
    CHECK(&ref.job->tasks[id.index] == ref.task);
    found.emplace(ToString(id), copy.run);
  });
  return found;
}

}  // namespace

// Guards against wrong committed capacity of an agent, which is summed over this index.
TEST_CASE("the index by agent agrees with the copies of all tasks") {
  const bool holds = rc::check([] {
    job_table table;
    std::vector<std::string> ids;
    for (int job = 0; job < kJobs; ++job) {
      ids.push_back("j" + std::to_string(job));
      AddJob(table, ids.back());
    }
    std::map<std::string, run_set> expected;
    std::uint32_t next_run = 1;
    for (int round = 0; round < 60; ++round) {
      const task_id id{ids[static_cast<std::size_t>(*rc::gen::inRange(0, kJobs))], 0, 0,
                       *rc::gen::inRange<std::uint32_t>(0, kTasks)};
      const auto ref = table.FindTask(id);
      const std::string agent = AgentName(*rc::gen::inRange(0, kAgents));
      if (*rc::gen::inRange(0, 2) == 0) {
        table.AddCopy(*ref, {.agent = agent, .run = next_run});
        expected[agent].emplace(ToString(id), next_run++);
      } else if (!ref->task->copies.empty()) {
        const task_copy copy = ref->task->copies.front();
        table.RemoveCopy(*ref, copy.agent, copy.run);
        expected[copy.agent].erase({ToString(id), copy.run});
      }
    }
    for (int agent = 0; agent < kAgents; ++agent) {
      RC_ASSERT(RunsAt(table, AgentName(agent)) == expected[AgentName(agent)]);
    }
  });
  CHECK(holds);
}

// Guards against redundant copies that keep running.
TEST_CASE("a job with redundant copies becomes a stop candidate") {
  job_table table;
  job_row& job = AddJob(table, "j");
  const auto ref = table.FindTask({"j", 0, 0, 0});
  table.AddCopy(*ref, {.agent = "w0", .run = 1});
  CHECK(table.stop_candidates().empty());
  SUBCASE("the job ends") { table.Cancel(job, 5); }
  SUBCASE("the task is done elsewhere") { table.MarkDone(*ref, 5); }
  SUBCASE("the task has two copies") { table.AddCopy(*ref, {.agent = "w1", .run = 2}); }
  CHECK(table.stop_candidates().contains("j"));
}

TEST_CASE("a cancelled job leaves the index of open jobs and becomes dirty") {
  job_table table;
  job_row& job = AddJob(table, "j");
  CHECK(table.open().contains("j"));
  CHECK(table.dirty().empty());
  table.Cancel(job, 5);
  CHECK(table.open().empty());
  CHECK(table.dirty().contains("j"));
  table.ClearDirty(job);
  CHECK(table.dirty().empty());
}

// Guards against memory for each task of a job before the task starts.
TEST_CASE(
    "tasks take memory from their first change on, and stored progress leaves the others out") {
  job_table table;
  job_record record;
  record.spec.steps.assign(kMaxSteps, testing::TestStep(kMaxTasksPerStep));
  job_row& job = table.Add("j", record, 1, {});
  CHECK(job.tasks.size() == kMaxSteps * kMaxTasksPerStep);
  CHECK(job.tasks.allocated() == 0);
  CHECK(job_table::Progress(job).tasks.empty());
  const auto ref = table.FindTask({"j", 0, 1, 2});
  REQUIRE(ref);
  table.MarkDone(*ref, 1);
  CHECK(job.tasks.allocated() <= 16);
  const progress_record stored = job_table::Progress(job);
  REQUIRE(stored.tasks.size() == kMaxTasksPerStep + 3);
  CHECK(stored.tasks.back().done);

  job_table next;
  job_row& restored = next.Add("j", record, 1, {});
  next.Restore(restored, stored, 1, 1);
  CHECK(restored.steps[1].done == 1);
  CHECK(restored.steps[1].pending == kMaxTasksPerStep - 1);
  CHECK(restored.tasks.allocated() <= 16);
  CHECK(job_table::Progress(restored) == stored);
}

}  // namespace coltsfoot::jobs
