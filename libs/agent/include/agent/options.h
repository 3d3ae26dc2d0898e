#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "settings/reader.h"
#include "wire/messages.h"

namespace coltsfoot::agent {

/// Settings of an agent.
struct agent_options {
  std::string worker;
  std::string region;
  std::string zone;
  std::string rack;
  wire::endpoint http;
  wire::endpoint udp;
  wire::endpoint tcp;
  std::vector<wire::endpoint> entries;  ///< configured UDP endpoints; acks add further ones
  core::milliseconds heartbeat{5000};
  core::milliseconds lease_ttl{15000};
  core::milliseconds announce_timeout{3000};
  std::uint64_t incarnation = 0;  ///< random number, differs for each start of the agent
  bool operator==(const agent_options&) const = default;
};

/// Reads the options and reports errors to `source`.
agent_options ReadOptions(settings::reader& source);

}  // namespace coltsfoot::agent
