#include <doctest/doctest.h>

#include <string>

#include "fixture.h"

namespace coltsfoot::jobs {
namespace {

using core::milliseconds;
using testing::coordinator_fixture;
using testing::TestStep;

constexpr auto kJob = "00000000000000aa";
// Longer than `coordinator_options::retention`.
constexpr milliseconds kRetention{155'000};

struct cancelling_fleet : coordinator_fixture {
  cancelling_fleet() { Begin({"a"}); }

  void Pass(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{500}) {
      Report("a");
      Tick(milliseconds{500});
    }
  }

  bool HasCancellation() const { return storage.entries.contains(CancelKey(kJob)); }
};

}  // namespace

// Guards against a coordinator that forgets a cancellation before the job's submission arrives.
TEST_CASE("a job that arrives long after its cancellation starts no task") {
  cancelling_fleet fleet;
  fleet.Cancel(kJob);
  SUBCASE("under the same coordinator") { fleet.Pass(milliseconds{100'000}); }
  SUBCASE("under a new coordinator") { fleet.Begin({"a"}); }
  fleet.Submit(kJob, {TestStep(1)});
  fleet.Pass(milliseconds{1000});
  CHECK(fleet.agents.TakeStarts().empty());
  CHECK(fleet.control.StateOf(kJob) == job_state::cancelled);
}

// Guards against cancellations of jobs that never come, which pile up in the store.
TEST_CASE("the cancellation of a job that never arrives is removed after the retention") {
  cancelling_fleet fleet;
  fleet.Cancel(kJob);
  fleet.Pass(milliseconds{100'000});
  CHECK(fleet.HasCancellation());
  fleet.Pass(kRetention - milliseconds{100'000});
  CHECK_FALSE(fleet.HasCancellation());
}

// Guards against the removal of a cancellation whose job was stored just before.
TEST_CASE("a cancellation is not removed while its job is in the store") {
  cancelling_fleet fleet;
  fleet.Cancel(kJob);
  fleet.Pass(milliseconds{100'000});
  // Stored, but the coordinator has not received it yet.
  fleet.storage.Put(JobKey(kJob), "job");
  fleet.Pass(kRetention - milliseconds{100'000});
  CHECK(fleet.HasCancellation());
}

}  // namespace coltsfoot::jobs
