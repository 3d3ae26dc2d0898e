#pragma once

#include "http/ingress_ledger.h"
#include "http/message.h"

namespace coltsfoot::http {

/// Answers that the server itself gives. All of them say that the request was not run, which is
/// true, since the request was never passed to the handler.
response BodyTooLarge();
response MalformedRequest();
/// @param refused says when the client may come back.
response Overloaded(const refusal& refused);

}  // namespace coltsfoot::http
