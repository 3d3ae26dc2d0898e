#include "jobs/report_stream.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>

#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

/// Encodes and decodes changes, as a connection does.
std::optional<worker_changes> Transfer(const worker_changes& changes) {
  core::last_error error;
  return wire::DecodeValue<worker_changes>(wire::EncodeValue(changes), error);
}

worker_report Sorted(worker_report report) {
  std::sort(report.running.begin(), report.running.end(), [](const auto& left, const auto& right) {
    return run_id{left.task, left.run} < run_id{right.task, right.run};
  });
  return report;
}

std::uint32_t Below(int limit) { return static_cast<std::uint32_t>(*rc::gen::inRange(0, limit)); }

/// The state of a target, with random changes.
struct random_worker {
  random_worker() {
    report.agent = "side-1";
    report.agent_incarnation = 7;
    report.incarnation = {"target-1", 1};
    report.service = "svc";
    report.labels = {"a", "r1-3"};
    report.capacity = {16'000, 64'000, 0};
  }

  void Change() {
    switch (Below(9)) {
      case 0:
        report.incarnation.started_ms += 1;
        report.running.clear();
        report.ended.clear();
        last_end = 0;
        break;
      case 1:
        report.state = static_cast<target_state>(Below(5));
        break;
      case 2:
      case 3:
        report.running.push_back({.task = {"00000000000000aa", 0, Below(2), Below(20)},
                                  .run = ++last_run,
                                  .checkpoint = "",
                                  .progress = 0,
                                  .reading = Below(4000)});
        break;
      case 4:
        if (!report.running.empty()) End();
        break;
      case 5:  // the coordinator confirmed some ends
        report.ended.erase(report.ended.begin(),
                           report.ended.begin() + Below(static_cast<int>(report.ended.size()) + 1));
        break;
      case 6:
        report.capacity.cpu_millis = std::int64_t{1000} * Below(32);
        break;
      default:
        for (running_task& task : report.running) {
          task.progress = std::min<std::uint32_t>(100, task.progress + Below(30));
          task.reading = Below(4000);
          task.pace = 10 * Below(11);
          if (Below(4) == 0) task.checkpoint = std::string(16, static_cast<char>('a' + Below(5)));
        }
    }
    ++report.sent_ms;
    report.listed = Below(3) != 0;
    report.ends_omitted = Below(4) == 0;
  }

  void End() {
    const auto place = report.running.begin() + Below(static_cast<int>(report.running.size()));
    report.ended.push_back(
        {++last_end, place->task, place->run, end_reason::done, place->checkpoint});
    report.running.erase(place);
  }

  /// @return the full report of the present state.
  worker_report Whole() const {
    worker_report out = report;
    if (out.listed) return out;
    out.running.clear();
    out.ended.clear();
    return out;
  }

  worker_report report;
  std::uint32_t last_run = 0;
  std::uint64_t last_end = 0;
};

worker_report BusyReport() {
  random_worker worker;
  worker_report report = worker.report;
  report.listed = true;
  for (std::uint32_t index = 0; index < 8; ++index) {
    report.running.push_back({.task = {"00000000000000aa", 0, 0, index},
                              .run = 1,
                              .checkpoint = "00000bb87a21d94b",
                              .progress = 40});
  }
  return report;
}

}  // namespace

// Guards against a coordinator whose view of a worker diverges from what runs there. Connections
// are replaced and sends fail at any time; each decoded report must still equal the full report.
TEST_CASE("decoded reports equal full reports after any changes, losses and reconnects") {
  CHECK(rc::check([] {
    random_worker worker;
    report_encoder encoder;
    report_decoder decoder;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      worker.Change();
      const std::uint32_t event = Below(12);
      if (event == 0) {  // the connection is replaced
        encoder = {};
        decoder = {};
      }
      report_encoder next = encoder;
      const auto received = Transfer(next.Encode(worker.Whole()));
      RC_ASSERT(received.has_value());
      if (event == 1) continue;  // not sent: the connection's send queue is full
      encoder = std::move(next);
      core::last_error error;
      const auto report = decoder.Decode(*received, error);
      RC_ASSERT(report.has_value());
      RC_ASSERT(Sorted(*report) == Sorted(worker.Whole()));
    }
  }));
}

