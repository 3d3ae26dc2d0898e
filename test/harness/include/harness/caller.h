#pragma once

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/result_code.h"
#include "http/client.h"

namespace coltsfoot::harness {

/// File of JSON lines that several threads append to; test/history describes the lines.
class history_log {
 public:
  explicit history_log(const std::filesystem::path& file) : out_(file, std::ios::app) {}
  /// Appends a line.
  /// @param event name of the event.
  /// @param members further members of the JSON object, such as `"worker":"w1"`; may be empty.
  void Add(const std::string& event, const std::string& members);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Outcome of one call. `code` is from the answer, or the reason why there is none.
struct outcome {
  core::result_code code = core::result_code::internal_error;
  int status = 0;  ///< 0 without an answer
  std::string body;
  bool operator==(const outcome&) const = default;
  bool ok() const noexcept { return code == core::result_code::ok; }
};

/// Options of a service request.
struct request_options {
  bool idempotent = true;
  core::milliseconds deadline{10000};
  core::milliseconds timeout{15000};
  std::string team = "team-a";
  std::size_t padding = 0;  ///< bytes added to the body
  bool operator==(const request_options&) const = default;
};

/// A task to submit.
struct task_spec {
  std::string key;
  std::string team = "team-a";
  std::string task_class = "plan";
  std::string kind = "batch";
  bool urgent = false;
  std::int64_t cpu_millis = 1000;
  std::int64_t memory_mb = 100;
  std::int64_t accelerators = 0;
  std::int64_t expected_ms = 1000;
  std::int64_t work_ms = 1000;
  bool fail = false;
  bool operator==(const task_spec&) const = default;
};

/// State of a task as an entry reports it; `state` is empty if there was no answer.
struct task_view {
  std::string state;
  core::result_code code = core::result_code::ok;
  std::uint64_t epoch = 0;
  std::string worker;
  std::int64_t evictions = 0;
  std::string result;
  bool operator==(const task_view&) const = default;
};

/// Caller of the API that records its calls and their outcomes. Safe to use from several
/// threads.
class caller {
 public:
  explicit caller(history_log& history);

  /// Sends a service request whose body names `key`. Requests of one key have the same body.
  std::future<outcome> Request(const std::string& entry, const std::string& service,
                               const std::string& key, const request_options& options = {});
  /// Submits a task with its key as idempotency key.
  /// @return the task's id, or nothing; the outcome is stored in `observed` if given.
  std::optional<std::string> Submit(const std::string& entry, const task_spec& spec,
                                    outcome* observed = nullptr);
  /// Gets a task; the entry waits up to `wait` for its end.
  task_view Task(const std::string& entry, const std::string& id, core::milliseconds wait = {});
  /// Polls the entries in turn until the task has ended or `bound` has passed.
  /// @return the last answer.
  task_view WaitForEnd(const std::vector<std::string>& entries, const std::string& id,
                       core::milliseconds bound);
  /// Polls the entries in turn until the task runs in an epoch above `epoch` or `bound` has passed.
  task_view WaitForRun(const std::vector<std::string>& entries, const std::string& id,
                       std::uint64_t epoch, core::milliseconds bound);
  /// Makes any call.
  http::call_result Call(const std::string& method, const std::string& url,
                         const std::string& body = "", const http::header_map& headers = {},
                         core::milliseconds timeout = core::milliseconds{5000});

 private:
  history_log& history_;
  std::unique_ptr<http::client> client_;
};

/// @return the outcome of a call to an entry.
outcome OutcomeOf(const http::call_result& result);

/// Evaluates `condition` every few milliseconds until it holds or `bound` has passed.
/// @return whether it held.
template <class Condition>
bool WaitUntil(core::milliseconds bound, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(core::milliseconds{10});
  }
  return true;
}

}  // namespace coltsfoot::harness
