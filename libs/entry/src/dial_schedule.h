#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::entry {

/// Limits on the dials of one pool of links. Anyone can announce addresses to an entry, and each
/// dial holds a descriptor until it fails, in the kernel's default after two minutes.
struct dial_limits {
  /// Dials in progress to endpoints to which no connection has opened yet.
  std::size_t unconfirmed = 128;
  /// A dial that takes longer has failed. Allows the kernel one more attempt after a second.
  core::milliseconds dial_time{3000};
  /// Time between a loss or a failure and the next dial.
  core::milliseconds retry_delay{200};
};

/// Decides when the outgoing links of a pool are dialled. Links to endpoints that were connected
/// before are dialled without a limit; of the others those with the fewest failures go first, so
/// that a new one does not wait for a crowd of addresses that do not answer. Not thread-safe.
class dial_schedule {
 public:
  explicit dial_schedule(dial_limits limits = {}) : limits_(limits) {}

  /// Adds a link that is to be dialled at once, or starts anew for another endpoint.
  void Add(const std::string& link, core::mono_time now);
  /// Removes a link, if it is known.
  void Remove(const std::string& link);
  /// The link is connected.
  void OnUp(const std::string& link);
  /// The link was lost, or its dial failed.
  void OnDown(const std::string& link, core::mono_time now);

  /// @return true if no link waits for a dial and none is in progress.
  bool is_idle() const noexcept { return waiting_.empty() && dialling_.empty(); }
  /// @return links to dial now. Their dials are in progress until `OnUp`, `OnDown` or `Remove`.
  std::vector<std::string> TakeDue(core::mono_time now);
  /// @return links whose dials have taken too long; the caller ends each with `OnDown`.
  std::vector<std::string> Overdue(core::mono_time now) const;

 private:
  struct state {
    bool confirmed = false;
    std::size_t failures = 0;
    core::mono_time at;  ///< when the dial began, or may begin
  };

  void EndDial(const std::string& link, state& ended);

  dial_limits limits_;
  std::map<std::string, state> links_;
  // Links without a connection. Looking at all links in each tick would be too slow.
  std::map<std::string, state*> waiting_;
  std::map<std::string, state*> dialling_;
  std::size_t unconfirmed_ = 0;  ///< dials in progress to unconfirmed endpoints
};

}  // namespace coltsfoot::entry
