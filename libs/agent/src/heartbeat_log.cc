#include "heartbeat_log.h"

namespace coltsfoot::agent {

std::uint64_t heartbeat_log::Add(core::mono_time now) {
  while (!sent_.empty() && sent_.front().at + lease_ttl_ <= now) sent_.pop_front();
  sent_.push_back({++last_seq_, now});
  return last_seq_;
}

std::optional<core::mono_time> heartbeat_log::LeaseEnd(std::uint64_t seq,
                                                       core::mono_time now) const {
  if (sent_.empty() || seq < sent_.front().seq || seq > last_seq_) return std::nullopt;
  const core::mono_time end = sent_[seq - sent_.front().seq].at + lease_ttl_;
  if (end <= now) return std::nullopt;
  return end;
}

}  // namespace coltsfoot::agent