// Guards against applying changes to another list than the one they were made from, after a report
// was lost, was received twice or belongs to an earlier connection.
TEST_CASE("changes that do not apply to the last report are refused") {
  const worker_report first = BusyReport();
  worker_report second = first;
  second.running.pop_back();
  report_encoder encoder;
  const worker_changes whole = encoder.Encode(first);
  const worker_changes change = encoder.Encode(second);
  core::last_error error;
  SUBCASE("the first report was lost") {
    report_decoder decoder;
    CHECK_FALSE(decoder.Decode(change, error));
  }
  SUBCASE("a report is received twice") {
    report_decoder decoder;
    REQUIRE(decoder.Decode(whole, error));
    REQUIRE(decoder.Decode(change, error));
    CHECK_FALSE(decoder.Decode(change, error));
  }
  SUBCASE("the first report of a connection is received twice") {
    report_decoder decoder;
    REQUIRE(decoder.Decode(whole, error));
    CHECK_FALSE(decoder.Decode(whole, error));
  }
  SUBCASE("the changes were made from another list") {
    report_encoder other;
    worker_report different = first;
    different.running[0].checkpoint = "another";
    second.running[0].checkpoint = "another";
    (void)other.Encode(different);
    report_decoder decoder;
    REQUIRE(decoder.Decode(whole, error));
    CHECK_FALSE(decoder.Decode(other.Encode(second), error));
  }
  SUBCASE("the changes refer to rows that do not exist") {
    report_decoder decoder;
    REQUIRE(decoder.Decode(whole, error));
    worker_changes wild = change;
    wild.removed = {900};
    CHECK_FALSE(decoder.Decode(wild, error));
    report_decoder another;
    REQUIRE(another.Decode(whole, error));
    wild = change;
    wild.changed.push_back({.row = 900});
    CHECK_FALSE(another.Decode(wild, error));
  }
}

// Guards against a coordinator that crashes on a message that is damaged or from another program.
TEST_CASE("damaged changes are refused or decoded without a crash") {
  CHECK(rc::check([] {
    report_encoder encoder;
    worker_report report = BusyReport();
    std::string bytes = wire::EncodeValue(encoder.Encode(report));
    const std::size_t at = Below(static_cast<int>(bytes.size()));
    bytes[at] = static_cast<char>(Below(256));
    core::last_error error;
    const auto changes = wire::DecodeValue<worker_changes>(bytes, error);
    report_decoder decoder;
    if (changes) (void)decoder.Decode(*changes, error);
  }));
}

// Guards against late starts that the coordinator doesn't learn of.
TEST_CASE("late starts of a target without lists are part of its changes") {
  worker_report report = BusyReport();
  report.listed = false;
  report.starting = {{{"00000000000000aa", 0, 0, 1}, 3}};
  report_encoder encoder;
  report_decoder decoder;
  core::last_error error;
  const auto decoded = decoder.Decode(encoder.Encode(report), error);
  REQUIRE(decoded);
  CHECK(decoded->starting == report.starting);
}

// Guards against changes that grow to the size of full reports: small reports are the purpose of
// the delta encoding.
TEST_CASE("changes of a busy worker take less than a third of a full report") {
  report_encoder encoder;
  worker_report report = BusyReport();
  const std::size_t whole = wire::EncodeValue(report).size();
  (void)encoder.Encode(report);
  for (running_task& task : report.running) task.progress += 5;
  const std::size_t change = wire::EncodeValue(encoder.Encode(report)).size();
  CHECK(3 * change < whole);
}

}  // namespace coltsfoot::jobs
