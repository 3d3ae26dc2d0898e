#include "history/checker.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace coltsfoot::history {
namespace {

/// Builds a history; each line is a millisecond after the one before.
class builder {
 public:
  builder& Add(std::string_view event, std::string_view members) {
    time_ms_ += 1;
    lines_.push_back(
        fmt::format(R"({{"mono_ns":{},"event":"{}",{}}})", time_ms_ * 1'000'000, event, members));
    return *this;
  }
  builder& Wait(std::int64_t milliseconds) {
    time_ms_ += milliseconds;
    return *this;
  }
  builder& Worker(std::string_view worker) {
    return Add("target_start", fmt::format(R"("worker":"{}","slots":1,"capacity":)"
                                           R"({{"cpu_millis":1000,"memory_mb":1000}})",
                                           worker));
  }
  builder& Task(std::string_view event, std::string_view worker, int epoch, int progress,
                std::string_view more = "") {
    return Add(event,
               fmt::format(R"("worker":"{}","task":"t","epoch":{},"progress":{},"resources":)"
                           R"({{"cpu_millis":600}}{})",
                           worker, epoch, progress, more));
  }
  builder& Request(std::string_view event, std::string_view key) {
    return Add(event, fmt::format(R"("worker":"w1","key":"{}")", key));
  }
  builder& Invoke(std::string_view key, bool idempotent = true) {
    return Add("invoke", fmt::format(R"("op":"request","key":"{}","idempotent":{},"digest":7)", key,
                                     idempotent));
  }
  builder& Outcome(std::string_view key, int code, bool whole = true, int digest = 7) {
    return Add("outcome", fmt::format(R"("op":"request","key":"{}","code":{},)"
                                      R"("answer_whole":{},"answer_digest":{})",
                                      key, code, whole, digest));
  }
  builder& Served(std::string_view key, bool idempotent = true) {
    return Invoke(key, idempotent).Request("request_start", key).Request("request_finish", key);
  }

  /// @return the only violation, or all of them.
  std::string Violation(bool strict_resume = false) const {
    std::string out;
    const bounds limits{.departure = core::milliseconds{100},
                        .config = core::milliseconds{100},
                        .strict_resume = strict_resume};
    for (const std::string& each : Check(lines_, limits)) out += each + "\n";
    return out;
  }

 private:
  std::int64_t time_ms_ = 0;
  std::vector<std::string> lines_;
};

bool IsOnlyViolation(const std::string& violations, std::string_view text) {
  return violations.find(text) != std::string::npos &&
         violations.find('\n') + 1 == violations.size();
}

}  // namespace

// Guards against a checker that reports correct histories.
TEST_CASE("a clean history has no violation") {
  builder clean;
  clean.Worker("w1").Worker("w2").Served("k1").Outcome("k1", 0);
  clean.Invoke("k2", false).Outcome("k2", 203).Served("k2", false).Outcome("k2", 0);
  clean.Invoke("k3").Outcome("k3", 201);
  clean.Add("outcome", R"("op":"task","key":"k4","code":0,"task":"t")");
  clean.Task("task_start", "w1", 1, 0).Task("task_checkpoint", "w1", 1, 50);
  clean.Add("killed", R"("worker":"w1")").Task("task_resume", "w2", 2, 50);
  clean.Task("task_stop", "w2", 2, 70, R"(,"reason":"asked")").Worker("w1");
  clean.Task("task_resume", "w1", 3, 70).Task("task_finish", "w1", 3, 100);
  clean.Add("task_ended", R"("task":"t","code":0)");
  clean.Add("config_accepted", R"("version":2)").Add("config_seen", R"("process":"e","version":1)");
  clean.Wait(200).Add("config_seen", R"("process":"e","version":2)");
  clean.Add("departed", R"("worker":"w2")").Add("settled", R"("by":"test")");
  CHECK(clean.Violation(true).empty());
}

TEST_CASE("a worker committed beyond its resources is found") {
  builder history;
  history.Worker("w1").Task("task_start", "w1", 1, 0);
  history.Add("task_start", R"("worker":"w1","task":"u","epoch":1,"resources":{"cpu_millis":600})");
  CHECK(IsOnlyViolation(history.Violation(), "w1 is committed beyond its resources by task u"));
}

TEST_CASE("requests beyond the slots or the connections are found") {
  builder slots;
  slots.Worker("w1").Served("k0").Invoke("k1").Invoke("k2");
  slots.Request("request_start", "k1").Request("request_start", "k2");
  CHECK(IsOnlyViolation(slots.Violation(), "w1 serves 2 requests on 1 slots"));
  builder connections;
  connections.Worker("w1").Request("request_refused", "k1");
  CHECK(IsOnlyViolation(connections.Violation(), "beyond its slots and connections"));
}

TEST_CASE("two runs of a task at the same time are found") {
  builder history;
  history.Worker("w1").Worker("w2").Task("task_start", "w1", 1, 0).Task("task_start", "w2", 2, 0);
  CHECK(IsOnlyViolation(history.Violation(), "at the same time"));
}

TEST_CASE("a second start of the same epoch is found") {
  builder history;
  history.Worker("w1").Task("task_start", "w1", 1, 0).Task("task_stop", "w1", 1, 10);
  history.Task("task_resume", "w1", 1, 10);
  CHECK(IsOnlyViolation(history.Violation(), "started in epoch 1 after epoch 1"));
}

