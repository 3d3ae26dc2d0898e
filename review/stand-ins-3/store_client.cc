#include <thread>

#include "fleet.h"
#include "jobs/records.h"
#include "store/kv_client.h"
#include "wire/codec.h"

namespace coltsfoot::review {
namespace {

// `kDefaultListingBytes` of platform/store_client.h.
constexpr std::size_t kListingBytes = 32U << 20U;
constexpr std::size_t kMarginBytes = 110'000;
// More than the coordinator may still remove when it is killed.
constexpr std::size_t kExcessBytes = 60'000;
// The longest that a client may send.
constexpr std::size_t kPayloadBytes = 4000;
// Requests of malolos-straw: 4.46 of one kind and 0.98 of the other in a second.
constexpr milliseconds kSubmitPeriod{184};
constexpr seconds kMaxGrowth{60};
constexpr milliseconds kDowntime{1000};
// `recoverS` of the site file.
constexpr seconds kRecovery{12};
constexpr auto kStep = R"({"count":2,"cpu":200,"memMb":100,"estMs":400})";

std::string JobId(std::uint64_t number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
  return id;
}

std::string JobBody() {
  return R"({"spec":")" + std::string(kPayloadBytes, 'x') + R"(","steps":[)" + kStep + "]}";
}

std::size_t ListedBytes(const std::string& key, const std::string& value) {
  return sizeof(store::kv_entry) + key.size() + value.size();
}

/// Fills the store with jobs that completed an hour ago, up to the margin below the limit.
/// @return the number of jobs.
std::uint64_t Preload(metadata_store& store) {
  const std::int64_t now_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  const std::int64_t ended_ms = now_ms - std::int64_t{3'600'000};
  std::size_t bytes = 0;
  std::uint64_t number = 0;
  for (;; ++number) {
    jobs::job_record job{.queue = "q",
                         .service = "svc",
                         .attempts = 2,
                         .stretch = 2.0,
                         .objective_ms = 500,
                         .config_version = 1,
                         .accepted_wall_ms = ended_ms - 1000,
                         .spec = {std::string(kPayloadBytes, 'x'), {}}};
    job.spec.steps.push_back({.count = 2, .need = {200, 100, 0}, .estimate_ms = 400});
    const std::string key = jobs::JobKey(JobId(number));
    const std::string value = wire::EncodeValue(job);
    bytes += ListedBytes(key, value);
    if (bytes > kListingBytes - kMarginBytes) return number;
    store.Preload(key, value);
    store.Preload(jobs::ProgressKey(JobId(number)),
                  wire::EncodeValue(jobs::progress_record{
                      .state = jobs::job_state::complete, .ended_wall_ms = ended_ms, .tasks = {}}));
  }
}

}  // namespace

int RunFullListing(const std::filesystem::path& /*directory*/, bool trouble, record& log) {
  fleet system({}, log);
  const std::uint64_t preloaded = Preload(system.store());
  log.Write("jobs in the store: " + std::to_string(preloaded));
  if (!system.StartAll()) return kCouldNotRun;
  std::uint64_t next = std::uint64_t{1} << 60U;
  if (!system.Submit(JobId(next), JobBody()) ||
      !system.WaitForState(JobId(next), "complete", seconds{20})) {
    return kCouldNotRun;
  }
  const auto grow_until = steady::now() + kMaxGrowth;
  while (system.store().ListedBytes("coltsfoot/in/") <= kListingBytes + kExcessBytes) {
    if (steady::now() > grow_until) {
      log.Write("the store did not grow to the limit");
      return kCouldNotRun;
    }
    const auto at = steady::now() + kSubmitPeriod;
    if (!system.Submit(JobId(++next), JobBody())) return kCouldNotRun;
    std::this_thread::sleep_until(at);
  }
  log.Write("jobs in the store: " + std::to_string(system.store().CountKeys("coltsfoot/in/job/")) +
            ", listed bytes: " + std::to_string(system.store().ListedBytes("coltsfoot/in/")));
  const int coordinator = system.Coordinator();
  if (coordinator < 0) return kCouldNotRun;
  if (trouble) {
    system.KillEntry(coordinator);
    std::this_thread::sleep_for(kDowntime);
    if (!system.StartEntry(coordinator)) return kCouldNotRun;
  }
  std::this_thread::sleep_for(seconds{3});
  const std::string id = JobId(++next);
  if (!system.Submit(id, JobBody())) return kCouldNotRun;
  const bool completed = system.WaitForState(id, "complete", kRecovery + seconds{18});
  system.RecordRuns();
  int running = 0;
  bool begun = false;
  for (const auto& run : system.Runs()) {
    running += run.ended_at ? 0 : 1;
    begun = begun || run.task.starts_with(id);
  }
  log.Write("job " + id + (completed ? " completed" : " did not complete") +
            (begun ? "" : ", none of its tasks has started") +
            "; tasks running on the workers: " + std::to_string(running));
  return completed ? kHeld : kBroken;
}

}  // namespace coltsfoot::review
