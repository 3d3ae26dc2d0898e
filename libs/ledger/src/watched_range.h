#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ledger_context.h"

namespace coltsfoot::ledger {

/// Receives the new contents of a watched range.
class watched_range_listener {
 public:
  virtual ~watched_range_listener() = default;
  /// A read of the range below `prefix` that was sent at `sent` has been answered.
  virtual void OnRangeRead(std::string_view prefix, core::mono_time sent) = 0;
};

/// Keeps a copy of the keys below a prefix: reads them when a watch reports a change and also
/// periodically, because a watch may miss a change while the service restarts.
class watched_range {
 public:
  watched_range(const ledger_context& context, std::string_view prefix,
                watched_range_listener& listener)
      : context_(context), prefix_(prefix), listener_(listener), scope_(context.health) {}

  /// Makes the read or watch that is due.
  void Tick();
  /// Requests a read as soon as `Tick` may make one.
  void Reread() { reread_ = true; }

  /// @return true once the range has been read in full.
  bool known() const noexcept { return known_; }
  /// @return the keys as last read, in ascending order.
  const std::vector<store::kv_entry>& entries() const noexcept { return entries_; }
  /// @return the service's revision at the last read.
  std::uint64_t revision() const noexcept { return revision_; }

 private:
  void Read(core::mono_time now, std::string after);
  void OnPage(store::range_result result, core::mono_time sent);
  void Watch();
  void OnWatch(const store::watch_result& result);

  const ledger_context& context_;
  std::string prefix_;
  watched_range_listener& listener_;
  std::vector<store::kv_entry> entries_;
  std::vector<store::kv_entry> pages_;
  std::uint64_t first_page_revision_ = 0;
  std::uint64_t revision_ = 0;
  core::mono_time last_read_{};
  core::mono_time next_watch_{};
  core::mono_time retry_at_{};
  bool known_ = false;
  bool reread_ = true;
  bool reading_ = false;
  bool watching_ = false;
  backoff read_backoff_;
  backoff watch_backoff_;
  call_scope scope_;
};

}  // namespace coltsfoot::ledger
