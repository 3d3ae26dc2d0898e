#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/target_client.h"
#include "core/error.h"

/// JSON bodies of the target's HTTP protocol. Unless stated otherwise, the parsers return nothing
/// and set `decode_error` or `malformed_request` if a body does not conform to the protocol.
namespace coltsfoot::agent {

std::string StartBody(const task_spec& task);
std::string LeasesBody(const std::vector<lease_deadline>& leases);
std::optional<task_listing> ParseListing(std::string_view body, core::last_error& error);
std::optional<event_batch> ParseEvents(std::string_view body, core::last_error& error);
std::optional<std::string> ParseCheckpoint(std::string_view body, core::last_error& error);
/// @return the `reason` in the body of an error response, or "".
std::string ParseReason(std::string_view body);

/// Parses an announcement of a target.
/// @return the announcement; nothing, with `malformed_request`, `unknown_field` or
/// `invalid_argument` set in `error`, if it is invalid.
std::optional<target_announcement> ParseAnnouncement(std::string_view body,
                                                     core::last_error& error);
/// Parses the message by which a target announces its shutdown.
/// @return its instance, or "" if it names none; nothing, with `malformed_request` or
/// `invalid_argument` set in `error`, if the body is invalid.
std::optional<std::string> ParseGoodbye(std::string_view body, core::last_error& error);

}  // namespace coltsfoot::agent
