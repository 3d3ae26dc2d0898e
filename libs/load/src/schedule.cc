#include "load/schedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "core/random_source.h"

namespace coltsfoot::load {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kPercent = 100;
constexpr std::int64_t kWholePercent = 100;
// Separates the random streams of requests and tasks for any seed.
constexpr std::uint64_t kTaskStream = 0x7461736b;
// Random stream for the ratio of real to declared values. It is separate, so that all other draws
// are the same with and without declaration errors.
constexpr std::uint64_t kDeclarationErrorStream = 0x6d697374;

std::int64_t DrawFrom(const std::vector<std::int64_t>& values, core::random_source& random) {
  return values[random.Below(values.size())];
}

/// Draws the calls of one kind.
std::vector<planned_call> DrawStream(const load_options& options, call_kind kind) {
  const bool tasks = kind == call_kind::task;
  const double rate = tasks ? options.task_rate : options.request_rate;
  std::vector<planned_call> calls;
  if (rate <= 0) return calls;
  core::seeded_random random(tasks ? options.seed ^ kTaskStream : options.seed);
  core::seeded_random declaration_errors(options.seed ^ kDeclarationErrorStream);
  const core::nanoseconds end = options.duration;
  double at = 0;
  while (calls.size() < options.max_calls) {
    at += -std::log(1 - random.Uniform()) / rate * kNanosecondsPerSecond;
    planned_call call;
    call.at = core::nanoseconds{static_cast<std::int64_t>(at)};
    if (call.at >= end) break;
    call.kind = kind;
    call.team = static_cast<std::uint32_t>(random.Below(options.teams.size()));
    if (tasks) {
      call.cpu_millis = DrawFrom(options.task_cpu_millis, random);
      call.expected_ms = DrawFrom(options.task_expected_ms, random);
      call.work_ms = std::max<std::int64_t>(
          1, call.expected_ms * DrawFrom(options.task_work_percent, declaration_errors) /
                 kWholePercent);
      call.use_millis = std::max<std::int64_t>(
          1,
          call.cpu_millis * DrawFrom(options.task_use_percent, declaration_errors) / kWholePercent);
    } else {
      call.idempotent = random.Uniform() * kPercent >= options.non_idempotent_percent;
    }
    calls.push_back(call);
  }
  return calls;
}

}  // namespace

std::vector<planned_call> DrawSchedule(const load_options& options) {
  const auto requests = DrawStream(options, call_kind::request);
  const auto tasks = DrawStream(options, call_kind::task);
  std::vector<planned_call> calls;
  calls.reserve(requests.size() + tasks.size());
  std::merge(
      requests.begin(), requests.end(), tasks.begin(), tasks.end(), std::back_inserter(calls),
      [](const planned_call& left, const planned_call& right) { return left.at < right.at; });
  calls.resize(std::min<std::size_t>(calls.size(), options.max_calls));
  for (std::size_t index = 0; index < calls.size(); ++index) calls[index].number = index;
  return calls;
}

}  // namespace coltsfoot::load
