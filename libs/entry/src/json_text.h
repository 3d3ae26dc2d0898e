#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfoot::entry {

/// @return `body` as JSON text; invalid UTF-8 is replaced.
inline std::string Dump(const nlohmann::json& body) {
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace coltsfoot::entry
