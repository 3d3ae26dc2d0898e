#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "harness/fleet.h"
#include "heartbeat_load.h"
#include "http/client.h"
#include "probe.h"
#include "table.h"

ABSL_FLAG(std::vector<std::string>, measure,
          (std::vector<std::string>{"workers", "entries", "heartbeats", "tasks", "starts",
                                    "requests", "changes", "urgent", "change_time"}),
          "what to measure, in this order");
ABSL_FLAG(int, window_s, 15,
          "length of each measurement window; the default is three heartbeat periods");
ABSL_FLAG(std::vector<std::string>, sizes, {},
          "sizes to measure instead of the defaults: workers, entries, tasks or starts per second");
ABSL_FLAG(std::vector<std::string>, urgent, (std::vector<std::string>{"1", "11", "33"}),
          "numbers of urgent tasks that are submitted at the same time");
ABSL_FLAG(std::size_t, urgent_workers, 33, "full workers on which the urgent tasks are started");
ABSL_FLAG(std::int64_t, urgent_cpu_millis, 6000,
          "size of an urgent task; the workers have 4,000 free beside batch tasks of 3,000");
ABSL_FLAG(int, limit_s, 1800, "all processes are ended after this time");

namespace coltsfoot::capacity {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr core::milliseconds kReadyTimeout{120'000};
constexpr core::milliseconds kHeartbeat{5000};
constexpr std::size_t kEntries = 3;
constexpr std::size_t kWorkers = 11;
constexpr int kTeams = 60;
// The load runs on few workers, which therefore announce the capacity of many.
constexpr const char* kLargeCapacity = "10000000";

/// Production timings, as in the design document.
harness::fleet_timings ProductionTimings() {
  harness::fleet_timings out;
  out.heartbeat = kHeartbeat;
  out.lease_ttl = core::milliseconds{15'000};
  out.lease_margin = core::milliseconds{1000};
  out.orphan_grace = core::milliseconds{180'000};
  out.store_lease_ttl = core::milliseconds{10'000};
  out.commit_interval = core::milliseconds{40};
  return out;
}

harness::fleet_options Options(std::size_t entries, std::size_t workers, bool large = false) {
  harness::fleet_options out;
  out.entries = entries;
  out.workers = workers;
  out.timings = ProductionTimings();
  if (large) {
    out.target = {{"cpu_millis", kLargeCapacity},
                  {"memory_mb", kLargeCapacity},
                  {"slots", "1000"},
                  {"connections", "1000"}};
  }
  return out;
}

void Sleep(core::milliseconds time) { std::this_thread::sleep_for(time); }

/// @return the sizes given by --sizes, or the defaults.
std::vector<std::size_t> Sizes(std::vector<std::size_t> defaults) {
  const std::vector<std::string> wanted = absl::GetFlag(FLAGS_sizes);
  if (wanted.empty()) return defaults;
  std::vector<std::size_t> out;
  out.reserve(wanted.size());
  for (const std::string& size : wanted) out.push_back(std::strtoull(size.c_str(), nullptr, 10));
  return out;
}

seconds Window() { return seconds{absl::GetFlag(FLAGS_window_s)}; }

/// Running fleet with the calls that the measurements make.
class bench_fleet {
 public:
  explicit bench_fleet(const harness::fleet_options& options)
      : entries_(options.entries), agents_(options.workers), fleet_(options) {
    if (!fleet_.WaitReady(kReadyTimeout)) fmt::print("WARNING: the fleet did not become ready\n");
    Sleep(kHeartbeat);  // time for the processes to connect to each other
  }

  /// Measures one window while `load` runs.
  measurement Measure(const std::function<void()>& load) {
    probe window(fleet_, entries_, agents_);
    load();
    return window.End();
  }
  measurement MeasureIdle() {
    return Measure([] { Sleep(Window()); });
  }

  /// Calls `send` with 0, 1, 2, ... at a constant rate during one window, without waiting for
  /// answers.
  static void SendAtRate(double rate, const std::function<void(std::uint64_t)>& send) {
    const auto start = std::chrono::steady_clock::now();
    const auto count = static_cast<std::uint64_t>(rate * static_cast<double>(Window().count()));
    for (std::uint64_t i = 0; i < count; ++i) {
      std::this_thread::sleep_until(
          start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                      std::chrono::duration<double>(static_cast<double>(i) / rate)));
      send(i);
    }
    std::this_thread::sleep_until(start + Window());
  }

  void SubmitTask(std::uint64_t number, std::int64_t run_ms, std::int64_t cpu_millis) {
    const std::string key = fmt::format("task-{}-{}", run_ms, number);
    const json payload = {{"key", key}, {"work_ms", run_ms}, {"fail", false}};
    const json body = {{"team", fmt::format("team-{}", number % kTeams)},
                       {"task_class", "plan"},
                       {"kind", number % 3 == 0 ? "latency_critical" : "batch"},
                       {"resources", {{"cpu_millis", cpu_millis}, {"memory_mb", 100}}},
                       {"expected_ms", run_ms},
                       {"payload", payload.dump()}};
    Send({.method = "POST",
          .url = fleet_.Entry(number % entries_) + "/v1/tasks",
          .headers = {{"Idempotency-Key", key}},
          .body = body.dump()});
  }

  void SendRequest(std::uint64_t number) {
    Send({.method = "POST",
          .url = fleet_.Entry(number % entries_) + "/v1/services/strawline/requests",
          .body = fmt::format("key=r{};", number)});
  }

  /// Changes the configuration defaults; each change differs from the previous one.
  /// @return the new version, or 0 if the change was refused.
  std::uint64_t ChangeDefaults() { return Change({{"retry.budget_percent", 10 + change_++ % 40}}); }

  /// Sets defaults.
  /// @return the new version, or 0 if the change was refused.
  std::uint64_t Change(const json& set) {
    const json body = {{"set", set}, {"author", "capacity"}};
    const auto result =
        fleet_.calls().Call("PATCH", fleet_.Entry(change_ % entries_) + "/v1/config/defaults",
                            body.dump(), {{"Content-Type", "application/json"}});
    if (!result.answer || result.answer->status != 200) {
      ++failed_;
      return 0;
    }
    const json answer = json::parse(result.answer->body, nullptr, false);
    return answer.is_object() ? answer.value("version", std::uint64_t{0}) : 0;
  }

  /// @return the number of tasks that run on the workers.
  std::size_t RunningTasks() {
    std::size_t out = 0;
    for (std::size_t i = 0; i < agents_; ++i) {
      const auto result = fleet_.calls().Call("GET", fleet_.Agent(i) + "/metrics");
      if (!result.answer) continue;
      constexpr std::string_view kGauge = "\ncoltsfoot_agent_tasks ";
      const std::size_t at = result.answer->body.find(kGauge);
      if (at == std::string::npos) continue;
      out += std::strtoul(result.answer->body.c_str() + at + kGauge.size(), nullptr, 10);
    }
    return out;
  }

  /// @return the lines of the entries' /metrics that start with one of `names`, as a list.
  std::string EntryCounters(const std::vector<std::string>& names) {
    std::string out;
    for (std::size_t i = 0; i < entries_; ++i) {
      const auto result = fleet_.calls().Call("GET", fleet_.Entry(i) + "/metrics");
      if (!result.answer) continue;
      for (const absl::string_view line : absl::StrSplit(result.answer->body, '\n')) {
        const std::string text(line);
        for (const std::string& name : names) {
          if (text.starts_with(name)) out += fmt::format("- entry-{}: `{}`\n", i, text);
        }
      }
    }
    return out;
  }

  /// @return true if entry 0 knows that all processes have reported at least the version.
  bool IsConfigInForce(std::uint64_t version, std::size_t processes) {
    const auto result = fleet_.calls().Call("GET", fleet_.Entry(0) + "/v1/config/status");
    if (!result.answer) return false;
    const json answer = json::parse(result.answer->body, nullptr, false);
    if (!answer.is_object() || answer.at("processes").size() < processes) return false;
    for (const json& process : answer.at("processes")) {
      if (process.at("version").get<std::uint64_t>() < version) return false;
    }
    return true;
  }

  std::string Counts() const {
    return fmt::format("{} answered, {} failed", succeeded_.load(), failed_.load());
  }
  harness::fleet& fleet() { return fleet_; }

 private:
  void Send(http::call call) {
    call.timeout = core::milliseconds{15'000};
    client_->Send(std::move(call), [this](const http::call_result& result) {
      (result.answer && result.answer->status < 300 ? succeeded_ : failed_) += 1;
    });
  }

  std::size_t entries_;
  std::size_t agents_;
  std::atomic<std::uint64_t> succeeded_{0};
  std::atomic<std::uint64_t> failed_{0};
  std::uint64_t change_ = 0;
  harness::fleet fleet_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
};

void Print(const std::string& text) {
  fmt::print("{}", text);
  std::fflush(stdout);
}

void MeasureWorkers() {
  series out{"Idle fleet, 3 entries, by workers", "workers", {}};
  for (const std::size_t workers : Sizes({11, 33, 99})) {
    bench_fleet idle(Options(kEntries, workers));
    out.points.emplace_back(workers, idle.MeasureIdle());
  }
  Print(ToMarkdown(out));
}

void MeasureEntries() {
  series out{"Idle fleet, 11 workers, by entries", "entries", {}};
  for (const std::size_t entries : Sizes({1, 2, 3, 5})) {
    bench_fleet idle(Options(entries, kWorkers));
    out.points.emplace_back(entries, idle.MeasureIdle());
  }
  Print(ToMarkdown(out));
}

void MeasureHeartbeats() {
  series out{
      "3 entries without agents, heartbeats of many workers every 5 s, by workers", "workers", {}};
  std::string acks;
  for (const std::size_t workers : Sizes({0, 330, 990, 4000})) {
    bench_fleet idle(Options(kEntries, 0));
    std::vector<wire::endpoint> entries;
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries.push_back(harness::ToEndpoint(idle.fleet().EntryUdpEndpoint(i)));
    }
    heartbeat_load load(entries, std::max<std::size_t>(workers, 1), kHeartbeat);
    Sleep(2 * kHeartbeat);
    const std::uint64_t sent = load.sent();
    const std::uint64_t answered = load.acks();
    out.points.emplace_back(workers, idle.MeasureIdle());
    acks += fmt::format("\n{} workers: {} heartbeats sent, {} acks received in the window", workers,
                        load.sent() - sent, load.acks() - answered);
    if (workers == 0) continue;
    const auto start = std::chrono::steady_clock::now();
    const std::uint64_t version = idle.ChangeDefaults();
    const bool done = harness::WaitUntil(core::milliseconds{30'000}, [&] {
      return idle.IsConfigInForce(version, kEntries + workers);
    });
    acks += fmt::format(
        "; a change was {} after {:.1f} s", done ? "in force" : "NOT in force",
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
  Print(ToMarkdown(out) + acks + "\n");
}

void MeasureTasks() {
  series out{"3 entries, 11 workers, by running tasks", "tasks", {}};
  bench_fleet busy(Options(kEntries, kWorkers, true));
  std::uint64_t submitted = 0;
  std::string notes;
  for (const std::size_t tasks : Sizes({0, 300, 1000, 3000})) {
    for (; submitted < tasks; ++submitted) {
      busy.SubmitTask(submitted, 3'600'000, 100);
      Sleep(core::milliseconds{2});
    }
    harness::WaitUntil(core::milliseconds{30'000}, [&] { return busy.RunningTasks() >= tasks; });
    const std::size_t running = busy.RunningTasks();
    notes += fmt::format("\n{} tasks submitted: {} run", tasks, running);
    Sleep(core::milliseconds{2000});
    out.points.emplace_back(tasks, busy.MeasureIdle());
  }
  Print(ToMarkdown(out) + notes + "; " + busy.Counts() + "\n");
}

void MeasureStarts() {
  series out{"3 entries, 11 workers, by starts per second of tasks of 1 s", "starts/s", {}};
  std::string notes;
  for (const std::size_t rate : Sizes({0, 10, 50, 150, 310})) {
    bench_fleet busy(Options(kEntries, kWorkers, true));
    out.points.emplace_back(rate, busy.Measure([&] {
      if (rate == 0) Sleep(Window());
      bench_fleet::SendAtRate(static_cast<double>(rate),
                              [&](std::uint64_t number) { busy.SubmitTask(number, 1000, 100); });
    }));
    notes += fmt::format("\n{}/s: {}; {} run at the end of the window", rate, busy.Counts(),
                         busy.RunningTasks());
  }
  Print(ToMarkdown(out) + notes + "\n");
}

void MeasureRequests() {
  series out{"3 entries, 11 workers, by idempotent requests per second", "requests/s", {}};
  std::string notes;
  bench_fleet busy(Options(kEntries, kWorkers, true));
  for (const int rate : {0, 100, 300, 900}) {
    out.points.emplace_back(rate, busy.Measure([&] {
      if (rate == 0) Sleep(Window());
      bench_fleet::SendAtRate(rate, [&](std::uint64_t number) { busy.SendRequest(number); });
    }));
    notes += fmt::format("\nup to {}/s: {}", rate, busy.Counts());
  }
  Print(ToMarkdown(out) + notes + "\n");
}

void MeasureChanges() {
  series out{"3 entries, 11 workers, by configuration changes per second", "changes/s", {}};
  bench_fleet busy(Options(kEntries, kWorkers));
  for (const double rate : {0.0, 0.2, 1.0, 5.0}) {
    out.points.emplace_back(rate, busy.Measure([&] {
      if (rate == 0) Sleep(Window());
      bench_fleet::SendAtRate(rate, [&](std::uint64_t) { busy.ChangeDefaults(); });
    }));
  }
  Print(ToMarkdown(out) + "\n" + busy.Counts() + "\n");
}

void MeasureUrgentStart(std::size_t urgent) {
  constexpr std::size_t kTasksPerWorker = 4;
  const std::size_t workers = absl::GetFlag(FLAGS_urgent_workers);
  bench_fleet full(Options(kEntries, workers));
  // Tasks of the fake target report the allocated size as usage, so with size correction the sizes
  // would grow from task to task until four no longer fit on a worker.
  full.Change({{"sizes.correction", false}});
  std::optional<std::string> last;
  // Four tasks of 3 cores leave 4 cores free, of which batch tasks may use less than one task
  // needs. Half as many again wait in the queue, so that freed capacity is in demand at once.
  for (std::uint64_t i = 0; i < workers * kTasksPerWorker * 3 / 2; ++i) {
    harness::task_spec spec{.key = fmt::format("batch-{}", i)};
    spec.cpu_millis = 3000;
    spec.expected_ms = spec.work_ms = 3'600'000;
    last = full.fleet().calls().Submit(full.fleet().Entry(i % kEntries), spec);
  }
  const std::size_t wanted = workers * kTasksPerWorker;
  harness::WaitUntil(core::milliseconds{60'000}, [&] { return full.RunningTasks() >= wanted; });
  const std::size_t batch = full.RunningTasks();
  if (batch < wanted && last) {
    const auto why =
        full.fleet().calls().Call("GET", full.fleet().Entry(0) + "/v1/tasks/" + *last + "/explain");
    if (why.answer) Print("\nThe workers are not full: " + why.answer->body + "\n");
  }
  std::vector<double> times(urgent, -1);
  const auto start_one = [&](std::size_t number) {
    harness::task_spec spec{.key = fmt::format("urgent-{}", number)};
    spec.kind = "latency_critical";
    spec.urgent = true;
    spec.team = "team-urgent";
    spec.cpu_millis = absl::GetFlag(FLAGS_urgent_cpu_millis);
    spec.expected_ms = spec.work_ms = 60'000;
    const auto start = std::chrono::steady_clock::now();
    const auto entries = full.fleet().Entries();
    const auto id = full.fleet().calls().Submit(entries[number % kEntries], spec);
    if (!id) {
      Print("\nNot accepted\n");
      return;
    }
    const auto view = full.fleet().calls().WaitForRun(entries, *id, 0, core::milliseconds{40'000});
    if (view.state != "running") {
      const auto why =
          full.fleet().calls().Call("GET", entries[0] + "/v1/tasks/" + *id + "/explain");
      if (why.answer) Print("\nNot started: " + why.answer->body + "\n");
      return;
    }
    times[number] = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < urgent; ++i) threads.emplace_back(start_one, i);
  for (std::thread& thread : threads) thread.join();
  std::sort(times.begin(), times.end());
  const auto failed = std::count(times.begin(), times.end(), -1.0);
  Print(
      fmt::format("\n{} workers run {} batch tasks; {} urgent tasks at once: fastest {:.2f} s, "
                  "median {:.2f} s, "
                  "slowest {:.2f} s, {} not started within 40 s\n\n{}",
                  workers, batch, urgent, times[static_cast<std::size_t>(failed) % urgent],
                  times[urgent / 2], times.back(), failed,
                  full.EntryCounters({"coltsfoot_retries_total", "coltsfoot_evictions_total",
                                      "coltsfoot_task_controls_total", "coltsfoot_stray"})));
}

void MeasureUrgent() {
  Print("\n### Urgent start\n");
  for (const std::string& urgent : absl::GetFlag(FLAGS_urgent)) {
    MeasureUrgentStart(std::stoul(urgent));
  }
}

void MeasureChangeTime() {
  constexpr std::size_t kManyWorkers = 99;
  constexpr int kChanges = 5;
  bench_fleet idle(Options(kEntries, kManyWorkers));
  std::string times;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t version = idle.ChangeDefaults();
    const auto start = std::chrono::steady_clock::now();
    const bool done = harness::WaitUntil(core::milliseconds{30'000}, [&] {
      return idle.IsConfigInForce(version, kEntries + kManyWorkers);
    });
    times +=
        fmt::format(" {:.2f}{}",
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(),
                    done ? "" : " (NOT in force)");
  }
  Print(
      fmt::format("\n### Change in force\n\n3 entries and 99 workers, seconds from the answer "
                  "until every process reports it:{}\n",
                  times));
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Measures CPU time, memory, traffic and key-value calls per entry and agent as a function of "
      "size and load, and prints Markdown.");
  absl::ParseCommandLine(argc, argv);
  harness::SetTimeLimit(seconds{absl::GetFlag(FLAGS_limit_s)});
  const std::map<std::string, void (*)()> known{
      {"workers", MeasureWorkers}, {"entries", MeasureEntries}, {"heartbeats", MeasureHeartbeats},
      {"tasks", MeasureTasks},     {"starts", MeasureStarts},   {"requests", MeasureRequests},
      {"changes", MeasureChanges}, {"urgent", MeasureUrgent},   {"change_time", MeasureChangeTime}};
  for (const std::string& name : absl::GetFlag(FLAGS_measure)) {
    const auto found = known.find(name);
    if (found == known.end()) {
      fmt::print(stderr, "unknown measurement: {}\n", name);
      return 2;
    }
    found->second();
  }
  return 0;
}

}  // namespace
}  // namespace coltsfoot::capacity

int main(int argc, char** argv) { return coltsfoot::capacity::Main(argc, argv); }
