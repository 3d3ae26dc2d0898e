#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

#include "harness/fleet.h"

namespace coltsfoot::golden {
namespace {

using harness::fleet;
using harness::process;
using nlohmann::json;

constexpr const char* kDirectory = COLTSFOOT_SOURCE_DIR "/test/golden/";
constexpr core::milliseconds kWaitBound{40000};
/// Set this variable to write the golden files from the current behaviour.
constexpr const char* kUpdateVariable = "COLTSFOOT_UPDATE_GOLDEN";

/// @return the session with ids, times, ports and amounts of load replaced.
std::string Normalise(std::string text) {
  const auto replace = [&text](const char* pattern, const char* with) {
    text = std::regex_replace(text, std::regex(pattern), with);
  };
  replace("t[0-9a-f]{2}-[0-9a-f]{16}", "TASK");
  replace("[0-9a-f]{16}", "HEX");
  replace("127\\.0\\.0\\.1:[0-9]+", "ADDRESS");
  replace("(\"[a-z_]*_(ms|ms_ago|at)\"): [0-9]+", "$1: TIME");
  replace("(\"(submitted|assigned|ended)_ms\"):[0-9]+", "$1:TIME");
  replace("[0-9]{4}-[0-9]{2}-[0-9]{2}[T ][0-9:.]+Z?", "TIME");
  replace("[0-9]+ ms", "TIME ms");
  return text;
}

/// Compares a session with its golden file.
void CheckGolden(const std::string& session, const std::string& name) {
  const std::string text = Normalise(session);
  if (std::getenv(kUpdateVariable) != nullptr) std::ofstream(kDirectory + name) << text;
  std::ifstream file(kDirectory + name);
  std::stringstream expected;
  expected << file.rdbuf();
  CHECK(text == expected.str());
}

/// Records calls and their answers in a form that is the same in every run.
class session {
 public:
  explicit session(fleet& running) : running_(running) {}

  /// Makes a call and records it.
  /// @return the answer's body.
  json Call(const std::string& method, const std::string& path, const json& body = nullptr,
            const http::header_map& headers = {}) {
    std::string text;
    if (!body.is_null()) text = body.is_string() ? body.get<std::string>() : body.dump();
    const auto result = running_.calls().Call(method, running_.Entry(0) + path, text, headers);
    log_ << "> " << method << " " << path << (text.empty() ? "" : " ") << text << "\n";
    if (!result.answer) {
      log_ << "no answer\n\n";
      return {};
    }
    log_ << result.answer->status;
    for (const char* name : {"X-Result-Code", "X-Not-Run"}) {
      if (const auto value = result.answer->FindHeader(name)) log_ << " " << name << "=" << *value;
    }
    json answer = json::parse(result.answer->body, nullptr, false);
    log_ << "\n" << (answer.is_discarded() ? result.answer->body : answer.dump(1)) << "\n\n";
    return answer;
  }

  /// Waits, without recording it, until a task runs or has ended.
  void WaitForRun(const std::string& task) {
    running_.calls().WaitForRun(running_.Entries(), task, 0, kWaitBound);
  }
  void WaitForEnd(const std::string& task) {
    running_.calls().WaitForEnd(running_.Entries(), task, kWaitBound);
  }

  std::string Text() const { return log_.str(); }

