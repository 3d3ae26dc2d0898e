#pragma once

#include <functional>
#include <string>

#include "core/clock.h"
#include "core/result_code.h"

namespace coltsfoot::entry {

/// Outcome of a service request, as reported to the caller.
struct request_outcome {
  core::result_code code = core::result_code::internal_error;
  std::string reason;
  std::string body;  ///< complete answer if the code is ok, else empty

  bool operator==(const request_outcome&) const = default;
};

/// Request of a caller to a service.
struct service_request {
  std::string service;
  std::string team;
  bool idempotent = true;
  core::mono_time deadline;
  std::string body;
  std::function<void(request_outcome)> done;  ///< called once
};

}  // namespace coltsfoot::entry
