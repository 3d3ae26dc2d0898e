#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "jobs/types.h"
#include "store/versioned_store.h"

namespace coltsfoot::jobs {

/// Reserves run numbers in the store before they are used, so that a new coordinator can number its
/// runs above all that an earlier one may have commanded, whether or not it learns of them.
///
/// The store holds one bound for all tasks. Each write is conditional on the version of the leader
/// key, so a deposed coordinator cannot change it. At most one write is in flight.
class run_numbers {
 public:
  /// @param on_deposed called when the leader key has another version than the term.
  run_numbers(const core::clock& time, store::versioned_store& storage,
              std::function<void()> on_deposed);

  /// Begins a term. Outcomes of writes in flight are ignored.
  /// @param term version of the leader key; 0: no term.
  /// @param stored the entry under `kRunBoundKey`, if it exists.
  void Reset(std::uint64_t term, const std::optional<store::kv_entry>& stored);
  /// @return a number that no run of an earlier term exceeds.
  std::uint32_t base() const noexcept { return base_; }
  /// Asks for the reservation of `run`, which a later `Flush` stores.
  /// @return true if a task may be started under this number.
  bool Reserve(std::uint64_t run);
  /// Stores the bound if it has to rise. Call regularly: retries failed writes.
  void Flush();

 private:
  void OnWritten(std::uint64_t epoch, std::uint32_t bound, const store::commit_result& result);
  void Load(const store::kv_entry& entry);
  /// Loads the stored bound that a conflicting write returned, or reports another coordinator.
  void AdoptStored(const store::commit_result& result);

  const core::clock& time_;
  store::versioned_store& storage_;
  std::function<void()> on_deposed_;
  std::uint64_t term_ = 0;
  std::uint64_t epoch_ = 0;         ///< incremented with each `Reset`
  store::key_version version_ = 0;  ///< of `kRunBoundKey` in the store
  std::uint32_t base_ = 0;
  std::uint32_t bound_ = 0;   ///< as stored: numbers up to here are reserved
  std::uint32_t wanted_ = 0;  ///< bound to store
  bool in_flight_ = false;
  bool exhaustion_logged_ = false;
  core::mono_time retry_at_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coltsfoot::jobs
