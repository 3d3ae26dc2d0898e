#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/result_code.h"
#include "http/client.h"

namespace coltsfoot::load {

/// Result of checking an answer against its request.
enum class answer_verdict : std::uint8_t {
  valid,
  mismatched,  ///< does not start with the token of its own request
  truncated,   ///< shorter than the token, or differs from its digest
};

/// @return the idempotency key of call `number` in the run with `seed`.
std::string KeyOf(std::uint64_t seed, std::uint64_t number);

/// @return the token with which the body of a request and of its answer start.
std::string TokenOf(std::string_view key);

/// @return a request body of `bytes` bytes that starts with the token; the whole token if it is
/// longer than that.
std::string BodyOf(std::string_view key, std::size_t bytes);

/// Checks a successful answer against its request.
answer_verdict CheckAnswer(std::string_view key, const http::response& answer);

/// @return the result code of a call, from the entry's answer or from the connection failure.
core::result_code CodeOf(const http::call_result& result);

}  // namespace coltsfoot::load
