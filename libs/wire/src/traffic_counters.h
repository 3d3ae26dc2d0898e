#pragma once

#include <atomic>
#include <cstdint>

#include "wire/transport.h"

namespace coltsfoot::wire {

/// Counters behind `traffic_totals`; atomic because sockets of several threads update them.
struct traffic_counters {
  std::atomic<std::uint64_t> messages{0};
  std::atomic<std::uint64_t> bytes{0};

  void Add(std::size_t size) noexcept {
    messages.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(size, std::memory_order_relaxed);
  }
  traffic_count Read() const noexcept {
    return {messages.load(std::memory_order_relaxed), bytes.load(std::memory_order_relaxed)};
  }
};

inline traffic_counters udp_received;
inline traffic_counters udp_sent;
inline traffic_counters tcp_received;
inline traffic_counters tcp_sent;

}  // namespace coltsfoot::wire
