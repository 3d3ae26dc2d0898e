#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/changes.h"
#include "config/fleet_config.h"

/// JSON formats of the fleet configuration and of the API bodies that change it. The parsers are
/// strict. They fail with `malformed_request` (no JSON object, or a required field is missing),
/// `unknown_field`, or `invalid_argument` (wrong type or out of range).
namespace coltsfoot::config {

/// @return the document `{version, token, author, defaults, exceptions}` that the key-value service
/// stores.
std::string ToJson(const fleet_config& config);

/// Parses a document that `ToJson` wrote.
std::optional<fleet_config> ParseFleetConfig(std::string_view json, core::last_error& error);

/// @return the answer to `GET /v1/config`: `{version, author, defaults, exceptions, settings}`,
/// with one row per setting of the catalogue. A setting without a value has `"value":null`.
std::string RenderConfig(const fleet_config& config);

/// Parses an answer that `RenderConfig` wrote, so that coltsfootctl can explain values. The result
/// has no token.
std::optional<fleet_config> ParseConfigAnswer(std::string_view json, core::last_error& error);

/// @return one exception, formatted as in `RenderConfig`.
std::string RenderException(const config_exception& exception);

/// Parses the body `{if_version, set, unset, author}` of `PATCH /v1/config/defaults`.
std::optional<defaults_change> ParseDefaultsChange(std::string_view json, core::last_error& error);

/// Parses the body `{id, scope, setting, value, author, reason, if_version}` of
/// `POST /v1/config/exceptions`. Without an id the request gets the id "<setting>@<scope>". A
/// missing reason is left empty; `AddException` refuses it as `missing_reason`.
std::optional<exception_request> ParseExceptionRequest(std::string_view json,
                                                       core::last_error& error);

/// Parses the body `{author, text}` of `POST /v1/config/exceptions/{id}/challenges`.
std::optional<challenge_request> ParseChallengeRequest(std::string_view json,
                                                       core::last_error& error);

}  // namespace coltsfoot::config
