#pragma once

#include <optional>
#include <string>
#include <utility>

#include "core/result_code.h"

namespace coltsfoot::core {

/// Reason of a failed call: a result code and a human-readable message.
struct error_reason {
  result_code code = result_code::internal_error;
  std::string message;

  bool operator==(const error_reason&) const = default;
};

/// Output parameter for the error of functions that return std::optional.
///
/// Such a function takes `last_error&` and sets the reason before it returns an empty optional.
class last_error {
 public:
  /// Records the reason of a failure.
  /// @return std::nullopt, so that a caller can write `return error.Set(...)`.
  std::nullopt_t Set(result_code code, std::string message) {
    reason_ = error_reason{code, std::move(message)};
    return std::nullopt;
  }

  /// @return the reason of the last failure; code `ok` if there was none.
  const error_reason& reason() const noexcept { return reason_; }

 private:
  error_reason reason_{result_code::ok, ""};
};

}  // namespace coltsfoot::core
