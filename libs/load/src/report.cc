#include "load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace coltsfoot::load {
namespace {

using nlohmann::ordered_json;

constexpr double kNanosecondsPerMs = 1e6;
constexpr double kP50 = 0.5;
constexpr double kP90 = 0.9;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

double ToMs(core::nanoseconds time) {
  return static_cast<double>(time.count()) / kNanosecondsPerMs;
}

/// @return the smallest value that is at least as large as the given share of all values (nearest
/// rank).
double Quantile(const std::vector<core::nanoseconds>& sorted, double share) {
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return ToMs(sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1]);
}

std::string LatencyText(std::string_view title, const latency_summary& latency) {
  return fmt::format(
      "{:<22}{:>9}  p50 {:.2f}  p90 {:.2f}  p99 {:.2f}  p99.9 {:.2f}  max {:.2f} ms\n", title,
      latency.count, latency.p50_ms, latency.p90_ms, latency.p99_ms, latency.p999_ms,
      latency.max_ms);
}

ordered_json LatencyJson(const latency_summary& latency) {
  return {{"count", latency.count},      {"p50_ms", latency.p50_ms},
          {"p90_ms", latency.p90_ms},    {"p99_ms", latency.p99_ms},
          {"p99_9_ms", latency.p999_ms}, {"greatest_ms", latency.max_ms}};
}

using outcome_counts = std::map<core::result_code, std::uint64_t>;

std::string OutcomeText(std::string_view title, const outcome_counts& outcomes) {
  std::string text;
  for (const auto& [code, count] : outcomes) {
    text += fmt::format("{:<22}{:>9}  {} ({})\n", text.empty() ? title : "", count, ToString(code),
                        static_cast<unsigned>(code));
  }
  return text;
}

ordered_json OutcomeJson(const outcome_counts& outcomes) {
  ordered_json object = ordered_json::object();
  for (const auto& [code, count] : outcomes) object[std::string(ToString(code))] = count;
  return object;
}

}  // namespace

latency_summary Summarize(std::vector<core::nanoseconds>& latencies) {
  if (latencies.empty()) return {};
  std::sort(latencies.begin(), latencies.end());
  return {latencies.size(),          Quantile(latencies, kP50),  Quantile(latencies, kP90),
          Quantile(latencies, kP99), Quantile(latencies, kP999), ToMs(latencies.back())};
}

std::string ToText(const load_report& report) {
  std::string text =
      fmt::format("{:<22}{:>9}  sent {}, not sent {}, unanswered {}, retried {}\n", "calls planned",
                  report.planned, report.sent, report.not_sent, report.unanswered, report.retried);
  text += LatencyText("answered requests", report.answered);
  text += LatencyText("all requests", report.all);
  text += LatencyText("sent late by", report.send_delay);
  text += OutcomeText("request outcomes", report.request_outcomes);
  text += OutcomeText("submission outcomes", report.submit_outcomes);
  text += OutcomeText("task outcomes", report.task_outcomes);
  text += fmt::format("{:<22}{:>9}  of {} accepted\n", "tasks ended", report.tasks_ended,
                      report.tasks_accepted);
  text += fmt::format("{:<22}{:>9.1f}  answered per second over {:.1f} s\n", "throughput",
                      report.ok_per_second, report.seconds);
  text += fmt::format("{:<22}{:>9}  truncated {}\n", "wrong answers", report.mismatched,
                      report.truncated);
  return text;
}

std::string ToJson(const load_report& report) {
  const ordered_json object = {{"planned", report.planned},
                               {"sent", report.sent},
                               {"not_sent", report.not_sent},
                               {"unanswered", report.unanswered},
                               {"retried", report.retried},
                               {"wrong", report.mismatched},
                               {"cut", report.truncated},
                               {"answered", LatencyJson(report.answered)},
                               {"all", LatencyJson(report.all)},
                               {"late", LatencyJson(report.send_delay)},
                               {"request_outcomes", OutcomeJson(report.request_outcomes)},
                               {"submit_outcomes", OutcomeJson(report.submit_outcomes)},
                               {"task_outcomes", OutcomeJson(report.task_outcomes)},
                               {"tasks_accepted", report.tasks_accepted},
                               {"tasks_ended", report.tasks_ended},
                               {"seconds", report.seconds},
                               {"ok_per_second", report.ok_per_second}};
  return object.dump();
}

}  // namespace coltsfoot::load
