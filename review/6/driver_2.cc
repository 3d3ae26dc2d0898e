#include <fmt/format.h>

#include <string>
#include <thread>

#include "../stand-ins-2/fleet.h"

// A job has one task that crashes each minion that starts it, half a second after the start. Counts
// the starts after three minions have crashed under it.
namespace coltsfoot::review {
namespace {

constexpr auto kConfiguration =
    R"({"version":1,"routes":[{"name":"glue","host":"h.example","prefix":"/glue/",)"
    R"("service":"strawline","sloMs":250,"priority":0,"attempts":4,"stretch":1.5}],)"
    R"("services":[{"name":"strawline","admissionCheck":false}],"limits":{}})";
constexpr auto kJob = "/glue/95be07c1d2f3a480";
constexpr auto kDeadlyBody =
    R"({"spec":"deadly","steps":[{"count":1,"cpu":240,"memMb":480,"estMs":1000}]})";
constexpr auto kSoundBody =
    R"({"spec":"1000","steps":[{"count":1,"cpu":240,"memMb":480,"estMs":1000}]})";
constexpr std::size_t kCrashesBefore = 3;
constexpr std::size_t kMoreStarts = 3;
constexpr milliseconds kWatched{50'000};

int Play(const std::string& path) {
  record log(path);
  fleet::layout wanted{.configuration = kConfiguration};
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    wanted.minions.push_back({.name = name, .service = "strawline"});
  }
  fleet all(wanted, log);
  std::this_thread::sleep_for(milliseconds{8000});
  if (all.Call(0, "POST", kJob, HasTrouble() ? kDeadlyBody : kSoundBody).status != 200) return 2;
  std::this_thread::sleep_for(kWatched);
  all.Call(1, "GET", kJob);
  RecordRuns(all, log);
  std::size_t crashes = 0;
  std::size_t more = 0;
  // The task runs on one minion at a time, so its runs are in the order of their ends, too.
  for (const seen_run& run : all.Runs()) {
    if (crashes >= kCrashesBefore) ++more;
    if (run.how == "crashed") ++crashes;
  }
  log.Add(
      fmt::format("{} minions crashed under the task; {} starts after the third", crashes, more));
  if (HasTrouble() && crashes < kCrashesBefore) return more == 0 && crashes > 0 ? 0 : 2;
  log.Add(more < kMoreStarts ? "the rule held" : "the rule was broken");
  return more < kMoreStarts ? 0 : 1;
}

}  // namespace
}  // namespace coltsfoot::review

int main(int argc, char** argv) {
  return coltsfoot::review::Play(argc > 1 ? argv[1] : "record.txt");
}
