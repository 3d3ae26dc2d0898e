#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "http/ingress_ledger.h"
#include "wire/connection_ledger.h"
#include "wire/messages.h"

namespace coltsfoot::entry {

/// Settings of one entry process.
struct entry_options {
  std::string id;
  std::string region;
  std::string zone;
  wire::endpoint http;
  wire::endpoint tcp;                 ///< for connections of other entries
  wire::endpoint udp;                 ///< for agent heartbeats
  std::string store;                  ///< base URL of the key-value service
  std::vector<wire::endpoint> peers;  ///< TCP endpoints of entries that supply the configuration
  std::uint32_t shard_count = 8;
  core::milliseconds commit_interval{40};
  core::milliseconds heartbeat{5000};
  core::milliseconds lease_ttl{15000};
  core::milliseconds lease_margin{1000};
  core::milliseconds orphan_grace{180000};
  core::milliseconds store_lease_ttl{6000};
  std::uint32_t http_threads = 2;
  wire::connection_limits peer_limits = wire::DefaultConnectionLimits();  ///< of `tcp`
  http::ingress_limits ingress = http::LimitsFor({});

  bool operator==(const entry_options&) const = default;
};

/// Addresses that an entry registers in the key-value service.
struct entry_address {
  wire::endpoint udp;
  wire::endpoint tcp;
  wire::endpoint http;

  bool operator==(const entry_address&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(udp, tcp, http);
  }
};

}  // namespace coltsfoot::entry
