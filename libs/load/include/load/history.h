#pragma once

#include <cstdint>
#include <iosfwd>
#include <mutex>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result_code.h"
#include "http/message.h"

namespace coltsfoot::load {

/// Records calls and their outcomes as JSON lines for the history checker. Each line has
/// `wall_ms`, `mono_ns` and `event`:
/// - `invoke`: op ("request" or "task"), key, idempotent, digest (of the request body), entry;
/// - `outcome`: op, key, code, name, and for a successful request answer_whole and answer_digest,
///   for a successful submission task;
/// - `task_ended`: task, code.
/// Thread-safe.
class history {
 public:
  /// @param out must outlive this object; null disables the output.
  history(std::ostream* out, const core::clock& time) : out_(out), time_(time) {}

  void Invoke(std::string_view op, std::string_view key, bool idempotent, std::string_view body,
              std::string_view entry);
  /// @param answer of a request with code ok, else null.
  void RequestOutcome(std::string_view key, core::result_code code, const http::response* answer);
  /// @param task id of an accepted task; may be empty.
  void SubmitOutcome(std::string_view key, core::result_code code, std::string_view task);
  void TaskEnded(std::string_view task, core::result_code code);

 private:
  /// Writes one line.
  /// @param members fields after the common ones, each with a leading comma.
  void Write(std::string_view event, const std::string& members);

  std::ostream* out_;
  const core::clock& time_;
  std::mutex mutex_;
};

}  // namespace coltsfoot::load
