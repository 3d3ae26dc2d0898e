#include <doctest/doctest.h>

#include <deque>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "config/changes.h"
#include "config/json_format.h"
#include "core/ids.h"
#include "ctl/entry_client.h"
#include "ctl/run.h"

namespace coltsfoot::ctl {
namespace {

using core::result_code;
using nlohmann::json;

http::call_result Answer(int status, result_code code, const std::string& body) {
  http::response answer = http::JsonResponse(status, body);
  answer.headers["X-Result-Code"] = std::to_string(static_cast<unsigned>(code));
  return {std::move(answer), {}};
}

http::call_result Refusal(result_code code, const std::string& reason) {
  return Answer(core::HttpStatus(code), code, json{{"reason", reason}}.dump());
}

http::call_result Failure(result_code code) { return {std::nullopt, {code, "test"}}; }

/// HTTP client that records calls and returns scripted results in order.
class scripted_client final : public http::client {
 public:
  explicit scripted_client(std::deque<http::call_result> results) : results_(std::move(results)) {}
  void Send(http::call request, http::call_handler handler) override {
    calls.push_back(std::move(request));
    REQUIRE_FALSE(results_.empty());
    http::call_result result = std::move(results_.front());
    results_.pop_front();
    handler(std::move(result));
  }
  std::vector<http::call> calls;

 private:
  std::deque<http::call_result> results_;
};

/// Runs commands against scripted results.
struct test_cli {
  explicit test_cli(std::deque<http::call_result> results) : client(std::move(results)) {
    flags.entries = {"http://a:1", "http://b:2/"};
    flags.author = "amira";
  }
  int Run(const std::vector<std::string>& words) {
    const auto sleep = [this](core::milliseconds duration) { time.Advance(duration); };
    return static_cast<int>(ctl::Run(flags, words, {client, random, time, sleep, out, err}));
  }
  json SentBody(std::size_t index) const { return json::parse(client.calls.at(index).body); }

