#include "ctl/entry_client.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/ids.h"

namespace coltsfoot::ctl {
namespace {

using core::result_code;

// A single URL may be that of a load balancer, so a second attempt can reach another entry.
constexpr std::size_t kMinAttempts = 2;
constexpr int kFirstErrorStatus = 400;

exit_code ExitCodeOf(result_code code) {
  if (code == result_code::ok) return exit_code::ok;
  if (code == result_code::connect_failed) return exit_code::cannot_connect;
  return core::IsOutcomeUnknown(code) ? exit_code::unknown : exit_code::failed;
}

/// @return true for refusals that concern only this entry; another one may accept the call.
bool IsEntrySpecific(result_code code) {
  return code == result_code::shutting_down || code == result_code::no_configuration ||
         code == result_code::not_owner;
}

/// @return true for unknown outcomes that are final: repeating the call gives the same answer.
bool IsFinal(result_code code) {
  return code == result_code::deadline_exceeded || code == result_code::answer_not_kept;
}

/// @return the result code and message of an answer. An HTTP error without a result code comes from
/// an intermediary such as a load balancer; whether the call ran is then unknown.
core::error_reason ReasonOf(const http::response& answer) {
  const std::string header = answer.FindHeader("X-Result-Code").value_or("");
  unsigned number = 0;
  const auto parsed = std::from_chars(header.data(), header.data() + header.size(), number);
  if (header.empty() || parsed.ec != std::errc{}) {
    if (answer.status < kFirstErrorStatus) return {result_code::ok, ""};
    return {result_code::outcome_unknown,
            "HTTP status " + std::to_string(answer.status) + " without a result code"};
  }
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  std::string message;
  if (body.is_object()) {
    const auto reason = body.find("reason");
    if (reason != body.end() && reason->is_string()) message = reason->get<std::string>();
  }
  return {static_cast<result_code>(number), std::move(message)};
}

}  // namespace

entry_client::entry_client(http::client& client, std::vector<std::string> entries)
    : client_(client), entries_(std::move(entries)) {}

api_outcome entry_client::CallOne(const std::string& entry, const api_call& call) {
  api_outcome out;
  out.entry = entry;
  auto result = http::CallAndWait(
      client_, {call.method, entry + call.path, call.headers, call.body, call.timeout});
  if (!result.answer) {
    out.reason = std::move(result.reason);
    const bool is_read = call.method == "GET";
    const bool was_sent = out.reason.code != result_code::connect_failed;
    // A read has no effect, so its failure is never an unknown outcome.
    out.code = !was_sent ? exit_code::cannot_connect
               : is_read ? exit_code::failed
                         : exit_code::unknown;
    return out;
  }
  out.reason = ReasonOf(*result.answer);
  out.code = ExitCodeOf(out.reason.code);
  // `connect_failed` in an answer means that the entry could not reach a worker. The call itself
  // reached the entry.
  if (out.code == exit_code::cannot_connect) out.code = exit_code::failed;
  const auto digest = result.answer->FindHeader("X-Digest");
  if (digest && *digest != std::to_string(core::StableHash(result.answer->body))) {
    out.reason = {result_code::answer_truncated, "the answer does not match its digest"};
    out.code = exit_code::unknown;
  }
  out.answer = std::move(result.answer);
  return out;
}

api_outcome entry_client::Call(const api_call& call) {
  api_outcome out;
  bool maybe_ran = false;
  const std::size_t max_attempts = std::max(kMinAttempts, entries_.size());
  for (std::size_t attempt = 0; attempt < max_attempts; ++attempt) {
    out = CallOne(entries_[attempt % entries_.size()], call);
    out.maybe_repeated = maybe_ran;
    const result_code code = out.reason.code;
    const bool not_sent = out.code == exit_code::cannot_connect;
    const bool inconclusive = !out.answer || (out.code == exit_code::unknown && !IsFinal(code));
    if (!inconclusive && !IsEntrySpecific(code)) return out;
    if (inconclusive && !not_sent) {
      if (!call.repeatable) return out;
      maybe_ran = true;
    }
  }
  // An earlier attempt may have taken effect although the last one reached no entry.
  if (maybe_ran && call.method != "GET" && out.code != exit_code::ok) out.code = exit_code::unknown;
  return out;
}

}  // namespace coltsfoot::ctl
