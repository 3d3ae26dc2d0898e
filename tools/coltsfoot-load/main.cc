#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "http/client.h"
#include "load/runner.h"
#include "program/command_line.h"

ABSL_FLAG(std::vector<std::string>, entry, {}, "URLs of entries, used round-robin; repeatable");
ABSL_FLAG(std::uint64_t, seed, 1, "the same seed draws the same calls");
ABSL_FLAG(std::int64_t, duration_ms, 10'000, "time over which calls are sent");
ABSL_FLAG(std::uint64_t, max_calls, 1'000'000, "maximum number of requests and submissions");
ABSL_FLAG(std::uint32_t, max_in_flight, 2000, "calls above this are counted but not sent");
ABSL_FLAG(std::int64_t, timeout_ms, 15'000, "maximum time to wait for an answer");
ABSL_FLAG(std::uint32_t, retries, 0, "retries after a lost connection or an unknown outcome");
ABSL_FLAG(std::uint32_t, threads, 2, "HTTP clients, each with one thread");
ABSL_FLAG(std::string, service, "", "service that requests are sent to");
ABSL_FLAG(double, rate, 0, "requests per second");
ABSL_FLAG(double, non_idempotent_percent, 0, "share of requests that must run at most once");
ABSL_FLAG(std::vector<std::string>, teams, {"default"}, "teams of requests and tasks");
ABSL_FLAG(std::int64_t, deadline_ms, 0, "deadline of requests; 0 uses the fleet's default");
ABSL_FLAG(std::uint64_t, body_bytes, 100, "size of a request body");
ABSL_FLAG(double, task_rate, 0, "task submissions per second");
ABSL_FLAG(std::string, task_class, "load", "class of tasks");
ABSL_FLAG(std::string, task_kind, "batch", "kind of tasks: batch or latency_critical");
ABSL_FLAG(std::vector<std::string>, task_cpu_millis, {"1000"}, "sizes of tasks, drawn uniformly");
ABSL_FLAG(std::int64_t, task_memory_mb, 100, "memory of a task");
ABSL_FLAG(std::vector<std::string>, task_expected_ms, {"1000"},
          "run times of tasks, drawn uniformly");
ABSL_FLAG(std::vector<std::string>, task_work_percent, {"100"},
          "real run times in percent of the declared ones, drawn uniformly");
ABSL_FLAG(std::vector<std::string>, task_use_percent, {"100"},
          "CPU really used in percent of the declared size, drawn uniformly");
ABSL_FLAG(std::int64_t, task_wait_ms, 60'000, "maximum time to wait for tasks after the calls");
ABSL_FLAG(bool, json, false, "print the report as JSON");
ABSL_FLAG(std::string, history, "", "file to append the history to, as JSON lines");

namespace {

namespace load = coltsfoot::load;
using coltsfoot::core::milliseconds;

constexpr int kExitWrongAnswers = 1;
constexpr int kExitUsage = 2;

constexpr std::string_view kHelp =
    R"(coltsfoot-load sends requests and tasks to the entries of a coltsfootbank fleet.

usage: coltsfoot-load --entry=http://IP:PORT [FLAGS]

The times of all calls are drawn in advance (Poisson arrivals). A call is sent at its time whether
or not earlier ones have been answered, and latency counts from that time. Each answer must start
with the token of its own request.

Example
  coltsfoot-load --entry=http://10.0.0.1:8000 --service=planner --rate=500 --duration_ms=30000 \
      --non_idempotent_percent=20 --teams=mills,kilns --task_rate=5 --task_expected_ms=500,2000

Exit codes
  0  done; no answer was wrong or truncated
  1  an answer was wrong or truncated
  2  error in the command line; nothing was sent

Flags
)";

std::atomic<bool> stop_requested{false};

void RequestStop(int /*signal*/) { stop_requested = true; }

int Fail(std::string_view error) {
  std::cerr << error << "\nSee coltsfoot-load --help.\n";
  return kExitUsage;
}

/// @return the numbers; text that is not a number becomes 0, which ValidateOptions rejects.
std::vector<std::int64_t> ParseNumbers(const std::vector<std::string>& texts) {
  std::vector<std::int64_t> numbers;
  for (const std::string& text : texts) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    numbers.push_back(error == std::errc{} && parsed == end ? value : 0);
  }
  return numbers;
}

load::load_options ReadFlags() {
  load::load_options options{
      .entries = absl::GetFlag(FLAGS_entry),
      .seed = absl::GetFlag(FLAGS_seed),
      .duration = milliseconds{absl::GetFlag(FLAGS_duration_ms)},
      .max_calls = absl::GetFlag(FLAGS_max_calls),
      .max_in_flight = absl::GetFlag(FLAGS_max_in_flight),
      .timeout = milliseconds{absl::GetFlag(FLAGS_timeout_ms)},
      .retries = absl::GetFlag(FLAGS_retries),
      .service = absl::GetFlag(FLAGS_service),
      .request_rate = absl::GetFlag(FLAGS_rate),
      .non_idempotent_percent = absl::GetFlag(FLAGS_non_idempotent_percent),
      .teams = absl::GetFlag(FLAGS_teams),
      .deadline_ms = absl::GetFlag(FLAGS_deadline_ms),
      .body_bytes = absl::GetFlag(FLAGS_body_bytes),
      .task_rate = absl::GetFlag(FLAGS_task_rate),
      .task_class = absl::GetFlag(FLAGS_task_class),
      .task_kind = absl::GetFlag(FLAGS_task_kind),
      .task_cpu_millis = ParseNumbers(absl::GetFlag(FLAGS_task_cpu_millis)),
      .task_memory_mb = absl::GetFlag(FLAGS_task_memory_mb),
      .task_expected_ms = ParseNumbers(absl::GetFlag(FLAGS_task_expected_ms)),
      .task_work_percent = ParseNumbers(absl::GetFlag(FLAGS_task_work_percent)),
      .task_use_percent = ParseNumbers(absl::GetFlag(FLAGS_task_use_percent)),
      .task_wait = milliseconds{absl::GetFlag(FLAGS_task_wait_ms)}};
  for (std::string& entry : options.entries) {
    while (entry.ends_with('/')) entry.pop_back();
  }
  return options;
}

void PrintProgress(const load::load_progress& progress) {
  std::cerr << fmt::format(
                   "\r{:>4} s  sent {}  answered {}  failed {}  in flight {}  open tasks {}   ",
                   coltsfoot::core::ToMs(progress.elapsed) / 1000, progress.sent, progress.answered,
                   progress.failed, progress.in_flight, progress.tasks_open)
            << std::flush;
}

int Run(const load::load_options& options, std::ostream* history_file) {
  const coltsfoot::core::system_clock time;
  load::history log(history_file, time);
  // Declared after the history and so destroyed before it, because the answers of calls in progress
  // still write to the history.
  std::vector<std::unique_ptr<coltsfoot::http::client>> owned;
  std::vector<coltsfoot::http::client*> clients;
  for (std::uint32_t index = 0; index < std::max(1U, absl::GetFlag(FLAGS_threads)); ++index) {
    owned.push_back(coltsfoot::http::MakeCurlClient());
    clients.push_back(owned.back().get());
  }
  const bool terminal = isatty(fileno(stderr)) != 0;
  const auto sleep = [](coltsfoot::core::nanoseconds pause) { std::this_thread::sleep_for(pause); };
  const load::load_report report = load::RunLoad(
      options, {clients, time, sleep, log, stop_requested, terminal ? PrintProgress : nullptr});
  if (terminal) std::cerr << '\n';
  std::cout << (absl::GetFlag(FLAGS_json) ? load::ToJson(report) + '\n' : load::ToText(report));
  return report.IsClean() ? 0 : kExitWrongAnswers;
}

}  // namespace

int main(int argc, char** argv) {
  std::string error;
  const auto line = coltsfoot::program::ParseCommandLine(argc, argv, error);
  if (!line) return Fail(error);
  if (line->help) {
    std::cout << kHelp << coltsfoot::program::DescribeFlags(__FILE__);
    return 0;
  }
  if (!line->words.empty()) return Fail("coltsfoot-load takes only flags.");
  const load::load_options options = ReadFlags();
  const auto errors = load::ValidateOptions(options);
  if (!errors.empty()) return Fail(fmt::format("{}", fmt::join(errors, "\n")));
  std::ofstream history_file;
  const std::string path = absl::GetFlag(FLAGS_history);
  if (!path.empty()) {
    history_file.open(path, std::ios::app);
    if (!history_file) return Fail("cannot open the history file " + path);
  }
  std::signal(SIGINT, RequestStop);
  std::signal(SIGTERM, RequestStop);
  return Run(options, path.empty() ? nullptr : &history_file);
}
