#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "load/answer_check.h"
#include "load/history.h"
#include "load/report.h"
#include "load/runner.h"
#include "load/schedule.h"

namespace coltsfoot::load {
namespace {

using core::milliseconds;
using core::result_code;
using nlohmann::json;

load_options Requests(double rate, milliseconds duration) {
  load_options options;
  options.entries = {"http://a", "http://b"};
  options.service = "planner";
  options.request_rate = rate;
  options.duration = duration;
  return options;
}

http::call_result Echo(const http::call& call) {
  http::response answer{200, {{"X-Result-Code", "0"}}, call.body + "#answered-by=w1;"};
  answer.headers["X-Digest"] = std::to_string(core::StableHash(answer.body));
  return {std::move(answer), {}};
}

/// Simulated entries in virtual time: each call is answered with `reply` after `delay`.
class virtual_entries final : public http::client {
 public:
  std::function<http::call_result(const http::call&)> reply = Echo;
  std::function<core::nanoseconds(core::mono_time)> delay = [](core::mono_time) {
    return milliseconds{1};
  };
  core::manual_clock time;
  std::vector<http::call> calls;

  void Send(http::call request, http::call_handler handler) override {
    pending_.push_back({time.Now() + delay(time.Now()), reply(request), std::move(handler)});
    calls.push_back(std::move(request));
  }
  void Sleep(core::nanoseconds pause) {
    constexpr core::nanoseconds kStep = std::chrono::microseconds{100};
    for (core::nanoseconds slept{0}; slept < std::max(pause, kStep); slept += kStep) {
      time.Advance(kStep);
      AnswerDue();
    }
  }

  load_report Run(const load_options& options, std::ostream* log_to = nullptr,
                  std::function<void(const load_progress&)> on_progress = {}) {
    history log(log_to, time);
    return RunLoad(options, {{this},
                             time,
                             [this](core::nanoseconds pause) { Sleep(pause); },
                             log,
                             stop,
                             std::move(on_progress)});
  }
  std::atomic<bool> stop{false};

