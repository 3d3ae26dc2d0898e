#include <fmt/format.h>
#include <signal.h>

#include <string>
#include <thread>

#include "../stand-ins-2/fleet.h"

// An entry is frozen for 4 s while a client hands a job in there. The client gets no answer within
// its time limit and cancels the job at another entry, which acknowledges that. Checks that no task
// of the job starts later than cancel_ms after the acknowledgement.
namespace coltsfoot::review {
namespace {

constexpr auto kConfiguration =
    R"({"version":1,"routes":[{"name":"roll","host":"h.example","prefix":"/roll/",)"
    R"("service":"strawline","sloMs":1000,"priority":2,"attempts":2,"stretch":2.0}],)"
    R"("services":[{"name":"strawline","admissionCheck":false}],"limits":{}})";
constexpr auto kJob = "/roll/71d3a9e0405bc6f8";
constexpr auto kBody =
    R"({"spec":"2700","steps":[{"count":4,"cpu":1800,"memMb":3200,"estMs":2700},)"
    R"({"count":4,"cpu":1800,"memMb":3200,"estMs":2700,"after":[0]},)"
    R"({"count":4,"cpu":1800,"memMb":3200,"estMs":2700,"after":[1]}]})";
constexpr milliseconds kFreeze{4000};
constexpr milliseconds kTimeLimit{3000};
constexpr milliseconds kCancelBound{3000};  // cancel_ms
constexpr milliseconds kWatched{14'000};

int Play(const std::string& path) {
  record log(path);
  fleet all(
      {.minions = {{.name = "a", .service = "strawline"}, {.name = "b", .service = "strawline"}},
       .configuration = kConfiguration},
      log);
  std::this_thread::sleep_for(milliseconds{5000});
  const auto frozen_at = steady::now();
  if (HasTrouble()) {
    all.Entry(0).Signal(SIGSTOP);
    log.Add(fmt::format("edge-0 stands still, for {} ms", kFreeze.count()));
  }
  const int submitted = all.Call(0, "POST", kJob, kBody, kTimeLimit).status;
  if (HasTrouble() != (submitted == 0)) return 2;
  client_answer cancelled;
  const auto limit = steady::now() + milliseconds{10'000};
  while (cancelled.status != 410 && (cancelled.status < 200 || cancelled.status > 299)) {
    if (steady::now() > limit) return 2;
    cancelled = all.Call(1, "DELETE", kJob);
  }
  const auto acknowledged_at = steady::now();
  if (HasTrouble()) {
    std::this_thread::sleep_until(frozen_at + kFreeze);
    all.Entry(0).Signal(SIGCONT);
    log.Add("edge-0 goes on");
  }
  std::this_thread::sleep_until(acknowledged_at + kWatched);
  all.Call(1, "GET", kJob);
  RecordRuns(all, log);
  int late = 0;
  for (const seen_run& run : all.Runs()) late += run.started_at > acknowledged_at + kCancelBound;
  log.Add(
      fmt::format("{} tasks of the cancelled job started later than {} ms after the "
                  "acknowledgement at {} ms",
                  late, kCancelBound.count(), log.Ms(acknowledged_at)));
  log.Add(late == 0 ? "the rule held" : "the rule was broken");
  return late == 0 ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  return coltsfoot::review::Play(argc > 1 ? argv[1] : "record.txt");
}
