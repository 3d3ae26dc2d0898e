#pragma once

#include "ledger_context.h"

namespace coltsfoot::ledger {

/// Receives the events of this entry's lease.
class kv_lease_listener {
 public:
  virtual ~kv_lease_listener() = default;
  /// A grant or renewal that was sent at `sent` is confirmed.
  virtual void OnLeaseConfirmed(store::lease_id lease, core::mono_time sent) = 0;
  /// The service no longer knows the lease; its keys are gone. A new one is requested.
  virtual void OnLeaseExpired(store::lease_id lease) = 0;
};

/// Keeps one lease in the key-value service alive and replaces it when it expires.
class kv_lease {
 public:
  kv_lease(const ledger_context& context, kv_lease_listener& listener)
      : context_(context), listener_(listener), scope_(context.health) {}

  /// Sends a grant or renewal that is due.
  void Tick();
  /// Revokes the lease and requests no new one. Called at most once.
  /// @param done runs when the call is answered; at once if there is no lease.
  void Revoke(std::function<void()> done);

  /// @return the present lease, 0 if there is none.
  store::lease_id id() const noexcept { return lease_; }
  /// @return true if the lease cannot have expired by `now`.
  bool IsValid(core::mono_time now) const {
    return lease_ != 0 && now < confirmed_ + context_.options.store_lease_ttl;
  }

 private:
  void Grant();
  void Renew();
  void OnAnswer(const store::lease_result& result, core::mono_time sent);

  const ledger_context& context_;
  kv_lease_listener& listener_;
  store::lease_id lease_ = 0;
  core::mono_time confirmed_{};
  core::mono_time next_call_{};
  bool call_in_flight_ = false;
  bool revoked_ = false;
  backoff backoff_;
  call_scope scope_;
};

}  // namespace coltsfoot::ledger
