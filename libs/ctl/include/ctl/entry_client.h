#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "ctl/exit_code.h"
#include "http/client.h"

namespace coltsfoot::ctl {

/// HTTP call to the API of the entries.
struct api_call {
  std::string method = "GET";
  std::string path;  ///< with the query, for example "/v1/tasks?team=mills"
  http::header_map headers;
  std::string body;
  /// True if the call may be sent again after it may have been received: reads, calls with an
  /// idempotency key, and changes that give the same state when repeated.
  bool repeatable = true;
  core::milliseconds timeout{10'000};

  bool operator==(const api_call&) const = default;
};

/// Outcome of a call, after all attempts.
struct api_outcome {
  exit_code code = exit_code::ok;
  core::error_reason reason;             ///< code `ok` on success
  std::optional<http::response> answer;  ///< of the entry, also for a refusal
  std::string entry;                     ///< URL of the entry that answered or failed last
  bool maybe_repeated = false;           ///< an earlier attempt may have taken effect

  bool operator==(const api_outcome&) const = default;
};

/// HTTP client with failover between entries. Tries the next entry if nothing was sent, or if the
/// entry refused the call for a reason that concerns only itself. After other failures it tries the
/// next entry only if the call is repeatable.
class entry_client {
 public:
  /// @param entries URLs such as "http://10.0.0.1:8000"; must not be empty.
  entry_client(http::client& client, std::vector<std::string> entries);

  /// Makes a call and waits for its outcome.
  api_outcome Call(const api_call& call);
  /// Makes a call to one entry only.
  api_outcome CallOne(const std::string& entry, const api_call& call);

  const std::vector<std::string>& entries() const noexcept { return entries_; }

 private:
  http::client& client_;
  std::vector<std::string> entries_;
};

}  // namespace coltsfoot::ctl
