#pragma once

#include "http/ingress_ledger.h"
#include "settings/reader.h"

namespace coltsfoot::program {

/// Reads the optional settings `memory_mb`, `max_descriptors`, `connections_per_address`,
/// `max_connections`, `request_time_ms`, `max_requests_in_progress` and `held_request_mb`. What is
/// not set follows from `http::LimitsFor`, with RLIMIT_NOFILE as the number of descriptors.
/// `max_connections`, `max_requests_in_progress` and `held_request_mb` set the share of the
/// callers' ports; that of the other ports stays.
http::ingress_limits ReadIngressLimits(settings::reader& source);

}  // namespace coltsfoot::program
