#include "target.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace coltsfoot::fakes {
namespace {

using nlohmann::json;

struct fixture {
  core::manual_clock time;
  std::vector<json> truth;
  target worker;

  explicit fixture(target_options options = {.id = "w1",
                                             .instance = "i1",
                                             .services = {"svc"},
                                             .capacity = {1000, 1000, 0},
                                             .slots = 1,
                                             .connections = 1,
                                             .service_ms = 20})
      : worker(time, std::move(options), {},
               [this](const std::string& line) { truth.push_back(json::parse(line)); }) {}

  http::response Call(std::string method, std::string path, http::query_map query = {},
                      std::string body = "") {
    http::response out{0, {}, ""};
    worker.Handle({std::move(method), std::move(path), std::move(query), {}, std::move(body)},
                  [&out](http::response answer) { out = std::move(answer); });
    return out;
  }

  int Start(std::string_view task, int epoch, std::string_view checkpoint = "",
            int lease_ms = 100000, std::string_view work_class = "plan") {
    const auto until = (time.Now() + core::milliseconds{lease_ms}).time_since_epoch().count();
    return Call("POST", "/tasks", {},
                fmt::format(R"({{"task":"{}","epoch":{},"expected_ms":1000,"task_class":"{}",)"
                            R"("resources":{{"cpu_millis":500,"memory_mb":1}},"payload":"",)"
                            R"("checkpoint":"{}","lease_until_ns":{}}})",
                            task, epoch, work_class, checkpoint, until))
        .status;
  }

  void RunFor(int total_ms) {
    for (int passed = 0; passed < total_ms; passed += 10) {
      time.Advance(core::milliseconds{10});
      worker.Tick();
    }
  }

  json Events(int since) {
    return json::parse(Call("GET", "/events", {{"since", std::to_string(since)}}).body);
  }
};

}  // namespace

// Guards against a second start of an assignment after a repeated or delayed message.
TEST_CASE("an equal or older epoch is refused") {
  fixture test;
  CHECK(test.Start("t", 2) == 200);
  CHECK(test.Start("t", 2) == 409);
  CHECK(test.Start("t", 1) == 409);
  CHECK(test.Call("POST", "/tasks/t/stop", {{"epoch", "2"}}).status == 200);
  CHECK(test.Start("t", 2) == 409);
  CHECK(test.Start("t", 3) == 200);
}

// Guards against work that is repeated or skipped when a task resumes.
TEST_CASE("a task resumes from its checkpoint and finishes") {
  fixture test;
  test.Start("t", 1);
  test.RunFor(400);
  const auto stopped = test.Call("POST", "/tasks/t/stop", {{"epoch", "1"}});
  CHECK(stopped.body == R"({"checkpoint":"NDAw"})");
  CHECK(test.Start("t", 2, "NDAw") == 200);
  CHECK(test.truth.back()["event"] == "task_resume");
  CHECK(test.truth.back()["progress"] == 400);
  test.RunFor(590);
  CHECK(test.truth.back()["event"] == "task_resume");
  test.RunFor(10);
  CHECK(test.truth.back()["event"] == "task_finish");
  const json events = test.Events(0);
  REQUIRE(events["events"].size() >= 1);
  CHECK(events["events"].back()["type"] == "finished");
  CHECK(events["events"].back()["run_ms"] == 600);
}

// Guards against a task that keeps running after its agent has died or was cut off.
TEST_CASE("a task stops when its lease expires, also after a pause of the process") {
  fixture test;
  test.Start("t", 1, "", 500);
  test.RunFor(400);
  test.time.Advance(std::chrono::seconds{10});
  test.worker.Tick();
  CHECK(test.truth.back()["event"] == "task_stop");
  CHECK(test.truth.back()["reason"] == "lapse");
  CHECK(test.truth.back()["progress"] == 500);
  CHECK(test.Events(0)["events"].back()["checkpoint"] == "NTAw");
  CHECK(test.Call("POST", "/tasks/t/checkpoint", {{"epoch", "1"}}).status == 404);
}

TEST_CASE("a throttled task runs at a quarter of its speed") {
  fixture test;
  test.Start("t", 1);
  test.Call("POST", "/tasks/t/throttle", {{"epoch", "1"}});
  test.RunFor(400);
  CHECK(test.Call("POST", "/tasks/t/checkpoint", {{"epoch", "1"}}).body ==
        R"({"checkpoint":"MTAw"})");
}

// Guards against a stand-in that accepts more than the real target, so that tests miss an agent
// which sends too many requests.
TEST_CASE("requests use slots, wait for connections, and are refused above both") {
  fixture test;
  std::vector<http::response> answers;
  for (int index = 0; index < 3; ++index) {
    test.worker.Handle(
        {"POST", "/requests/svc", {}, {{"X-Request-Id", "r"}}, fmt::format("key=k{};", index)},
        [&](http::response answer) { answers.push_back(std::move(answer)); });
  }
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].status == 503);
  CHECK(test.truth.back()["event"] == "request_refused");
  test.RunFor(20);
  REQUIRE(answers.size() == 2);
  CHECK(answers[1].body == "key=k0;#answered-by=w1;");
  CHECK(answers[1].headers["X-Digest"] == std::to_string(core::StableHash(answers[1].body)));
  test.RunFor(20);
  CHECK(answers.size() == 3);
  CHECK(test.truth.back()["key"] == "k1");
}

// Guards against interference tests without any simulated interference.
TEST_CASE("a co-located class slows its victim in proportion to its load") {
  fixture test({.id = "w1",
                .instance = "i1",
                .services = {},
                .capacity = {1000, 1000, 0},
                .interference = {{"plan", "noisy", 2000}}});
  test.Start("victim", 1);
  test.Start("other", 1, "", 100000, "noisy");
  test.RunFor(400);
  // The aggressor uses half of the processors, which doubles the victim's time.
  CHECK(test.Call("POST", "/tasks/victim/checkpoint", {{"epoch", "1"}}).body ==
        R"({"checkpoint":"MjAw"})");
}

// Guards against a delayed usage event that a reader skips because it has seen later ids.
TEST_CASE("usage is reported after the delay, with its age") {
  fixture test;
  test.Call("POST", "/admin/faults", {}, R"({"usage_delay_ms":300})");
  test.Start("t", 1);
  test.RunFor(1000);
  const json finished = test.Events(0);
  REQUIRE(finished["events"].size() == 1);
  CHECK(finished["events"][0]["type"] == "finished");
  test.RunFor(300);
  CHECK(test.Events(finished["next"])["events"].empty());
  test.Start("u", 1);
  test.RunFor(700);
  test.RunFor(310);
  const json usage = test.Events(finished["next"]);
  REQUIRE(usage["events"].size() == 2);
  CHECK(usage["events"][0]["type"] == "finished");
  CHECK(usage["events"][1]["type"] == "usage");
  CHECK(usage["events"][1]["age_ms"].get<int>() >= 300);
  CHECK(usage["events"][1]["samples"][0]["slowdown_permille"] == 1000);
}

TEST_CASE("a draining target stops its tasks, delivers the events and refuses new work") {
  fixture test;
  test.Start("t", 1);
  test.RunFor(100);
  test.worker.Drain();
  CHECK(test.Events(0)["events"].back()["type"] == "lapsed");
  CHECK_FALSE(test.worker.events_delivered());
  test.Events(static_cast<int>(test.Events(0)["next"]));
  CHECK(test.worker.events_delivered());
  CHECK(test.Start("u", 1) == 422);
  CHECK(test.Call("POST", "/requests/svc").status == 503);
}

}  // namespace coltsfoot::fakes
