#pragma once

#include <asio/ip/address.hpp>

#include "wire/messages.h"

namespace coltsfoot::wire {

/// @throws std::system_error if the address is not valid.
template <class Protocol>
typename Protocol::endpoint ToAsio(const endpoint& value) {
  return {asio::ip::make_address(value.ip), value.port};
}

template <class AsioEndpoint>
endpoint FromAsio(const AsioEndpoint& value) {
  return {value.address().to_string(), value.port()};
}

}  // namespace coltsfoot::wire
