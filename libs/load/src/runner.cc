#include "load/runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <queue>
#include <utility>

#include "load/schedule.h"

namespace coltsfoot::load {
namespace {

using core::mono_time;
using core::nanoseconds;
using core::result_code;
using nlohmann::json;

// Maximum sleep of the sending thread, which limits how late it sees a retry or poll that an answer
// has scheduled.
constexpr core::milliseconds kMaxSleep{5};
constexpr core::milliseconds kRetryPause{100};
constexpr core::milliseconds kPollPause{1000};
// Limit for the polls of all open tasks together, so that polling does not add significant load.
constexpr std::int64_t kMaxPollsPerSecond = 200;
// A submission with an unknown outcome is repeated with the same key, because otherwise the id of
// its task would not be known and the task could not be polled.
constexpr std::uint32_t kSubmitRetries = 3;
constexpr std::chrono::seconds kProgressInterval{1};

/// A retry of a call or a poll of its task.
struct timed_event {
  mono_time due;
  std::size_t call = 0;
  std::uint32_t attempt = 0;  ///< 0 for a poll

  bool operator>(const timed_event& other) const { return due > other.due; }
};

std::string TextField(const http::call_result& result, const char* name) {
  if (!result.answer) return "";
  const json body = json::parse(result.answer->body, nullptr, false);
  if (!body.is_object()) return "";
  const auto found = body.find(name);
  return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

std::int64_t NumberField(const http::call_result& result, const char* name) {
  const json body = json::parse(result.answer->body, nullptr, false);
  const auto found = body.find(name);
  return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

/// State of one run. Answers that arrive after its end are ignored.
class run_state : public std::enable_shared_from_this<run_state> {
 public:
  run_state(const load_options& options, const load_environment& env)
      : options_(options),
        env_(env),
        calls_(DrawSchedule(options)),
        tasks_(calls_.size()),
        start_(env.time.Now()),
        last_answer_(start_),
        next_progress_(start_ + kProgressInterval) {
    report_.planned = calls_.size();
  }

  load_report Run() {
    while (!IsDone()) {
      SendDueCalls();
      HandleDueEvents();
      ReportProgress();
      env_.sleep(TimeToSleep());
    }
    return Finish();
  }

 private:
  bool stopping() const { return env_.stop.load(std::memory_order_relaxed); }
  mono_time AnswerDeadline() const {
    return start_ + options_.duration + options_.timeout * (options_.retries + 1);
  }

  bool IsDone() {
    if (stopping()) return true;
    const mono_time now = env_.time.Now();
    const std::lock_guard lock(mutex_);
    const bool all_sent = next_call_ == calls_.size();
    const bool answered = all_sent && in_flight_ == 0 && pending_retries_ == 0;
    if (answered && open_tasks_ == 0) return true;
    if (answered) return now >= std::max(last_answer_, start_) + options_.task_wait;
    return all_sent && now >= AnswerDeadline();
  }

  nanoseconds TimeToSleep() {
    const mono_time now = env_.time.Now();
    mono_time next = now + kMaxSleep;
    if (next_call_ < calls_.size()) next = std::min(next, start_ + calls_[next_call_].at);
    return std::max(nanoseconds{0}, next - now);
  }

  void SendDueCalls() {
    while (next_call_ < calls_.size() && !stopping()) {
      const mono_time now = env_.time.Now();
      const mono_time intended = start_ + calls_[next_call_].at;
      if (intended > now) return;
      const std::size_t index = next_call_++;
      {
        const std::lock_guard lock(mutex_);
        if (in_flight_ >= options_.max_in_flight) {
          report_.not_sent += 1;
          continue;
        }
        send_delays_.push_back(now - intended);
        report_.sent += 1;
      }
      Send(index, 0);
    }
  }

  void HandleDueEvents() {
    for (;;) {
      timed_event event;
      {
        const std::lock_guard lock(mutex_);
        if (events_.empty() || events_.top().due > env_.time.Now()) return;
        event = events_.top();
        events_.pop();
        if (event.attempt > 0) {
          pending_retries_ -= 1;
          report_.retried += 1;
        }
      }
      event.attempt > 0 ? Send(event.call, event.attempt) : PollTask(event.call);
    }
  }

  http::client& ClientFor(std::size_t index) { return *env_.clients[index % env_.clients.size()]; }
  const std::string& EntryFor(std::size_t index, std::uint32_t attempt) const {
    return options_.entries[(index + attempt) % options_.entries.size()];
  }

  void Send(std::size_t index, std::uint32_t attempt) {
    const planned_call& planned = calls_[index];
    const std::string key = KeyOf(options_.seed, planned.number);
    const std::string& entry = EntryFor(index, attempt);
    const bool is_task = planned.kind == call_kind::task;
    http::call call = is_task ? TaskCall(planned, key) : RequestCall(planned, key);
    call.url = entry + call.url;
    call.timeout = options_.timeout;
    env_.log.Invoke(is_task ? "task" : "request", key, !is_task && planned.idempotent, call.body,
                    entry);
    {
      const std::lock_guard lock(mutex_);
      in_flight_ += 1;
    }
    ClientFor(index).Send(std::move(call),
                          [self = shared_from_this(), index, attempt](http::call_result result) {
                            self->OnAnswer(index, attempt, result);
                          });
  }

  http::call RequestCall(const planned_call& planned, const std::string& key) const {
    http::call call{
        .method = "POST",
        .url = fmt::format("/v1/services/{}/requests", http::UrlEncode(options_.service)),
        .headers = {{"X-Team", options_.teams[planned.team]}},
        .body = BodyOf(key, options_.body_bytes)};
    if (options_.deadline_ms > 0) {
      call.headers["X-Deadline-Ms"] = std::to_string(options_.deadline_ms);
    }
    if (!planned.idempotent) {
      call.headers["X-Idempotent"] = "false";
      call.headers["Idempotency-Key"] = key;
    }
    return call;
  }

  http::call TaskCall(const planned_call& planned, const std::string& key) const {
    // The payload always states the resource usage. Otherwise the fake target reports the allocated
    // size as usage, and the size correction would increase its own earlier increase.
    const json payload = {
        {"key", key},
        {"work_ms", planned.work_ms},
        {"fail", false},
        {"use", {{"cpu_millis", planned.use_millis}, {"memory_mb", options_.task_memory_mb}}}};
    const json body = {{"team", options_.teams[planned.team]},
                       {"task_class", options_.task_class},
                       {"kind", options_.task_kind},
                       {"urgent", false},
                       {"resources",
                        {{"cpu_millis", planned.cpu_millis},
                         {"memory_mb", options_.task_memory_mb},
                         {"accelerators", 0}}},
                       {"expected_ms", planned.expected_ms},
                       {"payload", payload.dump()}};
    return {.method = "POST",
            .url = "/v1/tasks",
            .headers = {{"Idempotency-Key", key}},
            .body = body.dump()};
  }

  void OnAnswer(std::size_t index, std::uint32_t attempt, const http::call_result& result) {
    const mono_time now = env_.time.Now();
    const std::lock_guard lock(mutex_);
    if (finished_) return;
    in_flight_ -= 1;
    last_answer_ = now;
    const result_code code = CodeOf(result);
    const planned_call& planned = calls_[index];
    const bool is_task = planned.kind == call_kind::task;
    if (is_task) {
      RecordSubmission(index, code, result);
    } else {
      RecordRequest(planned, code, result);
    }
    const bool inconclusive = core::IsOutcomeUnknown(code) || code == result_code::connect_failed;
    const std::uint32_t max_retries =
        is_task ? std::max(kSubmitRetries, options_.retries) : options_.retries;
    if (inconclusive && attempt < max_retries) {
      pending_retries_ += 1;
      events_.push({now + kRetryPause * (attempt + 1), index, attempt + 1});
      return;
    }
    if (is_task) {
      report_.submit_outcomes[code] += 1;
      return;
    }
    report_.request_outcomes[code] += 1;
    const nanoseconds latency = now - (start_ + planned.at);
    all_.push_back(latency);
    if (code == result_code::ok) answered_.push_back(latency);
  }

  void RecordRequest(const planned_call& planned, result_code code,
                     const http::call_result& result) {
    const std::string key = KeyOf(options_.seed, planned.number);
    const bool succeeded = code == result_code::ok && result.answer.has_value();
    env_.log.RequestOutcome(key, code, succeeded ? &*result.answer : nullptr);
    answer_verdict verdict = answer_verdict::valid;
    if (succeeded) verdict = CheckAnswer(key, *result.answer);
    report_.mismatched += verdict == answer_verdict::mismatched ? 1 : 0;
    const bool truncated =
        verdict == answer_verdict::truncated || code == result_code::answer_truncated;
    report_.truncated += truncated ? 1 : 0;
  }

  void RecordSubmission(std::size_t index, result_code code, const http::call_result& result) {
    const std::string task = code == result_code::ok ? TextField(result, "task") : "";
    env_.log.SubmitOutcome(KeyOf(options_.seed, calls_[index].number), code, task);
    if (task.empty()) return;
    tasks_[index] = task;
    report_.tasks_accepted += 1;
    open_tasks_ += 1;
    events_.push({env_.time.Now() + core::milliseconds{calls_[index].expected_ms}, index, 0});
  }

  void PollTask(std::size_t index) {
    // Uses another entry for each poll, so that a failed entry does not make the task unreachable.
    const std::string& entry = EntryFor(index, poll_count_++);
    ClientFor(index).Send(
        {.url = fmt::format("{}/v1/tasks/{}", entry, tasks_[index]), .timeout = options_.timeout},
        [self = shared_from_this(), index](const http::call_result& result) {
          self->OnPollAnswer(index, result);
        });
  }

  void OnPollAnswer(std::size_t index, const http::call_result& result) {
    const bool ended = CodeOf(result) == result_code::ok && TextField(result, "state") == "ended";
    const std::lock_guard lock(mutex_);
    if (finished_) return;
    if (!ended) {
      const std::int64_t spread_ms = open_tasks_ * 1000 / kMaxPollsPerSecond;
      events_.push(
          {env_.time.Now() + std::max(kPollPause, core::milliseconds{spread_ms}), index, 0});
      return;
    }
    const auto code = static_cast<result_code>(NumberField(result, "code"));
    env_.log.TaskEnded(tasks_[index], code);
    open_tasks_ -= 1;
    report_.tasks_ended += 1;
    report_.task_outcomes[code] += 1;
  }

  void ReportProgress() {
    const mono_time now = env_.time.Now();
    if (!env_.on_progress || now < next_progress_) return;
    next_progress_ = now + kProgressInterval;
    load_progress progress;
    {
      const std::lock_guard lock(mutex_);
      progress = {now - start_, report_.sent,
                  all_.size(),  all_.size() - answered_.size(),
                  in_flight_,   static_cast<std::uint64_t>(open_tasks_)};
    }
    env_.on_progress(progress);
  }

  load_report Finish() {
    const std::lock_guard lock(mutex_);
    finished_ = true;
    report_.not_sent += calls_.size() - next_call_;
    report_.unanswered = in_flight_ + pending_retries_;
    report_.answered = Summarize(answered_);
    report_.all = Summarize(all_);
    report_.send_delay = Summarize(send_delays_);
    report_.seconds = std::chrono::duration<double>(last_answer_ - start_).count();
    if (report_.seconds > 0) {
      report_.ok_per_second = static_cast<double>(answered_.size()) / report_.seconds;
    }
    return report_;
  }

  const load_options options_;
  const load_environment env_;
  const std::vector<planned_call> calls_;
  std::size_t next_call_ = 0;     // used only by the sending thread
  std::uint32_t poll_count_ = 0;  // used only by the sending thread

  std::mutex mutex_;                // guards the members below
  std::vector<std::string> tasks_;  ///< id of each call's task
  std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>> events_;
  std::uint64_t in_flight_ = 0;
  std::uint64_t pending_retries_ = 0;
  std::int64_t open_tasks_ = 0;
  bool finished_ = false;
  std::vector<nanoseconds> answered_;
  std::vector<nanoseconds> all_;
  std::vector<nanoseconds> send_delays_;
  load_report report_;

  const mono_time start_;
  mono_time last_answer_;
  mono_time next_progress_;
};

}  // namespace

load_report RunLoad(const load_options& options, const load_environment& env) {
  return std::make_shared<run_state>(options, env)->Run();
}

}  // namespace coltsfoot::load
