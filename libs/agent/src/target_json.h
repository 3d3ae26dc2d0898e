#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "agent/target_client.h"
#include "core/error.h"

/// JSON bodies of the target's HTTP protocol. The parsers return nothing with `decode_error` if a
/// body is not what the protocol says.
namespace coltsfoot::agent {

std::string StartBody(const task_spec& task);
std::string LeasesBody(const std::vector<lease_deadline>& leases);
std::optional<task_listing> ParseListing(std::string_view body, core::last_error& error);
std::optional<event_batch> ParseEvents(std::string_view body, core::last_error& error);
std::optional<std::string> ParseCheckpoint(std::string_view body, core::last_error& error);
/// @return the `reason` of an error body, or "".
std::string ParseReason(std::string_view body);

/// Parses an announcement of a target.
/// @return the announcement, or nothing with `malformed_request`, `unknown_field` or
/// `invalid_argument`.
std::optional<target_announcement> ParseAnnouncement(std::string_view body,
                                                     core::last_error& error);
/// @return the instance in a target's goodbye, "" if it names none, or nothing as above.
std::optional<std::string> ParseGoodbye(std::string_view body, core::last_error& error);

}  // namespace coltsfoot::agent
