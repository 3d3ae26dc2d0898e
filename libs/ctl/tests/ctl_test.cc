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

/// Client that records calls and gives prepared results in order.
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

/// Runs commands against prepared results.
struct terminal {
  explicit terminal(std::deque<http::call_result> results) : via(std::move(results)) {
    flags.entries = {"http://a:1", "http://b:2/"};
    flags.author = "amira";
  }
  int Run(const std::vector<std::string>& words) {
    const auto sleep = [this](core::milliseconds duration) { time.Advance(duration); };
    return static_cast<int>(ctl::Run(flags, words, {via, random, time, sleep, out, err}));
  }
  json Sent(std::size_t index) const { return json::parse(via.calls.at(index).body); }

  options flags;
  scripted_client via;
  core::seeded_random random{7};
  core::manual_clock time;
  std::ostringstream out;
  std::ostringstream err;
};

config::fleet_config DrainedWorker() {
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

// Guards against a call that takes effect twice, and against one that is given up although nothing
// was sent.
TEST_CASE("the next entry is tried only when that is safe") {
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
      // An error of a load balancer proves nothing.
      {{http::response{502, {}, "bad gateway"}, {}}, false, 1, exit_code::unknown},
      {{http::response{502, {}, "bad gateway"}, {}}, true, 2, exit_code::ok},
      {{http::response{200, {{"X-Digest", "1"}}, "damaged"}, {}}, true, 2, exit_code::ok},
  };
  for (const row& test : rows) {
    CAPTURE(&test - rows.data());
    scripted_client via({test.first, Answer(200, result_code::ok, "{}")});
    entry_client entries(via, {"http://a", "http://b"});
    const api_outcome outcome =
        entries.Call({.method = "POST", .path = "/x", .repeatable = test.repeatable});
    CHECK(outcome.code == test.code);
    REQUIRE(via.calls.size() == test.calls);
    if (test.calls == 2) CHECK(via.calls[1].url == "http://b/x");
  }
}

// Guards against "cannot connect" for a call that an earlier entry may have run.
TEST_CASE("a possible effect is not hidden by a later failure to connect") {
  scripted_client via(
      {Failure(result_code::connection_lost), Failure(result_code::connect_failed)});
  entry_client entries(via, {"http://a", "http://b"});
  CHECK(entries.Call({.method = "POST", .path = "/x"}).code == exit_code::unknown);
  scripted_client none(
      {Failure(result_code::connect_failed), Failure(result_code::connect_failed)});
  entry_client nobody(none, {"http://a"});
  CHECK(nobody.Call({.method = "POST", .path = "/x"}).code == exit_code::cannot_connect);
}

