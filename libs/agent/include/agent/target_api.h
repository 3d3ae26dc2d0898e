#pragma once

#include <functional>
#include <string>

#include "agent/target_client.h"
#include "http/server.h"
#include "metrics/registry.h"

namespace coltsfoot::agent {

/// Callbacks for the target's HTTP calls. May run on any thread.
struct target_api_handlers {
  std::function<void(target_announcement)> on_announce;
  std::function<void(std::string instance)> on_goodbye;
};

/// @return a handler of the agent's HTTP API: `POST /v1/announce`, `POST /v1/goodbye`,
/// `GET /healthz` and `GET /metrics`. Invalid input is answered with a result code. `metrics` must
/// outlive the handler.
http::request_handler MakeTargetApi(target_api_handlers handlers, metrics::registry& metrics);

}  // namespace coltsfoot::agent
