#pragma once

#include <asio/io_context.hpp>
#include <memory>

#include "agent/target_client.h"
#include "http/client.h"

namespace coltsfoot::agent {

/// @return a client of the target's HTTP protocol. Responses are parsed on the thread that runs the
/// handlers of `via`; callbacks run on `control`. Both must outlive the client and its calls.
std::unique_ptr<target_client> MakeHttpTargetClient(http::client& via, asio::io_context& control);

}  // namespace coltsfoot::agent