 private:
  fleet& running_;
  std::ostringstream log_;
};

/// @return a task that fits on no worker, which the system takes some time to report.
std::string RunTasks(session& calls) {
  const json task = {{"team", "cutting"},  {"task_class", "plan"},
                     {"kind", "batch"},    {"resources", {{"cpu_millis", 1000}, {"memory_mb", 64}}},
                     {"expected_ms", 200}, {"payload", R"({"work_ms":200})"}};
  const json accepted = calls.Call("POST", "/v1/tasks", task, {{"Idempotency-Key", "plan-1"}});
  const std::string id = accepted.value("task", "none");
  calls.Call("GET", "/v1/tasks/" + id + "?wait_ms=4000");
  calls.Call("POST", "/v1/tasks", task, {{"Idempotency-Key", "plan-1"}});
  json changed = task;
  changed["expected_ms"] = 300;
  calls.Call("POST", "/v1/tasks", changed, {{"Idempotency-Key", "plan-1"}});
  calls.Call("POST", "/v1/tasks/" + id + "/cancel");
  calls.Call("GET", "/v1/tasks/" + id + "/explain");
  changed["payload"] = R"({"work_ms":60000})";
  const json second = calls.Call("POST", "/v1/tasks", changed, {{"Idempotency-Key", "plan-2"}});
  const std::string cancelled = second.value("task", "none");
  // A task that is cancelled before it starts has no epoch, which would depend on the timing.
  calls.WaitForRun(cancelled);
  calls.Call("POST", "/v1/tasks/" + cancelled + "/cancel");
  calls.Call("GET", "/v1/tasks/" + cancelled + "?wait_ms=4000");
  changed["resources"]["accelerators"] = 64;
  const json third = calls.Call("POST", "/v1/tasks", changed, {{"Idempotency-Key", "plan-3"}});
  calls.Call("GET", "/v1/tasks/t00-0000000000000000");
  changed["kind"] = "weekly";
  calls.Call("POST", "/v1/tasks", changed, {{"Idempotency-Key", "plan-4"}});
  calls.Call("POST", "/v1/tasks", "not JSON", {{"Idempotency-Key", "plan-5"}});
  return third.value("task", "none");
}

void SendRequests(session& calls) {
  const std::string path = "/v1/services/strawline/requests";
  calls.Call("POST", path, "key=a;", {{"X-Team", "cutting"}});
  const http::header_map once{{"X-Idempotent", "false"}, {"Idempotency-Key", "b"}};
  calls.Call("POST", path, "key=b;", once);
  calls.Call("POST", path, "key=b;", once);
  calls.Call("POST", path, "key=other;", once);
  calls.Call("POST", path, "key=c;", {{"X-Idempotent", "false"}});
  calls.Call("POST", "/v1/services/unknown/requests", "key=d;", {{"X-Deadline-Ms", "200"}});
}

void ChangeConfiguration(session& calls) {
  const std::uint64_t version = calls.Call("GET", "/v1/config").value("version", std::uint64_t{0});
  const json change = {
      {"if_version", version}, {"author", "ana"}, {"set", {{"requests.queue_limit", 32}}}};
  calls.Call("PATCH", "/v1/config/defaults", change);
  calls.Call("PATCH", "/v1/config/defaults", change);
  json exception = {{"id", "drain-worker-0"},
                    {"scope", "worker:worker-0"},
                    {"setting", "worker.drain"},
                    {"value", false},
                    {"author", "ana"}};
  calls.Call("POST", "/v1/config/exceptions", exception);
  exception["reason"] = "kept in service during the audit";
  calls.Call("POST", "/v1/config/exceptions", exception);
  calls.Call("POST", "/v1/config/exceptions/drain-worker-0/challenges",
             {{"author", "ben"}, {"text", "the audit is over"}});
  calls.Call("GET", "/v1/config");
  calls.Call("DELETE", "/v1/config/exceptions/drain-worker-0", nullptr, {{"X-Author", "ana"}});
  calls.Call("DELETE", "/v1/config/exceptions/drain-worker-0", nullptr, {{"X-Author", "ana"}});
}

/// Records commands of the real coltsfootctl against a real entry.
class ctl_session {
 public:
  explicit ctl_session(fleet& running) : running_(running) {}

  /// Runs a command and records its output and its exit code.
  /// @return the output.
  std::string Run(const std::vector<std::string>& words) {
    const auto program = Start(words);
    return Finish(words, *program);
  }

  /// Starts a command; `entry` is the flag's value, or empty for the fleet's entry.
  std::unique_ptr<process> Start(std::vector<std::string> words, const std::string& entry = "") {
    words.push_back("--author=ana");
    words.push_back("--entry=" + (entry.empty() ? running_.Entry(0) : entry));
    return std::make_unique<process>(
        harness::process_spec{"coltsfootctl", "ctl", {}, running_.directory(), std::move(words)});
  }

  /// Waits for the end of a command and records it.
  std::string Finish(const std::vector<std::string>& words, process& program) {
    const auto code = program.WaitForExit(kWaitBound);
    std::string output = program.Output();
    log_ << "$ coltsfootctl";
    for (const std::string& word : words) {
      const std::string_view quote = word.find(' ') == std::string::npos ? "" : "'";
      log_ << " " << quote << word << quote;
    }
    log_ << "\n" << output << "exit code " << code.value_or(-1) << "\n\n";
    return output;
  }

  /// Repeats a command, without recording it, until its output contains `text`.
  void WaitFor(const std::vector<std::string>& words, const std::string& text) {
    CHECK(harness::WaitUntil(kWaitBound, [&] {
      const auto program = Start(words);
      program->WaitForExit(kWaitBound);
      return program->Output().find(text) != std::string::npos;
    }));
  }

  std::string Text() const { return log_.str(); }

