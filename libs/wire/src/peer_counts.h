#pragma once

#include <string>

#include "wire/connection_ledger.h"

namespace coltsfoot::wire {

/// Changes the number of accepted connections of this process by `change`. Thread-safe.
void CountPeers(int change);
/// Counts a connection that was closed, or a frame that was refused, and logs it, at most once a
/// second for each reason. Thread-safe.
void CountLimited(limit_reason reason);
/// @return the counts in the Prometheus text format.
std::string RenderPeerCounts();

}  // namespace coltsfoot::wire
