#pragma once

#include <string>

#include "core/error.h"
#include "http/message.h"

namespace coltsfoot::entry {

/// @return the error response `{"code","name","reason","not_run"}` with the headers `X-Result-Code`
/// and `X-Not-Run`.
http::response ErrorResponse(core::result_code code, const std::string& reason);

}  // namespace coltsfoot::entry
