#include <doctest/doctest.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>

#include "simulated_fleet.h"

namespace coltsfoot::simulation {
namespace {

constexpr std::size_t kWorkers = 11;
constexpr std::uint64_t kSeeds = 20;
constexpr milliseconds kLoadPeriod{10'000};
constexpr milliseconds kEndLimit{60'000};
/// Time from the start of a deadly task to the crash.
constexpr milliseconds kAtOnce{10};
/// A deadly task whose crashes come later takes longer to be given up.
constexpr milliseconds kSlowEndLimit{180'000};
// A task may be started twice more after it has crashed three targets.
constexpr std::uint32_t kMaxStarts = 5;

struct outcome {
  std::set<std::string> open;                    ///< jobs that have not ended
  std::set<std::string> late;                    ///< harmless jobs that are open after `kEndLimit`
  std::set<std::string> wrongly_failed;          ///< harmless jobs shown as failed
  std::map<std::string, std::uint32_t> crashes;  ///< by deadly job
  std::size_t lost_runs = 0;                     ///< runs of harmless jobs lost in crashes
};

/// Submits harmless jobs and, as a tenth of all, jobs with a task that crashes its target.
outcome Simulate(std::uint64_t seed, milliseconds crash_after, bool replace_coordinator) {
  simulated_fleet fleet(kWorkers, seed);
  core::random_source& random = fleet.random();
  outcome out;
  std::set<std::string> deadly;
  fleet.Pass(milliseconds{2000});
  const core::mono_time until = fleet.now() + kLoadPeriod;
  for (int job = 1; fleet.now() < until; ++job) {
    const std::string id = fmt::format("{:016x}", job);
    if (random.Below(10) == 0) {
      deadly.insert(id);
      for (std::size_t index = 0; index < kWorkers; ++index) {
        fleet.target(index).AddDeadlyJob(id, crash_after);
      }
    }
    fleet.Submit(id, 1 + static_cast<std::uint32_t>(random.Below(6)));
    out.open.insert(id);
    fleet.Pass(milliseconds{random.Below(300)});
    if (replace_coordinator && random.Below(20) == 0) fleet.ReplaceCoordinator(milliseconds{500});
  }
  const core::mono_time began = fleet.now();
  const milliseconds limit = crash_after == kAtOnce ? kEndLimit : kSlowEndLimit;
  while (!out.open.empty() && fleet.now() < began + limit) {
    if (fleet.now() >= began + kEndLimit && out.late.empty()) {
      std::set_difference(out.open.begin(), out.open.end(), deadly.begin(), deadly.end(),
                          std::inserter(out.late, out.late.end()));
    }
    fleet.Pass(milliseconds{500});
    std::erase_if(out.open, [&](const std::string& job) {
      const auto state = fleet.StateOf(job);
      if (state == jobs::job_state::failed && !deadly.contains(job)) out.wrongly_failed.insert(job);
      return state == jobs::job_state::failed || state == jobs::job_state::complete;
    });
  }
  for (const run_record& run : fleet.history()) {
    if (!run.crashed) continue;
    if (!deadly.contains(run.run.task.job)) {
      ++out.lost_runs;
    } else if (run.run.task.index == 0) {
      ++out.crashes[run.run.task.job];
    }
  }
  return out;
}

void CheckSeeds(milliseconds crash_after, bool replace_coordinator) {
  spdlog::set_level(spdlog::level::off);
  std::size_t lost_runs = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const outcome out = Simulate(seed, crash_after, replace_coordinator);
    for (const auto& job : out.crashes) {
      CHECK_MESSAGE(job.second <= kMaxStarts, "seed ", seed, " job ", job.first);
    }
    CHECK_MESSAGE(out.open.empty(), "seed ", seed, ": ", out.open.size(), " jobs have not ended");
    CHECK_MESSAGE(out.late.empty(), "seed ", seed, ": ", out.late.size(),
                  " harmless jobs are late");
    CHECK_MESSAGE(out.wrongly_failed.empty(), "seed ", seed,
                  ": harmless jobs failed: ", out.wrongly_failed.size());
    lost_runs += out.lost_runs;
  }
  MESSAGE(lost_runs, " runs of other jobs were lost in crashes");
}

}  // namespace

TEST_CASE("a task that crashes its targets is given up and other jobs complete") {
  CheckSeeds(kAtOnce, false);
}

// Guards against evidence of crashes that is lost with the coordinator.
TEST_CASE("a task that crashes its targets is given up although coordinators are replaced") {
  CheckSeeds(kAtOnce, true);
}

// Guards against a task that is never suspected because its targets do not crash at once.
TEST_CASE("a task that crashes its targets some time after its start is given up") {
  for (const milliseconds after : {milliseconds{500}, milliseconds{2000}}) CheckSeeds(after, false);
}

}  // namespace coltsfoot::simulation
