#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace coltsfoot::http {

/// @return `text` with percent-encoded bytes decoded and "+" as a space; unchanged if an encoding
/// is malformed.
std::string DecodePercent(std::string_view text);

/// Sets path and query of `out` from the target of a request line. Parameters are separated by "&";
/// of parameters with the same name the first is kept; a fragment is dropped.
void ParseTarget(std::string_view target, request& out);

}  // namespace coltsfoot::http
