#include <absl/flags/flag.h>

#include <cstdlib>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "core/random_source.h"
#include "ctl/run.h"
#include "http/client.h"
#include "program/command_line.h"

ABSL_FLAG(std::vector<std::string>, entry, {}, "URLs of entries, tried in order; repeatable");
ABSL_FLAG(bool, json, false, "print the JSON answers of the API in place of tables");
ABSL_FLAG(std::string, author, "", "who makes a change; the user's name if absent");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000, "longest time to wait for an answer");
ABSL_FLAG(std::string, reason, "", "why an exception is made; other operators read it");
ABSL_FLAG(std::vector<std::string>, scope, {}, "KIND:NAME, for example zone:pontivy; repeatable");
ABSL_FLAG(std::string, id, "", "id of a new exception; SETTING@SCOPE if absent");
ABSL_FLAG(std::int64_t, if_version, -1,
          "change the configuration only if this version is still in force");
ABSL_FLAG(std::string, team, "", "team of a task or request");
ABSL_FLAG(std::string, class, "", "class of a task; tasks of one class behave alike");
ABSL_FLAG(std::string, kind, "batch", "kind of a task: batch or latency_critical");
ABSL_FLAG(bool, urgent, false, "start the task within seconds, if need be by evicting batch work");
ABSL_FLAG(std::int64_t, cpu_millis, 1000, "processors of a task, in thousandths");
ABSL_FLAG(std::int64_t, memory_mb, 512, "memory of a task, in MiB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of a task");
ABSL_FLAG(std::int64_t, expected_ms, 0, "expected run time of a task; 0 if not known");
ABSL_FLAG(std::string, payload, "", "what the task is to do, in the target's own terms");
ABSL_FLAG(std::string, key, "", "idempotency key; a random one if absent");
ABSL_FLAG(std::string, state, "", "list only tasks in this state: queued, running or ended");
ABSL_FLAG(std::int64_t, limit, 100, "most tasks to list");
ABSL_FLAG(std::int64_t, wait_ms, 3'600'000, "longest time that `task watch` waits");
ABSL_FLAG(std::string, body, "", "body of a request; - reads it from the standard input");
ABSL_FLAG(bool, idempotent, true, "whether a request may run more than once");
ABSL_FLAG(std::int64_t, deadline_ms, 0, "time to answer a request; 0 uses the fleet's default");

namespace {

using coltsfoot::core::milliseconds;

std::string Author() {
  const std::string given = absl::GetFlag(FLAGS_author);
  const char* user = std::getenv("USER");
  return given.empty() && user != nullptr ? user : given;
}

std::string Body() {
  std::string body = absl::GetFlag(FLAGS_body);
  if (body != "-") return body;
  return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
}

coltsfoot::ctl::options ReadFlags() {
  return {.entries = absl::GetFlag(FLAGS_entry),
          .json = absl::GetFlag(FLAGS_json),
          .author = Author(),
          .timeout = milliseconds{absl::GetFlag(FLAGS_timeout_ms)},
          .reason = absl::GetFlag(FLAGS_reason),
          .scopes = absl::GetFlag(FLAGS_scope),
          .id = absl::GetFlag(FLAGS_id),
          .if_version = absl::GetFlag(FLAGS_if_version),
          .team = absl::GetFlag(FLAGS_team),
          .task_class = absl::GetFlag(FLAGS_class),
          .kind = absl::GetFlag(FLAGS_kind),
          .urgent = absl::GetFlag(FLAGS_urgent),
          .cpu_millis = absl::GetFlag(FLAGS_cpu_millis),
          .memory_mb = absl::GetFlag(FLAGS_memory_mb),
          .accelerators = absl::GetFlag(FLAGS_accelerators),
          .expected_ms = absl::GetFlag(FLAGS_expected_ms),
          .payload = absl::GetFlag(FLAGS_payload),
          .key = absl::GetFlag(FLAGS_key),
          .state = absl::GetFlag(FLAGS_state),
          .limit = absl::GetFlag(FLAGS_limit),
          .wait = milliseconds{absl::GetFlag(FLAGS_wait_ms)},
          .body = Body(),
          .idempotent = absl::GetFlag(FLAGS_idempotent),
          .deadline_ms = absl::GetFlag(FLAGS_deadline_ms)};
}

}  // namespace

int main(int argc, char** argv) {
  namespace ctl = coltsfoot::ctl;
  std::string error;
  const auto line = coltsfoot::program::ParseCommandLine(argc, argv, error);
  if (!line) {
    std::cerr << error << "\nSee coltsfootctl --help.\n";
    return static_cast<int>(ctl::exit_code::usage);
  }
  if (line->help) {
    std::cout << ctl::HelpText() << "\nFlags\n" << coltsfoot::program::DescribeFlags(__FILE__);
    return static_cast<int>(ctl::exit_code::ok);
  }
  const auto client = coltsfoot::http::MakeCurlClient();
  coltsfoot::core::seeded_random random(coltsfoot::core::SystemSeed());
  const coltsfoot::core::system_clock time;
  const auto sleep = [](milliseconds duration) { std::this_thread::sleep_for(duration); };
  return static_cast<int>(
      ctl::Run(ReadFlags(), line->words, {*client, random, time, sleep, std::cout, std::cerr}));
}