  options flags;
  scripted_client client;
  core::seeded_random random{7};
  core::manual_clock time;
  std::ostringstream out;
  std::ostringstream err;
};

config::fleet_config ConfigWithDrainedWorker() {
  core::last_error error;
  return *config::AddException({},
                               {"worker.drain@worker:w1",
                                {config::scope_kind::worker, "w1"},
                                "worker.drain",
                                true,
                                "bo",
                                "new fan",
                                {}},
                               {"t", "bo", {}}, error);
}

}  // namespace

// Guards against a call that takes effect twice, and against a call that fails although another
// entry could safely be tried.
TEST_CASE("the client fails over only if the call cannot run twice or is repeatable") {
  struct row {
    http::call_result first;
    bool repeatable;
    std::size_t calls;
    exit_code code;
  };
  const std::vector<row> rows = {
      {Failure(result_code::connect_failed), false, 2, exit_code::ok},
      {Failure(result_code::connection_lost), false, 1, exit_code::unknown},
      {Failure(result_code::connection_lost), true, 2, exit_code::ok},
      {Failure(result_code::deadline_exceeded), false, 1, exit_code::unknown},
      {Refusal(result_code::shutting_down, ""), false, 2, exit_code::ok},
      {Refusal(result_code::conflict, ""), true, 1, exit_code::failed},
      {Refusal(result_code::outcome_unknown, ""), false, 1, exit_code::unknown},
      {Refusal(result_code::answer_not_kept, ""), true, 1, exit_code::unknown},
      // An error of a load balancer does not tell whether the call ran.
      {{http::response{502, {}, "bad gateway"}, {}}, false, 1, exit_code::unknown},
      {{http::response{502, {}, "bad gateway"}, {}}, true, 2, exit_code::ok},
      {{http::response{200, {{"X-Digest", "1"}}, "damaged"}, {}}, true, 2, exit_code::ok},
  };
  for (const row& test : rows) {
    CAPTURE(&test - rows.data());
    scripted_client client({test.first, Answer(200, result_code::ok, "{}")});
    entry_client entries(client, {"http://a", "http://b"});
    const api_outcome outcome =
        entries.Call({.method = "POST", .path = "/x", .repeatable = test.repeatable});
    CHECK(outcome.code == test.code);
    REQUIRE(client.calls.size() == test.calls);
    if (test.calls == 2) CHECK(client.calls[1].url == "http://b/x");
  }
}

// Guards against reporting "cannot connect" for a call that an earlier entry may have run.
TEST_CASE("a possible effect is not hidden by a later connection failure") {
  scripted_client client(
      {Failure(result_code::connection_lost), Failure(result_code::connect_failed)});
  entry_client entries(client, {"http://a", "http://b"});
  CHECK(entries.Call({.method = "POST", .path = "/x"}).code == exit_code::unknown);
  scripted_client none(
      {Failure(result_code::connect_failed), Failure(result_code::connect_failed)});
  entry_client nobody(none, {"http://a"});
  CHECK(nobody.Call({.method = "POST", .path = "/x"}).code == exit_code::cannot_connect);
}

// Guards against calls to the fleet for an invalid command line.
TEST_CASE("an invalid command line exits with 2 and sends nothing") {
  const std::vector<std::vector<std::string>> invalid_lines = {
      {},
      {"start"},
      {"config", "set", "hedge.enabled"},
      {"config", "set", "hedge.enable", "true"},
      {"config", "set", "hedge.enabled", "yes"},
      {"config", "explain", "nothing"},
      {"exception", "add", "worker.drain", "true"},
      {"drain", "w1"},
      {"task", "submit"},
      {"workers", "w1"},
  };
  for (const auto& words : invalid_lines) {
    test_cli cli({});
    CAPTURE(cli.err.str());
    CHECK(cli.Run(words) == 2);
    CHECK(cli.client.calls.empty());
    CHECK_FALSE(cli.err.str().empty());
  }
  test_cli nobody({});
  nobody.flags.author = "";
  CHECK(nobody.Run({"config", "unset", "hedge.enabled"}) == 2);
  nobody.flags.entries = {"10.0.0.1:80"};
  CHECK(nobody.Run({"status"}) == 2);
}

// Guards against a repeated submission that creates a second task.
TEST_CASE("all attempts of a submission carry the same idempotency key") {
  test_cli cli({Failure(result_code::connection_lost),
                Answer(202, result_code::ok, R"({"task":"t03-00000000000000aa"})")});
  cli.flags.team = "mills";
  cli.flags.task_class = "plan";
  CHECK(cli.Run({"task", "submit"}) == 0);
  CHECK(cli.out.str() == "t03-00000000000000aa\n");
  REQUIRE(cli.client.calls.size() == 2);
  const std::string key = cli.client.calls[0].headers.at("Idempotency-Key");
  CHECK(key.size() == 32);
  CHECK(cli.client.calls[1].headers.at("Idempotency-Key") == key);
  CHECK(cli.SentBody(0) ==
        json{{"team", "mills"},
             {"task_class", "plan"},
             {"kind", "batch"},
             {"urgent", false},
             {"resources", {{"cpu_millis", 1000}, {"memory_mb", 512}, {"accelerators", 0}}},
             {"expected_ms", 0},
             {"payload", ""}});
}

// Guards against an uncaught JSON exception, which would end the tool without a defined exit code.
TEST_CASE("invalid UTF-8 and answers that are not the expected JSON have an exit code") {
  test_cli cli({Answer(202, result_code::ok, "gone"), Answer(200, result_code::ok, "[]")});
  cli.flags.team = cli.flags.task_class = "plan";
  CHECK(cli.Run({"task", "submit"}) == 3);
  CHECK(cli.Run({"workers"}) == 3);
  cli.flags.payload = "\xff";
  CHECK(cli.Run({"task", "submit"}) == 2);
  CHECK(cli.client.calls.size() == 2);
}

// Guards against a repeated change that undoes another operator's change.
TEST_CASE("a change with an unknown outcome is read back, not repeated") {
  core::last_error error;
  const auto changed = *config::ChangeDefaults({}, {{{"hedge.enabled", false}}, {}, "amira", {}},
                                               {"t", "amira", {}}, error);
  const auto answer = Answer(200, result_code::ok, RenderConfig(changed));
  test_cli cli({Failure(result_code::connection_lost), answer});
  CHECK(cli.Run({"config", "set", "hedge.enabled", "false"}) == 0);
  REQUIRE(cli.client.calls.size() == 2);
  CHECK(cli.client.calls[0].method == "PATCH");
  CHECK(cli.SentBody(0) ==
        json{{"author", "amira"}, {"set", {{"hedge.enabled", false}}}, {"unset", json::array()}});
  CHECK(cli.client.calls[1].method == "GET");
  test_cli other({Failure(result_code::connection_lost), answer});
  CHECK(other.Run({"config", "set", "hedge.enabled", "true"}) == 3);
}

// Guards against refusals whose reason is not shown to the operator.
TEST_CASE("refusals print their reason and exit with 1") {
  test_cli cli({Refusal(result_code::conflict, "since then: default hedge.enabled was unset")});
  cli.flags.if_version = 4;
  CHECK(cli.Run({"config", "set", "weights.evictions", "2"}) == 1);
  CHECK(cli.SentBody(0).at("if_version") == 4);
  CHECK(cli.err.str().find("hedge.enabled was unset") != std::string::npos);
}

// Guards against drain and undrain using different exception ids, so that a worker stays drained.
TEST_CASE("drain, undrain and worker-lost use matching exceptions") {
  test_cli cli({Answer(200, result_code::ok, R"({"version":2})"),
                Failure(result_code::connection_lost), Refusal(result_code::not_found, "")});
  cli.flags.reason = "new fan";
  CHECK(cli.Run({"drain", "w1"}) == 0);
  CHECK(cli.SentBody(0) == json{{"id", "worker.drain@worker:w1"},
                                {"scope", "worker:w1"},
                                {"setting", "worker.drain"},
                                {"value", true},
                                {"author", "amira"},
                                {"reason", "new fan"}});
  // The first DELETE took effect but its answer was lost.
  CHECK(cli.Run({"undrain", "w1"}) == 0);
  CHECK(cli.client.calls[1].url == "http://a:1/v1/config/exceptions/worker.drain%40worker%3Aw1");
  CHECK(cli.client.calls[1].headers.at("X-Author") == "amira");

  const auto workers = Answer(200, result_code::ok, R"({"workers":[{"worker":"w1","zone":"z1"}]})");
  test_cli lost({workers, Answer(200, result_code::ok, R"({"version":3})"), workers});
  lost.flags.reason = "the building has no power";
  CHECK(lost.Run({"worker-lost", "z1"}) == 0);
  CHECK(lost.SentBody(1).at("scope") == "zone:z1");
  CHECK(lost.Run({"worker-lost", "z2"}) == 2);
}

// Guards against explanations that ignore `--scope`.
TEST_CASE("explain and exception show print the reason") {
  const auto answer = Answer(200, result_code::ok, RenderConfig(ConfigWithDrainedWorker()));
  test_cli cli({answer, answer, answer});
  cli.flags.scopes = {"worker:w1", "zone:z1"};
  CHECK(cli.Run({"config", "explain", "worker.drain"}) == 0);
  CHECK(cli.out.str().find("added by bo") != std::string::npos);
  CHECK(cli.Run({"exception", "show", "worker.drain@worker:w1"}) == 0);
  CHECK(cli.Run({"exception", "show", "e2"}) == 1);
}

// Guards against a watch that ends early, never ends, or exits with 0 although the task failed.
TEST_CASE("watch follows a task to its end, also while no entry is reachable") {
  const auto state = [](const char* name, int code) {
    return Answer(
        200, result_code::ok,
        json{{"state", name}, {"code", code}, {"name", "task_failed"}, {"worker", "w1"}}.dump());
  };
  test_cli cli({state("queued", 0), Failure(result_code::connect_failed),
                Failure(result_code::connect_failed), state("running", 0), state("running", 0),
                state("ended", 401)});
  CHECK(cli.Run({"task", "watch", "t1"}) == 1);
  CHECK(cli.out.str() == "queued\nrunning on w1\nended: task_failed\n\n");
  test_cli slow({state("queued", 0), state("queued", 0), state("queued", 0)});
  slow.flags.wait = core::milliseconds{500};
  CHECK(slow.Run({"task", "watch", "t1"}) == 3);
  test_cli gone({Refusal(result_code::not_found, "no such task")});
  CHECK(gone.Run({"task", "watch", "t1"}) == 1);
}

// Guards against a non-idempotent request without the idempotency key that makes it run at most
// once.
TEST_CASE("requests carry team, deadline and idempotency key") {
  http::response good{200, {{"X-Result-Code", "0"}}, "whole"};
  good.headers["X-Digest"] = std::to_string(core::StableHash("whole"));
  test_cli cli({{good, {}}});
  cli.flags.idempotent = false;
  cli.flags.team = "mills";
  cli.flags.deadline_ms = 50;
  cli.flags.body = "drift";
  CHECK(cli.Run({"request", "planner"}) == 0);
  CHECK(cli.out.str() == "whole\n");
  const http::call& call = cli.client.calls.at(0);
  CHECK(call.url == "http://a:1/v1/services/planner/requests");
  CHECK(call.headers.at("X-Idempotent") == "false");
  CHECK(call.headers.at("X-Team") == "mills");
  CHECK(call.headers.at("X-Deadline-Ms") == "50");
  CHECK(call.headers.at("Idempotency-Key").size() == 32);
}

// Guards against commands that are missing in the help.
TEST_CASE("the help lists the commands and the exit codes") {
  const std::string help = HelpText();
  for (const char* text : {"config get", "config explain", "exception challenge", "task watch",
                           "worker-lost", "undrain", "request", "Exit codes"}) {
    CHECK(help.find(text) != std::string::npos);
  }
}

}  // namespace coltsfoot::ctl
