#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/error.h"
#include "http/message.h"

namespace coltsfoot::http {

/// Limit on the body of an answer whose call sets none. A page of a list in the platform's store
/// has up to 1 MB, and one value up to 1 MiB, which Base64 and JSON make some 3 MB.
inline constexpr std::size_t kDefaultBodyLimitBytes = 8U << 20U;
/// Limit on the header of an answer, in bytes.
inline constexpr std::size_t kHeaderLimitBytes = 32U << 10U;
/// Limit on the bodies of all answers that one client is receiving, in bytes. Above it the largest
/// one is cut off.
inline constexpr std::size_t kAnswerBudgetBytes = 32U << 20U;

/// An HTTP request to a server, with the limits on its answer.
struct call {
  std::string method = "GET";
  std::string url;
  header_map headers;
  std::string body;
  /// Time for the whole call or, with `stall_timeout`, until the answer begins to arrive.
  std::chrono::milliseconds timeout{5000};
  /// Time between two pieces of the answer. Lets a large answer take as long as it keeps arriving.
  std::optional<std::chrono::milliseconds> stall_timeout;
  /// Size of the answer's body, in bytes, above which the call is cut off; 0:
  /// `kDefaultBodyLimitBytes`.
  std::size_t body_limit = 0;
  /// Opens a new connection, on which the request is sent at most once. On a kept-alive connection,
  /// libcurl resends a request if the server closes the connection without an answer.
  bool at_most_once = false;

  bool operator==(const call&) const = default;
};

/// Result of a call: the response, or the reason why there is none. Reason codes: `connect_failed`
/// (nothing was sent), `deadline_exceeded`, `answer_truncated` (also for an answer above a limit),
/// `connection_lost`.
struct call_result {
  std::optional<response> answer;
  core::error_reason reason;
  std::size_t received_bytes = 0;  ///< of the answer's body, also if it was cut off
  int status = 0;                  ///< of the answer, also if it was cut off; 0: none arrived
  bool over_limit = false;         ///< the body is larger than the limit of the call

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

/// Client based on libcurl, with one traffic thread and kept-alive connections. After a timeout on
/// a kept-alive connection, later calls to the same server use new connections. The destructor does
/// not wait for calls: those in progress end with `connection_lost`, those not yet started with
/// `connect_failed`.
std::unique_ptr<client> MakeCurlClient();

/// Makes one call and blocks until it ends; for command line tools and tests.
call_result CallAndWait(client& via, call request);

/// @return `text` percent-encoded for use in a URL path segment or query value.
std::string UrlEncode(std::string_view text);

}  // namespace coltsfoot::http
