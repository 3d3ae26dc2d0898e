#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "../stand-ins-2/fleet.h"

// The store has had 2.2 billion changes before. The entry that places the tasks is killed once and
// starts again, while jobs run. Checks that these jobs, and one that is handed in later, go on.
namespace coltsfoot::review {
namespace {

constexpr std::uint64_t kChangesBefore = 2'200'000'000;
constexpr auto kConfiguration =
    R"({"version":1,"routes":[{"name":"roll","host":"h.example","prefix":"/roll/",)"
    R"("service":"strawline","sloMs":1000,"priority":2,"attempts":2,"stretch":2.0}],)"
    R"("services":[{"name":"strawline","admissionCheck":false}],"limits":{}})";
constexpr auto kQueue = "/roll/";
constexpr auto kBody =
    R"({"spec":"2700","steps":[{"count":8,"cpu":1800,"memMb":3200,"estMs":2700},)"
    R"({"count":8,"cpu":1800,"memMb":3200,"estMs":2700,"after":[0]},)"
    R"({"count":8,"cpu":1800,"memMb":3200,"estMs":2700,"after":[1]}]})";
constexpr int kJobs = 4;
constexpr milliseconds kBeforeKill{2000};
constexpr milliseconds kEntryDown{1000};
constexpr milliseconds kBeforeLastJob{4000};
constexpr milliseconds kFinish{14'000};  // finish_s
// Time for the jobs beside that, which need 8.1 s on idle minions.
constexpr milliseconds kMore{20'000};
constexpr milliseconds kIdle{3000};  // of the rule

std::size_t CountRunning(fleet& all) {
  const auto runs = all.Runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.how.empty(); }));
}

int Play(const std::string& path) {
  record log(path);
  fleet all({.entries = 3,
             .minions = {{.name = "a", .service = "strawline"},
                         {.name = "b", .service = "strawline"},
                         {.name = "c", .service = "strawline"},
                         {.name = "d", .service = "strawline"}},
             .configuration = kConfiguration,
             .changes_before = kChangesBefore},
            log);
  std::this_thread::sleep_for(milliseconds{8000});
  std::vector<std::string> jobs;
  for (int number = 0; number < kJobs; ++number) {
    jobs.push_back(fmt::format("b7e2409d61c3f5{:02x}", number));
    if (all.Call(0, "POST", kQueue + jobs.back(), kBody).status != 200) return 2;
  }
  std::this_thread::sleep_for(kBeforeKill);
  const auto leader = all.Leader();
  if (!leader) return 2;
  if (HasTrouble()) {
    all.KillEntry(*leader);
    log.Add(fmt::format("edge-{} is killed", *leader));
  }
  std::this_thread::sleep_for(kEntryDown);
  if (HasTrouble()) {
    all.StartEntry(*leader);
    log.Add(fmt::format("edge-{} starts again", *leader));
  }
  std::this_thread::sleep_for(kBeforeLastJob);
  const std::size_t asked = (*leader + 1) % all.entries();
  jobs.push_back(fmt::format("b7e2409d61c3f5{:02x}", kJobs));
  if (all.Call(asked, "POST", kQueue + jobs.back(), kBody).status != 200) return 2;
  std::this_thread::sleep_for(kFinish + kMore);
  std::size_t complete = 0;
  std::size_t idle = 0;
  const auto now = steady::now();
  for (const std::string& job : jobs) {
    const client_answer shown = all.Call(asked, "GET", kQueue + job);
    if (shown.body.find("complete") != std::string::npos) {
      ++complete;
      continue;
    }
    const auto runs = all.Runs();
    const bool ran = std::any_of(runs.begin(), runs.end(), [&](const seen_run& run) {
      return run.task.starts_with(job) && (!run.ended_at || now - *run.ended_at < kIdle);
    });
    if (!ran) ++idle;
  }
  log.Add(fmt::format("{} tasks run on all minions", CountRunning(all)));
  RecordRuns(all, log);
  log.Add(fmt::format("{} of {} jobs are complete; {} had nothing running for {} ms", complete,
                      jobs.size(), idle, kIdle.count()));
  if (complete + idle < jobs.size()) return 2;
  log.Add(idle == 0 ? "the rule held" : "the rule was broken");
  return idle == 0 ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  return coltsfoot::review::Play(argc > 1 ? argv[1] : "record.txt");
}