// Guards against mistakes that are sent to the fleet.
TEST_CASE("mistakes in the command line end with 2 and send nothing") {
  const std::vector<std::vector<std::string>> mistakes = {
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
  for (const auto& words : mistakes) {
    terminal run({});
    CAPTURE(run.err.str());
    CHECK(run.Run(words) == 2);
    CHECK(run.via.calls.empty());
    CHECK_FALSE(run.err.str().empty());
  }
  terminal nobody({});
  nobody.flags.author = "";
  CHECK(nobody.Run({"config", "unset", "hedge.enabled"}) == 2);
  nobody.flags.entries = {"10.0.0.1:80"};
  CHECK(nobody.Run({"status"}) == 2);
}

// Guards against a repeated submission that becomes a second task.
TEST_CASE("all tries of a submission carry one idempotency key") {
  terminal run({Failure(result_code::connection_lost),
                Answer(202, result_code::ok, R"({"task":"t03-00000000000000aa"})")});
  run.flags.team = "mills";
  run.flags.task_class = "plan";
  CHECK(run.Run({"task", "submit"}) == 0);
  CHECK(run.out.str() == "t03-00000000000000aa\n");
  REQUIRE(run.via.calls.size() == 2);
  const std::string key = run.via.calls[0].headers.at("Idempotency-Key");
  CHECK(key.size() == 32);
  CHECK(run.via.calls[1].headers.at("Idempotency-Key") == key);
  CHECK(run.Sent(0) ==
        json{{"team", "mills"},
             {"task_class", "plan"},
             {"kind", "batch"},
             {"urgent", false},
             {"resources", {{"cpu_millis", 1000}, {"memory_mb", 512}, {"accelerators", 0}}},
             {"expected_ms", 0},
             {"payload", ""}});
}

// Guards against a tool that ends without a usable exit code.
TEST_CASE("texts and answers that are no JSON have an exit code") {
  terminal run({Answer(202, result_code::ok, "gone"), Answer(200, result_code::ok, "[]")});
  run.flags.team = run.flags.task_class = "plan";
  CHECK(run.Run({"task", "submit"}) == 3);
  CHECK(run.Run({"workers"}) == 3);
  run.flags.payload = "\xff";
  CHECK(run.Run({"task", "submit"}) == 2);
  CHECK(run.via.calls.size() == 2);
}

// Guards against a change that is sent twice and so undoes another operator's change.
TEST_CASE("a change with an unknown outcome is read back, not repeated") {
  core::last_error error;
  const auto changed = *config::ChangeDefaults({}, {{{"hedge.enabled", false}}, {}, "amira", {}},
                                               {"t", "amira", {}}, error);
  const auto answer = Answer(200, result_code::ok, RenderConfig(changed));
  terminal run({Failure(result_code::connection_lost), answer});
  CHECK(run.Run({"config", "set", "hedge.enabled", "false"}) == 0);
  REQUIRE(run.via.calls.size() == 2);
  CHECK(run.via.calls[0].method == "PATCH");
  CHECK(run.Sent(0) ==
        json{{"author", "amira"}, {"set", {{"hedge.enabled", false}}}, {"unset", json::array()}});
  CHECK(run.via.calls[1].method == "GET");
  terminal other({Failure(result_code::connection_lost), answer});
  CHECK(other.Run({"config", "set", "hedge.enabled", "true"}) == 3);
}

// Guards against refusals whose reason the operator does not see.
TEST_CASE("refusals print their reason and end with 1") {
  terminal run({Refusal(result_code::conflict, "since then: default hedge.enabled was unset")});
  run.flags.if_version = 4;
  CHECK(run.Run({"config", "set", "weights.evictions", "2"}) == 1);
  CHECK(run.Sent(0).at("if_version") == 4);
  CHECK(run.err.str().find("hedge.enabled was unset") != std::string::npos);
}

// Guards against drains that name another exception than the one that undrain removes.
TEST_CASE("drain, undrain and worker-lost use matching exceptions") {
  terminal run({Answer(200, result_code::ok, R"({"version":2})"),
                Failure(result_code::connection_lost), Refusal(result_code::not_found, "")});
  run.flags.reason = "new fan";
  CHECK(run.Run({"drain", "w1"}) == 0);
  CHECK(run.Sent(0) == json{{"id", "worker.drain@worker:w1"},
                            {"scope", "worker:w1"},
                            {"setting", "worker.drain"},
                            {"value", true},
                            {"author", "amira"},
                            {"reason", "new fan"}});
  // The first DELETE took effect and its answer was lost.
  CHECK(run.Run({"undrain", "w1"}) == 0);
  CHECK(run.via.calls[1].url == "http://a:1/v1/config/exceptions/worker.drain%40worker%3Aw1");
  CHECK(run.via.calls[1].headers.at("X-Author") == "amira");

  const auto workers = Answer(200, result_code::ok, R"({"workers":[{"worker":"w1","zone":"z1"}]})");
  terminal lost({workers, Answer(200, result_code::ok, R"({"version":3})"), workers});
  lost.flags.reason = "the building has no power";
  CHECK(lost.Run({"worker-lost", "z1"}) == 0);
  CHECK(lost.Sent(1).at("scope") == "zone:z1");
  CHECK(lost.Run({"worker-lost", "z2"}) == 2);
}

// Guards against explanations that ignore the scope.
TEST_CASE("explain and exception show print the reason") {
  const auto answer = Answer(200, result_code::ok, RenderConfig(DrainedWorker()));
  terminal run({answer, answer, answer});
  run.flags.scopes = {"worker:w1", "zone:z1"};
  CHECK(run.Run({"config", "explain", "worker.drain"}) == 0);
  CHECK(run.out.str().find("added by bo") != std::string::npos);
  CHECK(run.Run({"exception", "show", "worker.drain@worker:w1"}) == 0);
  CHECK(run.Run({"exception", "show", "e2"}) == 1);
}

// Guards against a watch that ends early, never ends, or hides a failed task behind exit code 0.
TEST_CASE("watch follows a task to its end and through a lost entry") {
  const auto state = [](const char* name, int code) {
    return Answer(
        200, result_code::ok,
        json{{"state", name}, {"code", code}, {"name", "task_failed"}, {"worker", "w1"}}.dump());
  };
  terminal run({state("queued", 0), Failure(result_code::connect_failed),
                Failure(result_code::connect_failed), state("running", 0), state("running", 0),
                state("ended", 401)});
  CHECK(run.Run({"task", "watch", "t1"}) == 1);
  CHECK(run.out.str() == "queued\nrunning on w1\nended: task_failed\n\n");
  terminal slow({state("queued", 0), state("queued", 0), state("queued", 0)});
  slow.flags.wait = core::milliseconds{500};
  CHECK(slow.Run({"task", "watch", "t1"}) == 3);
  terminal gone({Refusal(result_code::not_found, "no such task")});
  CHECK(gone.Run({"task", "watch", "t1"}) == 1);
}

// Guards against a non-idempotent request that is sent without the key that makes it run once.
TEST_CASE("requests carry team, deadline and key") {
  http::response good{200, {{"X-Result-Code", "0"}}, "whole"};
  good.headers["X-Digest"] = std::to_string(core::StableHash("whole"));
  terminal run({{good, {}}});
  run.flags.idempotent = false;
  run.flags.team = "mills";
  run.flags.deadline_ms = 50;
  run.flags.body = "drift";
  CHECK(run.Run({"request", "planner"}) == 0);
  CHECK(run.out.str() == "whole\n");
  const http::call& call = run.via.calls.at(0);
  CHECK(call.url == "http://a:1/v1/services/planner/requests");
  CHECK(call.headers.at("X-Idempotent") == "false");
  CHECK(call.headers.at("X-Team") == "mills");
  CHECK(call.headers.at("X-Deadline-Ms") == "50");
  CHECK(call.headers.at("Idempotency-Key").size() == 32);
}

// Guards against a command that exists but cannot be found in the help.
TEST_CASE("the help names the commands and the exit codes") {
  const std::string help = HelpText();
  for (const char* text : {"config get", "config explain", "exception challenge", "task watch",
                           "worker-lost", "undrain", "request", "Exit codes"}) {
    CHECK(help.find(text) != std::string::npos);
  }
}

}  // namespace coltsfoot::ctl