TEST_CASE("a run after the end of a task is found") {
  builder history;
  history.Worker("w1").Task("task_start", "w1", 1, 0).Task("task_finish", "w1", 1, 10);
  history.Task("task_start", "w1", 2, 0);
  CHECK(IsOnlyViolation(history.Violation(), "started again after it finished"));
}

TEST_CASE("a resume from a progress that is no checkpoint is found") {
  builder history;
  history.Worker("w1").Task("task_start", "w1", 1, 0).Task("task_stop", "w1", 1, 40);
  history.Task("task_resume", "w1", 2, 41);
  CHECK(IsOnlyViolation(history.Violation(), "from 41, which is no checkpoint"));
}

// Guards against lost work of an eviction: the run starts from the beginning.
TEST_CASE("a resume from an older checkpoint than the recorded one is found") {
  builder history;
  history.Worker("w1").Task("task_start", "w1", 1, 0);
  history.Task("task_stop", "w1", 1, 40, R"(,"reason":"asked")").Task("task_start", "w1", 2, 0);
  CHECK(history.Violation(false).empty());
  CHECK(IsOnlyViolation(history.Violation(true), "stopped at 40 and resumed from 0"));
}

TEST_CASE("a lost task and a wrongly reported end are found") {
  builder lost;
  lost.Add("outcome", R"("op":"task","key":"k","code":0,"task":"t")");
  lost.Add("settled", R"("by":"test")");
  CHECK(IsOnlyViolation(lost.Violation(), "accepted and is lost"));
  builder ended;
  ended.Add("task_ended", R"("task":"t","code":0)");
  CHECK(IsOnlyViolation(ended.Violation(), "reported as finished and did not finish"));
  builder ran;
  ran.Worker("w1").Task("task_start", "w1", 1, 0).Add("task_ended", R"("task":"t","code":217)");
  CHECK(IsOnlyViolation(ran.Violation(), "reported as not run and ran"));
  builder two;
  two.Add("task_ended", R"("task":"t","code":400)").Add("task_ended", R"("task":"t","code":401)");
  CHECK(IsOnlyViolation(two.Violation(), "ended with code 400 and with code 401"));
}

TEST_CASE("work that ran although its caller got \"not run\" is found") {
  builder before;
  before.Worker("w1").Served("k").Outcome("k", 205);
  CHECK(IsOnlyViolation(before.Violation(), "answered as not run (code 205) and ran"));
  builder after;
  after.Worker("w1").Invoke("k").Outcome("k", 205).Request("request_start", "k");
  CHECK(IsOnlyViolation(after.Violation(), "although no call for it may run"));
}

TEST_CASE("a second start of a non-idempotent key is found") {
  builder history;
  history.Worker("w1").Served("k", false).Outcome("k", 302).Served("k", false);
  CHECK(IsOnlyViolation(history.Violation(), "non-idempotent key k was started 2 times"));
  builder idempotent;
  idempotent.Worker("w1").Served("k").Outcome("k", 302).Served("k").Outcome("k", 0);
  CHECK(idempotent.Violation().empty());
}

TEST_CASE("a key with two tasks is found") {
  builder history;
  history.Add("invoke", R"("op":"task","key":"k")");
  history.Add("outcome", R"("op":"task","key":"k","code":0,"task":"t")");
  history.Add("outcome", R"("op":"task","key":"k","code":0,"task":"u")");
  CHECK(IsOnlyViolation(history.Violation(), "key k has more than one task"));
}

TEST_CASE("a wrong or truncated answer, and one without a finished run, are found") {
  builder cut;
  cut.Worker("w1").Served("k").Outcome("k", 0, false);
  CHECK(IsOnlyViolation(cut.Violation(), "is not whole"));
  builder wrong;
  wrong.Worker("w1").Served("k").Outcome("k", 0, true, 8);
  CHECK(IsOnlyViolation(wrong.Violation(), "belongs to another request"));
  builder invented;
  invented.Worker("w1").Invoke("k").Outcome("k", 0);
  CHECK(IsOnlyViolation(invented.Violation(), "before any run of it had finished"));
}

TEST_CASE("a configuration version that decreases or comes late is found") {
  builder back;
  back.Add("config_seen", R"("process":"e","version":3)");
  back.Add("config_seen", R"("process":"e","version":2)");
  CHECK(IsOnlyViolation(back.Violation(), "went back from 3 to 2"));
  builder late;
  late.Add("config_accepted", R"("version":2)").Wait(101);
  late.Add("config_seen", R"("process":"e","version":1)");
  CHECK(IsOnlyViolation(late.Violation(), "after 2 was accepted"));
}

TEST_CASE("new work on a departed target after the bound is found") {
  builder history;
  history.Worker("w1").Add("departed", R"("worker":"w1")").Wait(101).Task("task_start", "w1", 1, 0);
  CHECK(IsOnlyViolation(history.Violation(), "after its target departed"));
}

TEST_CASE("an unreadable line is found") { CHECK(Check({"{\"mono_ns\":1"}, {}).size() == 1); }

}  // namespace coltsfoot::history
