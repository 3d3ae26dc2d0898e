#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "metrics/registry.h"

namespace coltsfoot::jobs {

/// Availability zones in which the operator wants no further task to start, as an entry last read
/// them. An evacuation that was stored before `confirmed_at` is in this view. Uses neither the
/// network nor the wall clock.
class zone_evacuations {
 public:
  /// Share of the bound, in thousandths, for which a view is used. The rest covers a watch that
  /// misses changes for a second before it ends, and the way of a start from the agent to its
  /// target.
  static constexpr int kUsablePermille = 700;

  /// Share of the bound, in thousandths, after which a view is to be read again: above the two
  /// fifths that an idle watch may take to confirm it, and early enough for an answer before the
  /// view is too old.
  static constexpr int kRefreshPermille = 500;

  /// @param bound time from the acknowledgement of an evacuation after which no task starts in the
  /// zone.
  zone_evacuations(core::milliseconds bound, metrics::registry& metrics);

  /// Replaces the view by a complete list.
  void Replace(std::set<std::string, std::less<>> zones);
  /// Applies the change of one zone.
  void Set(std::string_view zone, bool evacuated);
  /// Records that the view held at time `at`. Must not be called before the first `Replace`.
  void Confirm(core::mono_time at);

  /// @return true if the zone is evacuated in this view.
  bool Contains(std::string_view zone) const { return zones_.contains(zone); }
  const std::set<std::string, std::less<>>& zones() const noexcept { return zones_; }
  /// @return the time up to which tasks may start in the zones that are not in the view, also if
  /// one of them was evacuated just after the view was confirmed; zero if it never was confirmed.
  core::mono_time start_limit() const;
  /// @return the time from which the keys are to be read although no change was missed; zero if the
  /// view never was confirmed.
  core::mono_time refresh_at() const;
  /// @return true if tasks may be placed by this view.
  bool IsCurrent(core::mono_time now) const { return now < start_limit(); }
  /// @return a number that differs after each change of the zones.
  std::uint64_t changes() const noexcept { return changes_; }

 private:
  core::milliseconds bound_;
  metrics::registry& metrics_;
  std::set<std::string, std::less<>> zones_;
  std::optional<core::mono_time> confirmed_at_;
  std::uint64_t changes_ = 0;
};

}  // namespace coltsfoot::jobs