 private:
  fleet& running_;
  std::ostringstream log_;
};

void RunInvalidCommands(ctl_session& ctl) {
  ctl.Run({"task"});
  ctl.Run({"drain", "worker-0"});
  ctl.Run({"config", "set", "requests.queue_limit", "many"});
  ctl.Run({"exception", "add", "requests.queue_limit", "5", "--reason=load test"});
  ctl.Run({"task", "submit", "--team=cutting"});
  const std::vector<std::string> unreachable{"status"};
  ctl.Finish(unreachable, *ctl.Start(unreachable, "http://127.0.0.1:1"));
}

void ChangeSettings(ctl_session& ctl) {
  ctl.Run({"config", "get", "requests.queue_limit"});
  ctl.Run({"config", "set", "requests.queue_limit", "32"});
  ctl.Run({"config", "set", "requests.queue_limit", "48", "--if_version=1"});
  ctl.Run({"config", "get", "requests.queue_limit"});
  ctl.Run({"exception", "add", "requests.queue_limit", "10", "--scope=service:strawline",
           "--reason=load test", "--id=load"});
  ctl.Run({"exception", "challenge", "load", "the test is over"});
  ctl.Run({"exception", "list"});
  ctl.Run({"exception", "list", "--json"});
  ctl.Run({"exception", "show", "load"});
  ctl.Run({"config", "explain", "requests.queue_limit", "--scope=service:strawline"});
  ctl.Run({"exception", "remove", "load"});
  ctl.Run({"exception", "remove", "load"});
  ctl.Run({"config", "unset", "requests.queue_limit", "--json"});
  ctl.WaitFor({"config", "status"}, " 0 processes behind");
  ctl.Run({"config", "status"});
}

void RunTaskCommands(ctl_session& ctl, fleet& running) {
  const std::vector<std::string> submit{"task", "submit", "--team=cutting", "--class=plan"};
  const auto with = [&submit](const std::vector<std::string>& more) {
    std::vector<std::string> words = submit;
    words.insert(words.end(), more.begin(), more.end());
    return words;
  };
  const auto id = [&](const std::vector<std::string>& words) {
    const std::string output = ctl.Run(words);
    return output.substr(0, output.find('\n'));
  };
  const std::string plan = id(with({"--key=plan-1", R"(--payload={"work_ms":200})"}));
  running.calls().WaitForEnd(running.Entries(), plan, kWaitBound);
  ctl.Run(with({"--key=plan-1", "--payload=other"}));
  ctl.Run({"task", "get", plan});
  ctl.Run({"task", "get", plan, "--json"});
  ctl.Run({"task", "watch", plan});
  const std::string check = id(with({"--key=plan-2", R"(--payload={"work_ms":600000})"}));
  running.calls().WaitForRun(running.Entries(), check, 0, kWaitBound);
  ctl.Run({"task", "explain", check});
  ctl.Run({"task", "watch", check, "--wait_ms=1"});
  const std::vector<std::string> watch{"task", "watch", check};
  const auto watching = ctl.Start(watch);
  CHECK(watching->WaitForLine("running", kWaitBound).has_value());
  ctl.Run({"task", "cancel", check});
  ctl.Finish(watch, *watching);
  ctl.Run({"task", "cancel", check, "--json"});
  ctl.Run({"task", "get", "t00-0000000000000000"});
  ctl.Run({"task", "list", "--team=cutting"});
}

}  // namespace

// Guards against unintended changes of what callers and operators see: paths, fields, codes and
// error messages.
TEST_CASE("the answers of an API session match the golden file") {
  fleet running({.entries = 1, .workers = 1});
  REQUIRE(running.WaitReady());
  session calls(running);
  calls.Call("GET", "/healthz");
  calls.Call("GET", "/readyz");
  const std::string too_large = RunTasks(calls);
  SendRequests(calls);
  ChangeConfiguration(calls);
  calls.Call("GET", "/v1/teams");
  calls.WaitForEnd(too_large);
  calls.Call("GET", "/v1/tasks/" + too_large);
  calls.Call("GET", "/v1/nothing");
  CheckGolden(calls.Text(), "session.txt");
}

// Guards against unintended changes of commands, tables, messages and exit codes of coltsfootctl,
// and against commands that disagree with the real API.
TEST_CASE("the output of a coltsfootctl session matches the golden file") {
  fleet running({.entries = 1, .workers = 1});
  REQUIRE(running.WaitReady());
  ctl_session ctl(running);
  RunInvalidCommands(ctl);
  ctl.WaitFor({"config", "status"}, " 0 processes behind");
  ctl.Run({"status"});
  ctl.Run({"workers"});
  ChangeSettings(ctl);
  RunTaskCommands(ctl, running);
  ctl.Run({"drain", "worker-0", "--reason=fan replacement"});
  ctl.WaitFor({"workers"}, "draining");
  ctl.Run({"status"});
  ctl.Run({"undrain", "worker-0"});
  ctl.Run({"teams"});
  CheckGolden(ctl.Text(), "ctl_session.txt");
}

}  // namespace coltsfoot::golden
