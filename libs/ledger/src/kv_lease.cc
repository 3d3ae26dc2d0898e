#include "kv_lease.h"

#include <algorithm>

namespace coltsfoot::ledger {

void kv_lease::Tick() {
  if (call_in_flight_ || revoked_ || context_.time.Now() < next_call_) return;
  if (lease_ == 0) {
    Grant();
  } else {
    Renew();
  }
}

void kv_lease::Grant() {
  call_in_flight_ = true;
  const core::mono_time sent = context_.time.Now();
  // A grant whose answer is lost leaves a lease without keys, which expires by itself.
  context_.kv.GrantLease(context_.options.store_lease_ttl,
                         scope_.Wrap([this, sent](const store::lease_result& result) {
                           if (result.status == store::kv_status::ok) lease_ = result.lease;
                           OnAnswer(result, sent);
                         }));
}

void kv_lease::Renew() {
  call_in_flight_ = true;
  const core::mono_time sent = context_.time.Now();
  context_.kv.RenewLease(lease_, scope_.Wrap([this, sent](const store::lease_result& result) {
    if (result.status == store::kv_status::not_found) {
      call_in_flight_ = false;
      next_call_ = context_.time.Now();
      context_.metrics.lease_expiries.Add();
      listener_.OnLeaseExpired(std::exchange(lease_, 0));
      return;
    }
    OnAnswer(result, sent);
  }));
}

void kv_lease::OnAnswer(const store::lease_result& result, core::mono_time sent) {
  call_in_flight_ = false;
  if (result.status == store::kv_status::ok) {
    backoff_.Reset();
    confirmed_ = sent;
    next_call_ = sent + context_.options.renew_interval;
    listener_.OnLeaseConfirmed(lease_, sent);
    return;
  }
  CountRetry(context_, "ledger_lease", result.status);
  const core::nanoseconds max_delay = context_.options.renew_interval;
  next_call_ = context_.time.Now() + std::min(max_delay, backoff_.Next(context_.random));
}

void kv_lease::Revoke(std::function<void()> done) {
  revoked_ = true;
  if (lease_ == 0) {
    done();
    return;
  }
  context_.kv.RevokeLease(
      lease_, scope_.Wrap([done = std::move(done)](const store::lease_result&) { done(); }));
}

}  // namespace coltsfoot::ledger
