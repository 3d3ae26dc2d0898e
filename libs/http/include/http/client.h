#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/error.h"
#include "http/message.h"

namespace coltsfoot::http {

/// A call to a server.
struct call {
  std::string method = "GET";
  std::string url;
  header_map headers;
  std::string body;
  std::chrono::milliseconds timeout{5000};
  /// Uses a new connection, on which the request is sent at most once. On a kept-alive connection
  /// libcurl sends it again if the server closes the connection without an answer.
  bool at_most_once = false;

  bool operator==(const call&) const = default;
};

/// Answer of a call: the response, or nothing and the reason. Reason codes: `connect_failed`
/// (nothing was sent), `deadline_exceeded`, `answer_truncated`, `connection_lost`.
struct call_result {
  std::optional<response> answer;
  core::error_reason reason;

  bool operator==(const call_result&) const = default;
};

using call_handler = std::function<void(call_result)>;

/// Makes HTTP calls without blocking the caller's thread. Mocked in tests.
class client {
 public:
  virtual ~client() = default;
  /// Starts a call. The handler runs once, on a traffic thread.
  virtual void Send(call request, call_handler handler) = 0;
};

/// Client on libcurl with one traffic thread and kept-alive connections. The destructor waits for
/// no call: calls in progress end with `connection_lost`.
std::unique_ptr<client> MakeCurlClient();

/// Makes one call and waits for its answer; for command line tools and tests.
call_result CallAndWait(client& via, call request);

/// @return `text` percent-encoded for use in a URL path segment or query value.
std::string UrlEncode(std::string_view text);

}  // namespace coltsfoot::http