 private:
  struct pending_call {
    core::mono_time due;
    http::call_result result;
    http::call_handler handler;
  };
  void AnswerDue() {
    std::vector<pending_call> due;
    std::erase_if(pending_, [&](pending_call& call) {
      if (call.due > time.Now()) return false;
      due.push_back(std::move(call));
      return true;
    });
    for (auto& call : due) call.handler(std::move(call.result));
  }
  std::vector<pending_call> pending_;
};

}  // namespace

// Guards against arrivals that are not Poisson, that cannot be reproduced from the seed, or that
// change with the options of the other kind of call.
TEST_CASE("the schedule is reproducible, Poisson, and independent between requests and tasks") {
  load_options options = Requests(1000, milliseconds{20'000});
  options.non_idempotent_percent = 25;
  options.teams = {"a", "b", "c"};
  const auto calls = DrawSchedule(options);
  CHECK(calls == DrawSchedule(options));
  CHECK(static_cast<double>(calls.size()) == doctest::Approx(20'000).epsilon(0.03));
  double sum = 0;
  double squares = 0;
  double non_idempotent = 0;
  std::vector<int> teams(3);
  core::nanoseconds last{0};
  for (const planned_call& call : calls) {
    const auto gap = static_cast<double>((call.at - last).count());
    sum += gap;
    squares += gap * gap;
    last = call.at;
    non_idempotent += call.idempotent ? 0 : 1;
    teams[call.team] += 1;
  }
  const auto count = static_cast<double>(calls.size());
  const double mean = sum / count;
  // The gaps of Poisson arrivals have a standard deviation equal to their mean.
  CHECK(std::sqrt(squares / count - mean * mean) / mean == doctest::Approx(1).epsilon(0.05));
  CHECK(non_idempotent / count == doctest::Approx(0.25).epsilon(0.05));
  for (const int team : teams) CHECK(team / count == doctest::Approx(1.0 / 3).epsilon(0.05));

  load_options with_tasks = options;
  with_tasks.task_rate = 50;
  std::vector<core::nanoseconds> times;
  for (const auto& call : DrawSchedule(with_tasks)) {
    if (call.kind == call_kind::request) times.push_back(call.at);
  }
  REQUIRE(times.size() == calls.size());
  CHECK(times.back() == calls.back().at);
  options.max_calls = 10;
  CHECK(DrawSchedule(options).size() == 10);
  options.seed = 2;
  CHECK(DrawSchedule(options)[0].at != calls[0].at);
}

// Guards against declaration errors that change which tasks are sent, so that runs with and without
// them could not be compared, and against tasks that ignore the configured errors.
TEST_CASE("real run times and sizes differ from the declared ones as configured") {
  load_options options = Requests(0, milliseconds{20'000});
  options.task_rate = 50;
  const auto right = DrawSchedule(options);
  options.task_work_percent = {25, 300};
  options.task_use_percent = {50};
  const auto wrong = DrawSchedule(options);
  REQUIRE(wrong.size() == right.size());
  double longer = 0;
  for (std::size_t index = 0; index < wrong.size(); ++index) {
    CHECK(wrong[index].at == right[index].at);
    CHECK(right[index].work_ms == right[index].expected_ms);
    CHECK(wrong[index].expected_ms == right[index].expected_ms);
    CHECK(wrong[index].use_millis == right[index].cpu_millis / 2);
    longer += wrong[index].work_ms == 3 * wrong[index].expected_ms ? 1 : 0;
  }
  CHECK(longer / static_cast<double>(wrong.size()) == doctest::Approx(0.5).epsilon(0.15));
}

// Guards against coordinated omission: a generator that waits for a stalled system measures one
// slow request instead of all requests that the stall would have delayed.
TEST_CASE("a stall shows in the latency of all requests that it delays") {
  virtual_entries entries;
  const core::mono_time start = entries.time.Now();
  const core::mono_time stall_end = start + milliseconds{2000};
  entries.delay = [&](core::mono_time now) -> core::nanoseconds {
    const bool stalled = now >= start + milliseconds{1000} && now < stall_end;
    return stalled ? stall_end - now : core::nanoseconds{milliseconds{1}};
  };
  const load_report report = entries.Run(Requests(1000, milliseconds{4000}));
  CHECK(report.sent == report.planned);
  CHECK(report.answered.count == report.planned);
  // The stall delays a quarter of the requests, by half a second on average.
  CHECK(report.answered.p50_ms < 2);
  CHECK(report.answered.p90_ms == doctest::Approx(600).epsilon(0.1));
  CHECK(report.answered.p99_ms == doctest::Approx(960).epsilon(0.03));
  CHECK(report.IsClean());
}

// Guards against latency that omits the time by which the generator sent too late.
TEST_CASE("latency is measured from the intended time of sending") {
  virtual_entries entries;
  load_options options = Requests(100, milliseconds{1000});
  bool slept = false;
  const load_report report = entries.Run(options, nullptr, {});
  CHECK(report.send_delay.max_ms < 1);
  history log(nullptr, entries.time);
  const load_report delayed = RunLoad(options, {{&entries},
                                                entries.time,
                                                [&](core::nanoseconds pause) {
                                                  entries.Sleep(slept ? pause : milliseconds{500});
                                                  slept = true;
                                                },
                                                log,
                                                entries.stop,
                                                {}});
  CHECK(delayed.send_delay.max_ms > 400);
  CHECK(delayed.answered.max_ms >= delayed.send_delay.max_ms);
}

// Guards against accepting truncated answers and answers to other requests.
TEST_CASE("each answer is checked against its own request") {
  const auto verdict = [](const std::string& body, bool right_digest = true) {
    http::response answer{200, {}, body};
    answer.headers["X-Digest"] = std::to_string(core::StableHash(body) + (right_digest ? 0 : 1));
    return CheckAnswer("k1", answer);
  };
  CHECK(verdict("key=k1;xxx#answered-by=w1;") == answer_verdict::valid);
  CHECK(verdict("key=k1;xxx", false) == answer_verdict::truncated);
  CHECK(verdict("key=k12;xxx") == answer_verdict::mismatched);
  CHECK(verdict("key=k") == answer_verdict::truncated);
  CHECK(verdict("") == answer_verdict::truncated);
  CHECK(verdict("other") == answer_verdict::mismatched);

  virtual_entries entries;
  std::size_t count = 0;
  http::call previous;
  entries.reply = [&](const http::call& call) {
    http::call_result result = ++count % 10 == 0 ? Echo(previous) : Echo(call);
    previous = call;
    return result;
  };
  const load_report report = entries.Run(Requests(100, milliseconds{1000}));
  CHECK(report.mismatched == count / 10);
  CHECK_FALSE(report.IsClean());
}

// Guards against runs without a limit on calls or time if the system does not answer.
TEST_CASE("runs are limited in calls in flight and in time") {
  virtual_entries entries;
  entries.delay = [](core::mono_time) { return std::chrono::hours{10}; };
  load_options options = Requests(100, milliseconds{1000});
  options.max_in_flight = 5;
  options.timeout = milliseconds{2000};
  const core::mono_time start = entries.time.Now();
  const load_report report = entries.Run(options);
  CHECK(report.sent == 5);
  CHECK(report.not_sent == report.planned - 5);
  CHECK(report.unanswered == 5);
  CHECK(entries.time.Now() - start < milliseconds{3100});
  // Answers that arrive after the end of the run are ignored.
  entries.time.Advance(std::chrono::hours{11});
  entries.Sleep(milliseconds{1});
  virtual_entries stopped;
  stopped.stop = true;
  CHECK(stopped.Run(options).sent == 0);
}

// Guards against a retry with another key, and against a history that omits the outcome of the
// first attempt.
TEST_CASE("retries use the same key and the next entry") {
  virtual_entries entries;
  std::set<std::string> seen;
  entries.reply = [&](const http::call& call) {
    if (seen.insert(call.body).second) {
      return http::call_result{std::nullopt, {result_code::connection_lost, "test"}};
    }
    return Echo(call);
  };
  load_options options = Requests(50, milliseconds{1000});
  options.non_idempotent_percent = 100;
  options.retries = 1;
  std::ostringstream log;
  const load_report report = entries.Run(options, &log);
  CHECK(report.retried == report.planned);
  CHECK(report.answered.count == report.planned);
  CHECK(report.answered.p50_ms > 100);
  CHECK(entries.calls.size() == 2 * report.planned);
  std::size_t lost = 0;
  std::istringstream lines(log.str());
  for (std::string line; std::getline(lines, line);) {
    const json item = json::parse(line);
    if (item.at("event") == "invoke") CHECK(item.at("idempotent") == false);
    if (item.at("event") != "outcome") continue;
    if (item.at("code") == 302) {
      lost += 1;
    } else {
      const std::string key = item.at("key");
      CHECK(item.at("answer_whole") == true);
      CHECK(item.at("answer_digest") == core::StableHash(BodyOf(key, options.body_bytes)));
    }
  }
  CHECK(lost == report.planned);
}

// Guards against accepted tasks that are not counted or are polled forever.
TEST_CASE("tasks are polled until they end") {
  virtual_entries entries;
  std::map<std::string, int> polls;
  entries.reply = [&](const http::call& call) -> http::call_result {
    http::response answer{200, {}, ""};
    if (call.method == "POST") {
      const std::string key = call.headers.at("Idempotency-Key");
      const json payload = json::parse(json::parse(call.body).at("payload").get<std::string>());
      CHECK(payload.at("key") == key);
      CHECK(payload.at("use").at("cpu_millis") == 1000);
      answer.body = json{{"task", "t-" + key}}.dump();
    } else {
      const bool ended = ++polls[call.url.substr(call.url.rfind('/'))] == 3;
      const bool stuck = call.url.ends_with("-0");
      answer.body =
          json{{"state", ended && !stuck ? "ended" : "running"}, {"code", ended ? 401 : 0}}.dump();
    }
    return {std::move(answer), {}};
  };
  load_options options = Requests(0, milliseconds{2000});
  options.task_rate = 10;
  options.task_expected_ms = {100, 300};
  options.task_wait = milliseconds{20'000};
  std::ostringstream log;
  const load_report report = entries.Run(options, &log);
  CHECK(report.tasks_accepted == report.planned);
  CHECK(report.tasks_ended == report.planned - 1);
  CHECK(report.task_outcomes.at(result_code::task_failed) == report.planned - 1);
  CHECK(log.str().find("\"event\":\"task_ended\"") != std::string::npos);
}

// Guards against lost or repeated counts when answers arrive on other threads.
TEST_CASE("a run over real connections counts each answer once") {
  http::server entry({}, [](http::request received, const http::responder& respond) {
    respond(*Echo({.body = std::move(received.body)}).answer);
  });
  const auto first = http::MakeCurlClient();
  const auto second = http::MakeCurlClient();
  const core::system_clock time;
  const std::atomic<bool> stop{false};
  history log(nullptr, time);
  load_options options = Requests(500, milliseconds{400});
  options.entries = {"http://127.0.0.1:" + std::to_string(entry.port())};
  const auto sleep = [](core::nanoseconds pause) { std::this_thread::sleep_for(pause); };
  const load_report report =
      RunLoad(options, {{first.get(), second.get()}, time, sleep, log, stop, {}});
  CHECK(report.planned > 100);
  CHECK(report.answered.count == report.planned);
  CHECK(report.IsClean());
}

// Guards against off-by-one errors in percentiles, and against reports that are not valid JSON.
TEST_CASE("reports hold exact percentiles") {
  std::vector<core::nanoseconds> latencies;
  for (int ms = 1000; ms >= 1; --ms) latencies.emplace_back(milliseconds{ms});
  const latency_summary summary = Summarize(latencies);
  CHECK(summary == latency_summary{1000, 500, 900, 990, 999, 1000});
  std::vector<core::nanoseconds> one = {milliseconds{7}};
  CHECK(Summarize(one).p999_ms == 7);
  load_report report;
  report.answered = summary;
  report.request_outcomes[result_code::queue_full] = 3;
  const json object = json::parse(ToJson(report));
  CHECK(object.at("answered").at("p99_9_ms") == 999);
  CHECK(object.at("request_outcomes").at("queue_full") == 3);
  CHECK(ToText(report).find("queue_full (201)") != std::string::npos);
}

// Guards against runs that start with invalid options.
TEST_CASE("invalid options are reported") {
  CHECK(ValidateOptions(Requests(10, milliseconds{10})).empty());
  CHECK(ValidateOptions({}).size() == 2);
  load_options bad = Requests(10, milliseconds{10});
  bad.service = "";
  bad.task_cpu_millis = {0};
  bad.non_idempotent_percent = 101;
  CHECK(ValidateOptions(bad).size() == 3);
}

}  // namespace coltsfoot::load
